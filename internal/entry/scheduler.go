package entry

import (
	"context"
	"sync/atomic"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

// schedulerInput is one input of the scheduler duty; exactly one field is set.
type schedulerInput struct {
	core scheduler.Input
	call *operatorCall
	row  *rowResult
	load *loadResult
	// cancelled is the result of keeping an operator's cancellations.
	cancelled *cancelResult
	link      *linkChange
}

// Scheduler is the duty that owns the region's scheduler core. The core acts
// only while this entry host holds the region lease.
type Scheduler struct {
	p      *Process
	state  *State
	calls  *platformCalls
	inputs *ring.Ring[schedulerInput]
	core   *scheduler.Core
	rows   *rowWriter

	// agents maps a worker to the connection of its agent.
	agents map[model.WorkerID]*link.Conn
	// document is the newest configuration that the core was not told of yet.
	document atomic.Pointer[model.ConfigDocument]
	// loading is the epoch whose rows are being read, or zero.
	loading model.Epoch
	// loadAt is when they are read again after a failure; zero while they are
	// being read.
	loadAt time.Time
	// ready is set once the core owns the region.
	ready bool
	// waiting holds the calls of operators that wait for a row's write.
	waiting map[model.JobID][]*operatorCall
	// doubtful holds the submitted jobs whose rows may or may not be written.
	doubtful map[model.JobID]*doubtfulJob
	// nextSnapshot is when the state is stored next.
	nextSnapshot time.Time
	snapshots    *snapshotStore
	// kept are the rows of ended jobs, oldest first.
	kept []keptRow
	// remote holds calls that were forwarded to the owner.
	remote *forwardedCalls
}

func newScheduler(p *Process, state *State, calls *platformCalls) *Scheduler {
	s := &Scheduler{
		p: p, state: state, calls: calls,
		inputs:  ring.New[schedulerInput]("scheduler", p.Config.Settings.Process.RingCapacity, p.Metrics),
		core:    scheduler.New(scheduler.DefaultSettings()),
		agents:  map[model.WorkerID]*link.Conn{},
		waiting: map[model.JobID][]*operatorCall{}, doubtful: map[model.JobID]*doubtfulJob{},
		remote: newForwardedCalls(p),
		snapshots: &snapshotStore{
			table: calls.table, objects: calls.objects, region: p.Config.Settings.Region,
		},
	}
	s.rows = newRowWriter(s)
	p.Hub.OnState(wire.RoleAgent, s.noteLink)
	for _, kind := range []wire.Type{wire.TypeReserveReply, wire.TypeTaskReport, wire.TypeWorkerReport, wire.TypeLeaseRequest} {
		p.Hub.Handle(wire.RoleAgent, kind, s.noteMessage)
	}
	p.Hub.Handle(wire.RoleEntry, wire.TypeOperatorCall, s.noteForwarded)
	p.Hub.Handle(wire.RoleEntry, wire.TypeOperatorReply, s.remote.noteReply)
	return s
}

func (s *Scheduler) noteLink(c *link.Conn, cause error) bool {
	if c.Peer().Hello.Worker == nil {
		return true
	}
	return s.inputs.TryPush(schedulerInput{link: &linkChange{conn: c, lost: cause != nil}})
}

func (s *Scheduler) noteMessage(c *link.Conn, m wire.Message) bool {
	if c.Peer().Hello.Worker == nil {
		return true
	}
	from := c.Peer().Hello.Worker.ID
	input := scheduler.Input(scheduler.Receive{From: from, Message: m})
	if report, ok := m.(*wire.WorkerReport); ok {
		input = scheduler.WorkerUp{Report: *report}
	}
	return s.inputs.TryPush(schedulerInput{core: input})
}

// configure hands a configuration over. Only the newest one counts.
func (s *Scheduler) configure(document *model.ConfigDocument) { s.document.Store(document) }

// followLease begins or ends the ownership of the region as the state duty
// last saw the lease.
func (s *Scheduler) followLease(now time.Time) {
	epoch, holds := s.state.holdsLease(now)
	_, owner := s.core.Owner()
	switch {
	case holds && s.loading != epoch && !s.owns(epoch):
		s.loading, s.ready = epoch, false
		s.loadRows(epoch)
	case s.state.isDormant(now):
		// The core keeps its state until the agreement is fresh again.
	case !holds && (owner || s.loading != 0):
		s.loading, s.ready = 0, false
		s.step(scheduler.LoseOwnership{})
		s.rows.reset()
		clear(s.doubtful)
		s.refuseWaiting()
	}
}

// run is the duty.
func (s *Scheduler) run(ctx context.Context) error {
	ticker := time.NewTicker(scheduler.TickInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case in := <-s.inputs.Out():
			s.take(in)
		case <-ticker.C:
			s.takeDocument()
			s.followLease(s.p.Now())
			s.retryLoad(s.p.Now())
			s.rows.retryDue(s.p.Now())
			s.step(scheduler.StoreStatus{Reachable: s.state.writesReachStore(s.p.Now())})
			s.step(scheduler.Tick{})
			s.retryDoubtful(s.p.Now())
			s.saveSnapshot(s.p.Now())
			s.forgetEnded(s.p.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Scheduler) takeDocument() {
	if document := s.document.Swap(nil); document != nil {
		s.step(scheduler.ConfigUpdate{Document: document})
	}
}

func (s *Scheduler) take(in schedulerInput) {
	switch {
	case in.core != nil:
		s.step(in.core)
	case in.call != nil:
		s.serve(in.call)
	case in.row != nil:
		s.rows.done(*in.row)
	case in.cancelled != nil:
		s.takeCancelled(*in.cancelled)
	case in.load != nil:
		s.takeRows(*in.load)
	case in.link != nil:
		s.takeLink(*in.link)
	}
}

func (s *Scheduler) takeLink(change linkChange) {
	worker := *change.conn.Peer().Hello.Worker
	if !change.lost {
		s.agents[worker.ID] = change.conn
		return
	}
	if s.agents[worker.ID] == change.conn {
		delete(s.agents, worker.ID)
		s.step(scheduler.WorkerLost{Worker: worker.ID})
	}
}

// step steps the core, unless the region lease ended since the last step: then
// the core is told so first and takes nothing else.
func (s *Scheduler) step(in scheduler.Input) {
	now := s.p.Now()
	if s.state.isDormant(now) {
		return
	}
	if _, owner := s.core.Owner(); owner {
		if epoch, holds := s.state.holdsLease(now); !holds || !s.owns(epoch) {
			s.ready = false
			s.perform(s.core.Step(now, scheduler.LoseOwnership{}))
			return
		}
	}
	s.perform(s.core.Step(now, in))
}

func (s *Scheduler) owns(epoch model.Epoch) bool {
	mine, owner := s.core.Owner()
	return owner && mine == epoch
}

func (s *Scheduler) perform(actions []scheduler.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case scheduler.Send:
			if c := s.agents[action.To]; c != nil {
				c.Send(action.Message)
			}
		case scheduler.WriteDecision:
			s.rows.write(rowWrite{row: action.Row, kind: rowDecision})
		case scheduler.SaveJob:
			s.rows.write(rowWrite{row: action.Row, kind: rowSave})
		case scheduler.ReadDecision:
			s.rows.write(rowWrite{row: scheduler.JobRow{Job: model.Job{ID: action.Job}, Attempt: action.Attempt}, kind: rowRead})
		case scheduler.DeleteRows:
			for _, id := range action.Jobs {
				s.rows.write(s.endedWrite(id))
			}
		case scheduler.Record:
			s.p.Log.Record(action.Event)
		case scheduler.Notify:
			s.p.Log.Record(event.Event{Code: event.OperatorAlarm, Subject: string(action.Alarm) + " " + action.Subject, Detail: action.Text})
		case scheduler.Refuse:
			s.p.Log.Record(event.Event{Code: event.JobRefused, Job: action.Job, Detail: action.Reason})
		}
	}
}
