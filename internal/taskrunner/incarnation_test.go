package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// TestEndsReportedInSchedulerPart covers a failure of the part of the store that
// the agent announces in. Ends are then reported in the scheduler's own part,
// conditional on their orders.
func TestEndsReportedInSchedulerPart(t *testing.T) {
	r := newRig(t)
	r.ready()
	id := r.observeOrder(r.order(taskA, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 1 }), false)
	sent := r.awaitEnds()
	r.core.Announced(r.now, sent, storeapi.ResultUnavailable, 0, AnnouncementConflict{})
	report := r.awaitReport()
	if len(report.Ends) != 1 || report.Ends[0].OrderVersion == 0 {
		t.Fatalf("report %+v", report)
	}
	changed := r.core.runs[id].Order
	changed.Stop = true
	r.core.EndsReported(r.now, report, storeapi.ResultConflict, nil, map[workload.RunID]StoredOrder{id: {Order: changed, Version: 500}})
	r.core.row.failures = 1
	report = r.awaitReport()
	if len(report.Ends) != 1 || report.Ends[0].OrderVersion != 500 {
		t.Fatalf("report %+v after the order had changed", report)
	}
	r.core.EndsReported(r.now, report, storeapi.ResultOK, nil, nil)
	if a := r.awaitEnds(); len(a.Ends) != 0 {
		t.Errorf("the end is reported again: %+v", a.Ends)
	}
	r.core.runs[id].reported = false
	r.core.EndsReported(r.now, report, storeapi.ResultConflict, nil, nil)
	if len(r.core.runs) != 0 {
		t.Error("a run whose order was removed is kept")
	}
}

// TestStartReachesNextIncarnation guards against a run that is active twice: the
// worker restarts just before a start arrives, and the new incarnation carries it
// out. The run is stopped, and its end reported only when the worker no longer
// lists it, since the scheduler may then start it elsewhere.
func TestStartReachesNextIncarnation(t *testing.T) {
	r := newRig(t)
	r.ready()
	id := r.observeOrder(r.order(taskA, 1, nil), false)
	if n := len(starts(r.settle())); n != 1 {
		t.Fatalf("%d starts", n)
	}
	r.core.Started(r.now, id, OrderAccepted)
	r.advance(200 * time.Millisecond)
	r.incarnation = 6
	r.heartbeat(func(h *Heartbeat) { h.Incarnation = 6 })
	r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
	stopped := stops(r.settle())
	if len(r.reported) != 0 {
		t.Fatalf("the end %+v is reported while the run is active", r.reported)
	}
	if len(stopped) != 1 || stopped[0].Task != taskA {
		t.Fatalf("stops %+v", stopped)
	}
	r.core.Stopped(r.now, taskA, 1, OrderAccepted)
	r.running, r.ended = nil, []EndedRun{{Number: 1, Task: taskA, Run: 1, Kind: workload.EndStopped}}
	r.advance(time.Second)
	r.settle()
	if len(r.reported) != 1 || r.reported[0].End.Kind != workload.EndStopped {
		t.Errorf("reported %+v, want stopped", r.reported)
	}
}
