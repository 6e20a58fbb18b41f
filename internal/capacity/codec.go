package capacity

import (
	"fmt"
	"io"
	"testing"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// MessageCost is the cost of one message with the real codec.
type MessageCost struct {
	Name string
	// FrameBytes is the frame without transport headers.
	FrameBytes int
	EncodeNS   float64
	DecodeNS   float64
}

// namedMessage is a message of a control kind.
type namedMessage struct {
	name    string
	message wire.Message
}

// controlMessages returns one typical message of each control kind, in the order
// of the report.
func controlMessages() []namedMessage {
	const backend = model.BackendServerID("backend-0123")
	const job = model.JobID("0192f0c1-5a2b-7c3d-8e4f-0123456789ab")
	return []namedMessage{
		{"heartbeat", &wire.Heartbeat{Seq: 1 << 20, AckSeq: 1 << 20}},
		{"permit", &wire.Permit{Seq: 1 << 20, ValidMS: 2500, AnsweredHeartbeat: 1 << 20, Config: 1 << 24, OwnerEpoch: 77, Assignment: 12}},
		{"credit", &wire.Credit{Seq: 1 << 20, Slots: 4, Connections: 32}},
		{"claim", &wire.Claim{Request: model.RequestID(job), BodyHash: 1 << 60, Executor: backend, Assignment: 12}},
		{"reserve", &wire.Reserve{Epoch: 77, Job: job, Attempt: 1, Task: model.TaskID(job + "/255"), Needs: model.Resources{Accelerators: 2, Cores: 16, MemoryMB: 32768}, HoldMS: 3000}},
		{"launch", &wire.Launch{Epoch: 77, Job: job, Attempt: 1, Task: model.TaskID(job + "/255"), LeaseMS: 3000, RunMS: 3600000}},
		{"task report", &wire.TaskReport{Job: job, Attempt: 1, Task: model.TaskID(job + "/255"), State: wire.TaskRunning, DoneMS: 3600000}},
		{"lease request", &wire.LeaseRequest{Worker: "worker-00123", SentMS: 1 << 40}},
		{"lease grant", &wire.LeaseGrant{Epoch: 77, SentMS: 1 << 40, Tasks: grantedTasks(job)}},
		{"store status", &wire.StoreStatus{
			Reachable: true, Config: 1 << 24, OwnerEpoch: 77, Seq: 1 << 20, Assignment: 12, Established: true,
			Roster: []model.EntryID{"entry-1", "entry-2", "entry-3"},
		}},
		{"config change", &wire.ConfigUpdate{From: 1 << 24, To: 1<<24 + 1, Changes: []model.ConfigChange{{
			ID: model.ChangeID(job), Object: "zone/region-07-zone-3", ExpectedVersion: 1 << 23, Zone: model.ZoneOut, Operator: "operator-17", Version: 1<<24 + 1,
		}}}},
	}
}

// grantedTasks returns the leases of one worker's tasks.
func grantedTasks(job model.JobID) []wire.TaskLease {
	leases := make([]wire.TaskLease, TasksPerWorker)
	for i := range leases {
		leases[i] = wire.TaskLease{Task: model.TaskID(fmt.Sprintf("%s/%d", job, i)), Attempt: 1, LeaseMS: 2000}
	}
	return leases
}

// MeasureCodec measures each control message.
func MeasureCodec() ([]MessageCost, error) {
	var costs []MessageCost
	for _, m := range controlMessages() {
		cost, err := measureMessage(m.name, m.message)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

func measureMessage(name string, m wire.Message) (MessageCost, error) {
	frame, err := wire.Encode(m)
	if err != nil {
		return MessageCost{}, errors.Wrapf(err, "measure %s", name)
	}
	encode := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_, _ = wire.Encode(m)
		}
	})
	decode := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_, _ = wire.Decode(frame)
		}
	})
	return MessageCost{
		Name:       name,
		FrameBytes: len(frame),
		EncodeNS:   nanosPerOp(encode),
		DecodeNS:   nanosPerOp(decode),
	}, nil
}

func nanosPerOp(r testing.BenchmarkResult) float64 {
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

func printCodec(w io.Writer, costs []MessageCost) {
	fmt.Fprintln(w, "| message | frame bytes | encode ns | decode ns |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	for _, c := range costs {
		fmt.Fprintf(w, "| %s | %d | %.0f | %.0f |\n", c.Name, c.FrameBytes, c.EncodeNS, c.DecodeNS)
	}
}
