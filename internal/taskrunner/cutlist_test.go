package taskrunner

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// maxEndsListed is the number of ends that the rig's worker lists at most.
const maxEndsListed = 500

// startMany orders n runs, which the worker starts and lists, and returns their tasks.
func (r *rig) startMany(n int) []string {
	r.t.Helper()
	tasks := make([]string, n)
	for i := range tasks {
		tasks[i] = fmt.Sprintf("00000000000000aa.0.0.%d", i)
		id := r.observeOrder(r.order(tasks[i], 1, nil), false)
		r.core.runs[id].maybeSent = true
		r.core.runs[id].startConfirmedAt = r.now
		r.running = append(r.running, workload.RunningTask{Task: tasks[i], Run: 1})
	}
	r.advance(time.Millisecond)
	r.settle()
	return tasks
}

// endAll ends all runs that the worker lists as running.
func (r *rig) endAll(kind workload.EndKind) {
	for i, running := range r.running {
		r.ended = append(r.ended, EndedRun{Number: uint64(i + 1), Task: running.Task, Run: running.Run, Kind: kind})
	}
	r.running = nil
}

// stepDuringOutage steps the core for d, while the store refuses all writes.
func (r *rig) stepDuringOutage(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.advance(50 * time.Millisecond) {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case Poll:
				r.answerPoll(action)
			case Announce:
				r.core.Announced(r.now, action, storeapi.ResultUnavailable, 0, AnnouncementConflict{})
			case ReportEnds:
				r.core.EndsReported(r.now, action, storeapi.ResultUnavailable, nil, nil)
			}
		}
	}
}

// reportedKinds steps the core for d and counts the reported ends by kind.
func (r *rig) reportedKinds(d time.Duration) map[workload.EndKind]int {
	for end := r.now.Add(d); r.now.Before(end); r.advance(50 * time.Millisecond) {
		r.settle()
	}
	kinds := map[workload.EndKind]int{}
	for _, end := range r.reported {
		kinds[end.End.Kind]++
	}
	return kinds
}

// TestEndsLeftOutOfCutListAreNotLost guards against reporting runs that ended as done
// as lost, upon which they run again: a store outage leaves more ends uncommitted than
// the worker lists in one answer.
func TestEndsLeftOutOfCutListAreNotLost(t *testing.T) {
	r := newRig(t)
	r.ready()
	tasks := r.startMany(maxEndsListed + 100)
	r.endAll(workload.EndDone)
	r.stepDuringOutage(3 * time.Second)
	if kinds := r.reportedKinds(time.Minute); kinds[workload.EndDone] != len(tasks) || len(kinds) != 1 {
		t.Errorf("%d runs ended as done, reported: %v", len(tasks), kinds)
	}
}

// TestStoppedRunLeftOutOfCutListKeepsItsEnd guards against reporting a run as stopped
// that ended as done before the stop arrived, while its end is left out of the list.
func TestStoppedRunLeftOutOfCutListKeepsItsEnd(t *testing.T) {
	r := newRig(t)
	r.ready()
	tasks := r.startMany(maxEndsListed + 1)
	r.endAll(workload.EndDone)
	last := tasks[maxEndsListed]
	r.observeOrder(r.order(last, 1, func(o *workload.Order) { o.Stop = true }), false)
	r.stepDuringOutage(time.Second)
	r.core.Stopped(r.now, last, 1, OrderStale)
	r.stepDuringOutage(time.Second)
	if kinds := r.reportedKinds(time.Minute); kinds[workload.EndDone] != len(tasks) || len(kinds) != 1 {
		t.Errorf("%d runs ended as done, reported: %v", len(tasks), kinds)
	}
}

// TestRestartedAgentWaitsForCompleteList guards against giving up a run by a cut list:
// after a restart of the agent the end of a run that an earlier process started, and
// whose start deadline has passed, is left out of the first lists.
func TestRestartedAgentWaitsForCompleteList(t *testing.T) {
	r := newRig(t)
	r.core.RowLoaded(workload.Announcement{Host: testHost, Worker: "w-1", Incarnation: 5, Service: "s", Zone: "z", State: workload.WorkerReady, Generation: 3}, 9)
	for i := range maxEndsListed + 1 {
		task := fmt.Sprintf("00000000000000aa.0.0.%d", i)
		r.observeOrder(r.order(task, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 5000 }), true)
		r.running = append(r.running, workload.RunningTask{Task: task, Run: 1})
	}
	r.endAll(workload.EndDone)
	present := map[workload.RunID]bool{}
	for id := range r.core.runs {
		present[id] = true
	}
	r.core.OrdersLoaded(present, r.version)
	if stopped := stops(r.settle()); len(stopped) != 0 {
		t.Errorf("%d stops of runs that may have ended", len(stopped))
	}
	if kinds := r.reportedKinds(time.Minute); kinds[workload.EndDone] != maxEndsListed+1 || len(kinds) != 1 {
		t.Errorf("%d runs ended as done, reported: %v", maxEndsListed+1, kinds)
	}
}

// TestManyEndsAreReportedAtOnce guards against ends that wait for the next regular
// announcement because one announcement holds few of them. The platform expects the ends
// of a worker to be acknowledged within 4 s.
func TestManyEndsAreReportedAtOnce(t *testing.T) {
	r := newRig(t)
	r.ready()
	tasks := r.startMany(maxEndsListed + 100)
	r.endAll(workload.EndDone)
	r.advance(time.Second)
	if kinds := r.reportedKinds(4 * time.Second); kinds[workload.EndDone] != len(tasks) || r.core.lists.acknowledged != uint64(len(tasks)) {
		t.Errorf("%d runs ended as done, reported: %v, acknowledged: %d", len(tasks), kinds, r.core.lists.acknowledged)
	}
}
