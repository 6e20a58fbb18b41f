package jobprotocol

import (
	"maps"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/taskrunner"
	"dragonflyyard/internal/workload"
)

// worker is a worker as the platform describes it: it keeps the highest fencing
// token, refuses runs that were stopped or are not newer, and kills what it
// runs when its lease ends on its own clock.
type worker struct {
	world *world
	host  string
	life  model.Incarnation
	// bornMS is when the present life began, on the world's clock.
	bornMS       int64
	token        uint64
	leaseEndMS   int64
	running      map[workload.RunID]bool
	ended        []taskrunner.EndedRun
	lastEnd      uint64
	acknowledged uint64
	// highest is the highest run of each task that was stopped or ended here.
	highest map[workload.TaskRef]int
	// lapsed is when the lease last was seen to have ended, as the world counts.
	lapsed int
}

func newWorker(w *world, host string) *worker {
	n := &worker{world: w, host: host}
	n.begin()
	return n
}

// begin starts another life, which knows nothing of the former one.
func (n *worker) begin() {
	n.life++
	n.bornMS, n.token, n.leaseEndMS, n.lastEnd, n.acknowledged = n.world.nowMS, 0, 0, 0, 0
	n.running, n.ended, n.highest = map[workload.RunID]bool{}, nil, map[workload.TaskRef]int{}
}

// clockMS is the worker's own clock, the slowest one that the platform allows.
func (n *worker) clockMS() int64 { return (n.world.nowMS - n.bornMS) * 98 / 100 }

// lapse kills what runs once the lease has ended.
func (n *worker) lapse() {
	if n.clockMS() <= n.leaseEndMS {
		return
	}
	n.lapsed = n.world.observed
	for _, id := range n.runs() {
		n.end(id, workload.EndLapsed)
	}
}

func (n *worker) runs() []workload.RunID {
	return slices.SortedFunc(maps.Keys(n.running), func(a, b workload.RunID) int { return a.Run - b.Run })
}

func (n *worker) end(id workload.RunID, kind workload.EndKind) {
	delete(n.running, id)
	n.lastEnd++
	n.ended = append(n.ended, taskrunner.EndedRun{Number: n.lastEnd, Task: id.Task.String(), Run: id.Run, Kind: kind})
	n.highest[id.Task] = max(n.highest[id.Task], id.Run)
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
		return taskrunner.OrderTaken
	}
	if a.ID.Run <= n.highest[a.ID.Task] && !n.world.variant.startsAfterStop {
		return taskrunner.OrderStale
	}
	n.running[a.ID] = true
	n.world.observeStart(n, a.ID)
	return taskrunner.OrderTaken
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
	n.highest[ref] = max(n.highest[ref], a.Run)
	return taskrunner.OrderTaken
}

func (n *worker) hold(a taskrunner.Hold) (taskrunner.HoldResult, taskrunner.RunLists) {
	if n.fenced(a.Generation) {
		return taskrunner.HoldFenced, taskrunner.RunLists{}
	}
	n.leaseEndMS = max(n.leaseEndMS, a.LeaseEndMS)
	upTo := a.Acknowledged
	if n.world.variant.acknowledgesListed {
		upTo = n.lastEnd
	}
	lists := taskrunner.RunLists{ClockMS: n.clockMS(), Incarnation: n.life}
	for _, id := range n.runs() {
		lists.Running = append(lists.Running, workload.RunningTask{Task: id.Task.String(), Run: id.Run, Percent: 50})
	}
	for _, e := range n.ended {
		if e.Number > a.Acknowledged {
			lists.Ended = append(lists.Ended, e)
		}
	}
	n.acknowledge(upTo)
	return taskrunner.HoldAnswered, lists
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
