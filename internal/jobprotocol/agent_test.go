package jobprotocol

import (
	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/taskrunner"
	"dragonflyyard/internal/workload"
)

// callFault is what happens to the first call of a kind in an agent's round.
type callFault string

// Faults of an agent's calls.
const (
	noFault         callFault = ""
	startRefused    callFault = "start_refused"
	startAnswerLost callFault = "start_answer_lost"
	startLate       callFault = "start_late"
	stopAnswerLost  callFault = "stop_answer_lost"
	stopLate        callFault = "stop_late"
	// lookFailed is lost on its way, and nothing of lookNotSent was sent.
	lookFailed  callFault = "look_failed"
	lookNotSent callFault = "look_not_sent"
	// rowAnswerLost and rowLost are announcements without an answer, of which the
	// first took effect; rowRefused is one that the store did not take.
	rowAnswerLost callFault = "row_answer_lost"
	rowLost       callFault = "row_lost"
	rowRefused    callFault = "row_refused"
)

var callFaults = []callFault{startRefused, startAnswerLost, startLate, stopAnswerLost, stopLate, lookFailed, lookNotSent, rowAnswerLost, rowLost, rowRefused}

// agent is the agent of one host.
type agent struct {
	world    *world
	host     string
	worker   *worker
	core     *taskrunner.Core
	sequence uint64
	// began is set once the process took in what an earlier one left behind.
	began bool
	fault callFault
	// draining is set once the worker says that it drains.
	draining bool
	// deaf is set once the agent hears no answer to a look that the worker takes.
	deaf bool
}

func newAgent(w *world, host string) *agent {
	a := &agent{world: w, host: host, worker: newWorker(w, host)}
	a.restart()
	return a
}

func (a *agent) restart() {
	a.core, a.began = taskrunner.New(taskrunner.DefaultSettings(leaseMax), a.host), false
}

// lookEvery is the time between two steps of a round, above the agent's pause
// between two looks; stepsOfRound lets it see an end, report and acknowledge it.
const (
	lookEveryMS  = 160
	stepsOfRound = 3
)

// round reads the orders and does what the core asks for. The first call of the
// fault's kind fails by it; false is returned when there was none.
func (a *agent) round(fault callFault) bool {
	a.fault = fault
	a.steps(stepsOfRound)
	return a.fault == noFault
}

// steps is a round of n steps of the core.
func (a *agent) steps(n int) {
	a.sequence++
	if !a.began {
		a.load()
	}
	a.core.HeartbeatSeen(taskrunner.Heartbeat{
		Worker: workerID(a.host), Incarnation: a.worker.life, Sequence: a.sequence, Service: service, Capacity: capacity,
		Draining: a.draining,
	})
	a.readOrders()
	for range n {
		for _, action := range a.core.Step(a.world.time(), a.world.nowMS, true) {
			a.do(action)
		}
		a.world.pass(lookEveryMS)
	}
	a.core.Notes()
}

func (a *agent) load() {
	var row workload.Announcement
	stored := a.world.get(workload.WorkerKey(a.host))
	if stored.Version != 0 {
		a.world.decode(stored, &row)
	}
	a.core.RowLoaded(row, stored.Version)
}

func (a *agent) readOrders() {
	snapshot := a.world.scan(workload.OrderPrefix(a.host))
	present := map[workload.RunID]bool{}
	for _, row := range snapshot.Rows {
		order, id := a.world.decodeOrder(row)
		present[id] = true
		a.core.OrderSeen(order, row.Version, !a.began)
	}
	a.core.OrdersLoaded(present, snapshot.Version)
	a.began = true
}

// meets reports whether the round's fault strikes a call; it strikes once.
func (a *agent) meets(fault callFault) bool {
	if a.fault != fault {
		return false
	}
	a.fault = noFault
	return true
}

func (a *agent) do(action taskrunner.Action) {
	switch action := action.(type) {
	case taskrunner.StartRun:
		a.core.Started(a.world.time(), action.ID, a.start(action))
	case taskrunner.StopRun:
		a.core.Stopped(a.world.time(), action.Task, action.Run, a.stop(action))
	case taskrunner.Hold:
		result, lists := a.look(action)
		a.core.Polled(a.world.time(), a.world.time(), action, result, lists)
	case taskrunner.Announce:
		a.announce(action)
	case taskrunner.ReportEnds:
		a.reportEnds(action)
	}
}

