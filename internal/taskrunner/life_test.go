package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// TestEndsReportedInSchedulerPart: the part of the store that the agent announces in
// takes no writes. Ends are reported in the scheduler's part, under their orders.
func TestEndsReportedInSchedulerPart(t *testing.T) {
	r := newRig(t)
	r.ready()
	id := r.see(r.order(taskA, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 1 }), false)
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
		t.Error("a run whose order is gone is kept")
	}
}

// TestStartReachesNextIncarnation: the worker began another life just before a
// start arrived, and took it there. The run is stopped, and its end reported
// only when it is no longer listed: until then it must not begin elsewhere.
func TestStartReachesNextIncarnation(t *testing.T) {
	r := newRig(t)
	r.ready()
	id := r.see(r.order(taskA, 1, nil), false)
	if n := len(starts(r.settle())); n != 1 {
		t.Fatalf("%d starts", n)
	}
	r.core.Started(r.now, id, OrderAccepted)
	r.pass(200 * time.Millisecond)
	r.life = 6
	r.heartbeat(func(h *Heartbeat) { h.Incarnation = 6 })
	r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
	stopped := stops(r.settle())
	if len(r.reported) != 0 {
		t.Fatalf("the end %+v is reported while the run is at work", r.reported)
	}
	if len(stopped) != 1 || stopped[0].Task != taskA {
		t.Fatalf("stops %+v", stopped)
	}
	r.core.Stopped(r.now, taskA, 1, OrderAccepted)
	r.running, r.ended = nil, []EndedRun{{Number: 1, Task: taskA, Run: 1, Kind: workload.EndStopped}}
	r.pass(time.Second)
	r.settle()
	if len(r.reported) != 1 || r.reported[0].End.Kind != workload.EndStopped {
		t.Errorf("reported %+v, want stopped", r.reported)
	}
}
