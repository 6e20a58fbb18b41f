package standin

import (
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// workerScript drives a worker with a clock that the test moves.
type workerScript struct {
	*Worker
	clock time.Time
}

func newWorkerScript() *workerScript {
	s := &workerScript{clock: time.UnixMilli(0)}
	capacity := model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 1024}
	s.Worker = NewWorker(capacity, 500*time.Millisecond, func() time.Time { return s.clock })
	return s
}

func (s *workerScript) at(ms int64) { s.clock = time.UnixMilli(ms) }

func startOf(id model.TaskID, runMS, leaseMS int64) StartTask {
	return StartTask{ID: id, Needs: model.Resources{Accelerators: 4}, RunMS: runMS, LeaseMS: leaseMS}
}

func TestWorkerHistory(t *testing.T) {
	const id = "j/0"
	cases := []struct {
		name   string
		script func(s *workerScript)
		state  WorkerTaskState
		endMS  int64
		doneMS int64
	}{
		{"finishes inside its lease", func(s *workerScript) { s.at(5000) }, WorkerTaskFinished, 1000, 1000},
		{"is stopped", func(s *workerScript) { s.at(300); s.Stop(id); s.at(5000) }, WorkerTaskStopped, 300, 300},
		{"is throttled", func(s *workerScript) { s.at(500); s.Throttle(id, 50); s.at(5000) }, WorkerTaskFinished, 1500, 1000},
		{"pauses at zero speed", func(s *workerScript) { s.Throttle(id, 0); s.at(5000) }, WorkerTaskLapsed, 2000, 0},
		{"goes down", func(s *workerScript) {
			s.at(400)
			s.SetFaults(HostFaults{Faults: Faults{Down: true}})
		}, WorkerTaskFailed, 400, 400},
		{"is frozen past its lease", func(s *workerScript) {
			s.at(400)
			s.SetFaults(HostFaults{Faults: Faults{Freeze: true}})
			s.at(3000)
			s.SetFaults(HostFaults{})
		}, WorkerTaskLapsed, 3000, 400},
		{"is frozen inside its lease", func(s *workerScript) {
			s.at(400)
			s.SetFaults(HostFaults{Faults: Faults{Freeze: true}})
			s.at(1000)
			s.SetFaults(HostFaults{})
			s.at(5000)
		}, WorkerTaskFinished, 1600, 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newWorkerScript()
			if reason := s.Start(startOf(id, 1000, 2000)); reason != "" {
				t.Fatal(reason)
			}
			c.script(s)
			want := []HistoryEntry{{ID: id, State: WorkerTaskRunning}, {ID: id, State: c.state, AtUnixMS: c.endMS}}
			if got := s.History(); !reflect.DeepEqual(got, want) {
				t.Errorf("history %+v, want %+v", got, want)
			}
			if got := s.Tasks()[0].DoneMS; got != c.doneMS {
				t.Errorf("done %d ms, want %d", got, c.doneMS)
			}
		})
	}
}

func TestWorkerLeaseAndCheckpoint(t *testing.T) {
	s := newWorkerScript()
	s.Start(startOf("j/0", 10_000, 1000))
	s.at(900)
	if !s.Renew("j/0", 5*time.Second) || !s.Checkpoint("j/0") {
		t.Fatal("renewal or checkpoint refused")
	}
	s.at(1100)
	task := s.Tasks()[0]
	if task.State != WorkerTaskRunning || task.CheckpointMS != 900 {
		t.Errorf("got %+v", task)
	}
	s.at(1200)
	if got := s.Tasks()[0].DoneMS; got != 1100 {
		t.Errorf("usage of %d ms does not lag", got)
	}
	s.at(6000)
	if s.Renew("j/0", time.Second) {
		t.Error("a lapsed lease was renewed")
	}
}

func TestWorkerRefusals(t *testing.T) {
	s := newWorkerScript()
	s.Start(startOf("a", 1000, 1000))
	if s.Start(startOf("a", 1000, 1000)) == "" {
		t.Error("a running task was started again")
	}
	s.Start(startOf("b", 1000, 1000))
	if s.Start(startOf("c", 1000, 1000)) == "" {
		t.Error("a task was started without capacity")
	}
	if s.Start(startOf("", 1000, 1000)) == "" || s.Start(startOf("d", 0, 1000)) == "" {
		t.Error("a malformed task was started")
	}
	s.at(2000)
	s.SetFaults(HostFaults{FailAll: true})
	if reason := s.Start(startOf("c", 1000, 1000)); reason != "" {
		t.Error(reason)
	}
	if tasks := s.Tasks(); tasks[2].State != WorkerTaskFailed {
		t.Errorf("got %+v", tasks[2])
	}
}
