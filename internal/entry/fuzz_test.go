package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// FuzzCallerRequest reads any bytes as a caller's HTTP request. What is
// accepted is what the request core relies on.
func FuzzCallerRequest(f *testing.F) {
	p, err := New(Config{Settings: testSettings()})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = p.linkListener.Close() })
	head := "POST /v1/requests HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + goodID + "\r\n"
	for _, seed := range []string{
		head + "X-Client-Account: a\r\nContent-Length: 1\r\n\r\nb",
		head + "X-Client-Account: a\r\nX-Idempotent: true\r\nX-Deadline-Ms: 1\r\nX-Slots: 1024\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n",
		head + "X-Client-Account: a\r\nX-Slots: 99999999999999999999\r\n\r\n",
		head + "X-Client-Account: a\r\nX-Deadline-Ms: -1\r\n\r\n",
		head + "X-Request-Id: other\r\nX-Client-Account: a\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var ctx fasthttp.RequestCtx
		if err := ctx.Request.ReadLimitBody(bufio.NewReader(bytes.NewReader(raw)), 1<<16); err != nil {
			return
		}
		request, bad := p.parseRequest(&ctx)
		if bad != nil {
			if bad.code == "" || bad.sentence == "" {
				t.Errorf("refused with %+v", bad)
			}
			return
		}
		left := time.Until(request.Deadline)
		if !isRequestID(string(request.ID)) || request.Account == "" || len(request.Account) > maxAccountBytes ||
			request.Slots < 1 || request.Slots > maxSlots || left > p.Config.Settings.Timeouts.MaxDeadline {
			t.Errorf("accepted %+v", request)
		}
	})
}

// FuzzLookupState answers a look-up with any state and outcome that the core
// could hand on: the answer is whole JSON or the backend server's own body.
func FuzzLookupState(f *testing.F) {
	f.Add(uint8(wire.StateFinished), uint8(model.OutcomeAnswered), 200, int64(0), []byte("body"))
	f.Add(uint8(wire.StateFinished), uint8(model.OutcomeBackendFailed), 500, int64(1500), []byte{0xff})
	f.Add(uint8(wire.StateSealed), uint8(0), 0, int64(-1), []byte(nil))
	f.Add(uint8(255), uint8(255), -1, int64(1)<<62, []byte(nil))
	f.Fuzz(func(t *testing.T, state, kind uint8, status int, retryMS int64, body []byte) {
		var ctx fasthttp.RequestCtx
		outcome := model.Outcome{Kind: model.OutcomeKind(kind), Status: status, RetryAfter: time.Duration(retryMS), Body: body}
		writeState(&ctx, goodID, reply{state: wire.RequestState(state), outcome: outcome})
		if wire.RequestState(state) == wire.StateFinished && outcome.Kind == model.OutcomeAnswered {
			return
		}
		if !json.Valid(ctx.Response.Body()) || ctx.Response.StatusCode() == fasthttp.StatusOK {
			t.Errorf("state %d: status %d, %q", state, ctx.Response.StatusCode(), ctx.Response.Body())
		}
	})
}

// FuzzStoredJobs decodes any value as each kind of the scheduler's rows, as its
// snapshot and as a change of that, and makes a core the owner with what was accepted.
func FuzzStoredJobs(f *testing.F) {
	job := model.Job{ID: "j1", Account: "a", Shape: model.Shape{Tasks: 2, Topology: model.TopologyRack, PerTask: model.Resources{Accelerators: 8, Cores: 1, MemoryMB: 1}},
		DeclaredRunTime: time.Minute, Capacity: model.CapacityGuaranteed}
	encode := func(v any) []byte {
		encoded, err := json.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		return encoded
	}
	f.Add(encode(scheduler.JobRow{Job: job}))
	f.Add(encode(scheduler.JobRow{Job: job, Attempt: 2, Allocation: []model.WorkerID{"w1", "w2"}, Class: model.CapacityGuaranteed, Cell: "g/0", Epoch: 3}))
	f.Add(encode(scheduler.JobRow{Job: job, Attempt: 1, Allocation: []model.WorkerID{"w1", "w1"}}))
	f.Add(encode(scheduler.EndedJob{Job: job, Phase: scheduler.PhaseFinished}))
	f.Add(encode(scheduler.New(scheduler.DefaultSettings()).Snapshot()))
	f.Add([]byte(`{"Job":{"ID":"j1","Shape":{"tasks":-1}}}`))
	later := &scheduler.Snapshot{Epoch: 5, Jobs: []scheduler.JobState{{Job: job}}, Ended: []model.JobID{"j0"}}
	f.Add(encode(scheduler.DeltaBetween(&scheduler.Snapshot{Epoch: 4}, later)))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		const prefix = "job/"
		now := time.Unix(1_800_000_000, 0)
		owner := scheduler.BecomeOwner{Epoch: 4, Config: &model.ConfigDocument{Version: 1}}
		row := storeapi.Row{Key: prefix + "j1", Value: value, Version: 1}
		if decoded, err := decodeJobRow(row, prefix); err == nil {
			if decoded.Job.ID != "j1" || decoded.Job.Shape.Tasks < 1 {
				t.Errorf("accepted %+v", decoded)
			}
			owner.Rows = append(owner.Rows, decoded)
		}
		if decoded, err := decodeEndedRow(row, prefix); err == nil && owner.Rows == nil {
			owner.Ended = append(owner.Ended, decoded)
		}
		var snapshot scheduler.Snapshot
		if json.Unmarshal(value, &snapshot) == nil {
			owner.Snapshot = &snapshot
		}
		var delta scheduler.SnapshotDelta
		if json.Unmarshal(value, &delta) == nil {
			owner.Snapshot = snapshot.Apply(&delta)
		}
		core := scheduler.New(scheduler.DefaultSettings())
		core.Step(now, owner)
		for range 3 {
			now = now.Add(5 * time.Second)
			core.Step(now, scheduler.Tick{})
		}
		core.Snapshot()
	})
}