func (a *agent) look(action taskrunner.Hold) (taskrunner.HoldResult, taskrunner.RunLists) {
	switch {
	case a.meets(lookFailed):
		return taskrunner.HoldFailed, taskrunner.RunLists{}
	case a.meets(lookNotSent):
		return taskrunner.HoldNotSent, taskrunner.RunLists{}
	case a.deaf:
		a.worker.hold(action)
		if a.world.variant.forgetsLostLooks {
			return taskrunner.HoldNotSent, taskrunner.RunLists{}
		}
		return taskrunner.HoldFailed, taskrunner.RunLists{}
	default:
		return a.worker.hold(action)
	}
}

func (a *agent) start(action taskrunner.StartRun) taskrunner.OrderResult {
	switch {
	case a.meets(startRefused):
		return taskrunner.OrderRefused
	case a.meets(startAnswerLost):
		a.worker.start(action)
		return taskrunner.OrderInDoubt
	case a.meets(startLate):
		a.world.late = append(a.world.late, lateCall{a.host, action, a.world.nowMS})
		return taskrunner.OrderInDoubt
	default:
		return a.worker.start(action)
	}
}

func (a *agent) stop(action taskrunner.StopRun) taskrunner.OrderResult {
	switch {
	case a.meets(stopAnswerLost):
		a.worker.stop(action)
		return taskrunner.OrderInDoubt
	case a.meets(stopLate):
		a.world.late = append(a.world.late, lateCall{a.host, action, a.world.nowMS})
		return taskrunner.OrderInDoubt
	default:
		return a.worker.stop(action)
	}
}

// commit makes an agent's transaction, or lets the round's fault strike it.
func (a *agent) commit(tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	switch {
	case a.meets(rowAnswerLost):
		if _, err := a.world.commit(tx); err != nil && !errors.Is(err, storeapi.ErrConflict) {
			a.world.t.Fatal(err)
		}
		return nil, storeapi.ErrInDoubt
	case a.meets(rowLost):
		return nil, storeapi.ErrInDoubt
	case a.meets(rowRefused):
		return nil, storeapi.ErrUnavailable
	default:
		return a.world.commit(tx)
	}
}

func (a *agent) announce(action taskrunner.Announce) {
	key := workload.WorkerKey(a.host)
	tx := storeapi.Transaction{
		Checks: []storeapi.Check{{Key: key, Version: action.Version}},
		Puts:   []storeapi.Put{{Key: key, Value: rowcodec.Encode(&action.Row)}},
	}
	for _, end := range action.Ends {
		endKey := workload.EndKey(a.host, end.ID)
		tx.Checks = append(tx.Checks, storeapi.Check{Key: endKey})
		tx.Puts = append(tx.Puts, storeapi.Put{Key: endKey, Value: rowcodec.Encode(&end.End)})
	}
	versions, err := a.commit(tx)
	var version storeapi.RowVersion
	var present taskrunner.Present
	var conflict *storeapi.Conflict
	if err == nil {
		version = versions[0]
	} else if errors.As(err, &conflict) {
		row := conflict.Find(key)
		if present.Version = row.Version; row.Version != 0 {
			a.world.decode(row, &present.Row)
		}
		for _, end := range action.Ends {
			if conflict.Find(workload.EndKey(a.host, end.ID)).Version != 0 {
				present.Reported = append(present.Reported, end)
			}
		}
	}
	a.core.Announced(a.world.time(), action, storeapi.ResultOf(err), version, present)
}

func (a *agent) reportEnds(action taskrunner.ReportEnds) {
	tx := storeapi.Transaction{}
	for _, end := range action.Ends {
		key := workload.SharedEndKey(end.ID)
		tx.Checks = append(tx.Checks, storeapi.Check{Key: end.OrderKey, Version: end.OrderVersion}, storeapi.Check{Key: key})
		tx.Puts = append(tx.Puts, storeapi.Put{Key: key, Value: rowcodec.Encode(&end.End)})
	}
	_, err := a.commit(tx)
	var reported []taskrunner.PendingEnd
	orders := map[workload.RunID]taskrunner.PresentOrder{}
	var conflict *storeapi.Conflict
	if errors.As(err, &conflict) {
		for _, end := range action.Ends {
			if conflict.Find(workload.SharedEndKey(end.ID)).Version != 0 {
				reported = append(reported, end)
			}
			if row := conflict.Find(end.OrderKey); row.Version != 0 {
				order, id := a.world.decodeOrder(row)
				orders[id] = taskrunner.PresentOrder{Order: order, Version: row.Version}
			}
		}
	}
	a.core.EndsReported(a.world.time(), action, storeapi.ResultOf(err), reported, orders)
}
