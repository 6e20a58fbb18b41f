package jobprotocol

import (
	"maps"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/taskrunner"
	"dragonflyyard/internal/workload"
)

// worker models the platform's specification of a worker: it keeps the highest
// fencing token, refuses runs that were stopped or are not newer, and kills its runs
// when its lease expires by its own clock.
type worker struct {
	world       *world
	host        string
	incarnation model.Incarnation
	// startedMS is the time at which this incarnation began, by the world's clock.
	startedMS     int64
	token         uint64
	leaseEndMS    int64
	running       map[workload.RunID]bool
	ended         []taskrunner.EndedRun
	lastEndNumber uint64
	acknowledged  uint64
	// highestRun is the highest run number that was stopped or ended here, by task.
	highestRun map[workload.TaskRef]int
	// lastExpiry is the world's event count when the lease was last found expired.
	lastExpiry int
}

func newWorker(w *world, host string) *worker {
	n := &worker{world: w, host: host}
	n.restart()
	return n
}

// restart begins another incarnation, which has no state of the previous one.
func (n *worker) restart() {
	n.incarnation++
	n.startedMS, n.token, n.leaseEndMS, n.lastEndNumber, n.acknowledged = n.world.nowMS, 0, 0, 0, 0
	n.running, n.ended, n.highestRun = map[workload.RunID]bool{}, nil, map[workload.TaskRef]int{}
}

// clockMS returns the worker's own clock, which is 2 % slow, the limit that the
// platform allows.
func (n *worker) clockMS() int64 { return (n.world.nowMS - n.startedMS) * 98 / 100 }

// expireLease kills all runs if the lease has expired.
func (n *worker) expireLease() {
	if n.clockMS() <= n.leaseEndMS {
		return
	}
	n.lastExpiry = n.world.eventCount
	for _, id := range n.sortedRuns() {
		n.end(id, workload.EndLeaseExpired)
	}
}

func (n *worker) sortedRuns() []workload.RunID {
	return slices.SortedFunc(maps.Keys(n.running), func(a, b workload.RunID) int { return a.Run - b.Run })
}

func (n *worker) end(id workload.RunID, kind workload.EndKind) {
	delete(n.running, id)
	n.lastEndNumber++
	n.ended = append(n.ended, taskrunner.EndedRun{Number: n.lastEndNumber, Task: id.Task.String(), Run: id.Run, Kind: kind})
	n.highestRun[id.Task] = max(n.highestRun[id.Task], id.Run)
	n.world.observeEnd(n, kind)
}

func (n *worker) fenced(token uint64) bool {
	n.token = max(n.token, token)
	return token < n.token
}

func (n *worker) start(a taskrunner.StartRun) taskrunner.OrderResult {
	if n.fenced(a.Generation) {
		return taskrunner.OrderFenced
	}
	if a.LeaseEndMS <= n.clockMS() {
		return taskrunner.OrderLate
	}
	n.leaseEndMS = max(n.leaseEndMS, a.LeaseEndMS)
	if n.running[a.ID] {
		return taskrunner.OrderAccepted
	}
	if a.ID.Run <= n.highestRun[a.ID.Task] && !n.world.variant.startsStoppedRuns {
		return taskrunner.OrderStale
	}
	n.running[a.ID] = true
	n.world.observeStart(n, a.ID)
	return taskrunner.OrderAccepted
}

func (n *worker) stop(a taskrunner.StopRun) taskrunner.OrderResult {
	if n.fenced(a.Generation) {
		return taskrunner.OrderFenced
	}
	ref, err := workload.ParseTaskRef(a.Task)
	if err != nil {
		n.world.t.Fatal(err)
	}
	id := workload.RunID{Task: ref, Run: a.Run}
	if n.running[id] {
		n.end(id, workload.EndStopped)
	}
	n.highestRun[ref] = max(n.highestRun[ref], a.Run)
	return taskrunner.OrderAccepted
}

func (n *worker) hold(a taskrunner.Poll) (taskrunner.PollResult, taskrunner.RunLists) {
	if n.fenced(a.Generation) {
		return taskrunner.PollFenced, taskrunner.RunLists{}
	}
	n.leaseEndMS = max(n.leaseEndMS, a.LeaseEndMS)
	upTo := a.Acknowledged
	if n.world.variant.acknowledgesListedEnds {
		upTo = n.lastEndNumber
	}
	lists := taskrunner.RunLists{ClockMS: n.clockMS(), Incarnation: n.incarnation}
	for _, id := range n.sortedRuns() {
		lists.Running = append(lists.Running, workload.RunningTask{Task: id.Task.String(), Run: id.Run, Percent: 50})
	}
	for _, e := range n.ended {
		if e.Number > a.Acknowledged {
			lists.Ended = append(lists.Ended, e)
		}
	}
	n.acknowledge(upTo)
	return taskrunner.PollAnswered, lists
}

func (n *worker) acknowledge(upTo uint64) {
	for _, e := range n.ended {
		if e.Number > n.acknowledged && e.Number <= upTo && e.Kind == workload.EndDone {
			n.world.observeAcknowledged(n)
		}
	}
	n.acknowledged = max(n.acknowledged, upTo)
	n.ended = slices.DeleteFunc(n.ended, func(e taskrunner.EndedRun) bool { return e.Number <= n.acknowledged })
}
