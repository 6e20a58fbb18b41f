package agent

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/wire"
)

// requestMessages are the messages of entry hosts that belong to the request path.
var requestMessages = []wire.Type{
	wire.TypeClaim, wire.TypeDispatch, wire.TypeLookup, wire.TypeForget, wire.TypeDemand,
}

// tickInterval is the longest time between two Tick inputs of the executor.
const tickInterval = 25 * time.Millisecond

// Requests is the duty that owns the executor core.
type Requests struct {
	core    *executor.Core
	backend *backendCaller
	hub     *link.Hub
	log     *event.Log
	now     func() time.Time
	inputs  *ring.Ring[executor.Input]
	drained chan struct{}
	ended   chan struct{}
	dropped metrics.Counter
}

func newRequests(p *Process, config executor.Config, backend *backendCaller) *Requests {
	r := &Requests{
		core: executor.New(config), backend: backend, hub: p.Hub, log: p.Log, now: p.Now,
		inputs:  ring.New[executor.Input]("requests", p.Config.Settings.Process.RingCapacity, p.Metrics),
		drained: make(chan struct{}),
		ended:   make(chan struct{}),
		dropped: metrics.NewCounter(),
	}
	_ = p.Metrics.Register("requests.unsent", r.dropped)
	p.Hub.OnState(wire.RoleEntry, r.noteLink)
	for _, kind := range requestMessages {
		p.Hub.Handle(wire.RoleEntry, kind, r.noteMessage)
	}
	return r
}

// Push hands an input to the executor core, such as a PermitGranted or an
// AssignmentUpdate. It returns false when the core's ring is full.
func (r *Requests) Push(input executor.Input) bool { return r.inputs.TryPush(input) }

func (r *Requests) noteLink(c *link.Conn, cause error) bool {
	peer := c.Peer()
	if cause != nil {
		return r.Push(executor.LinkDown{Entry: model.EntryID(peer.Process), Connection: c.ID()})
	}
	return r.Push(executor.LinkUp{
		Entry: model.EntryID(peer.Process), Incarnation: peer.Incarnation, Connection: c.ID(),
	})
}

func (r *Requests) noteMessage(c *link.Conn, m wire.Message) bool {
	return r.Push(executor.Receive{From: model.EntryID(c.Peer().Process), Connection: c.ID(), Message: m})
}

// run is the duty: it steps the core with each input and with time.
func (r *Requests) run(ctx context.Context) error {
	defer close(r.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var input executor.Input
		select {
		case input = <-r.inputs.Out():
		case done := <-r.backend.results.Out():
			input = done
		case <-ticker.C:
			input = executor.Tick{}
		case <-ctx.Done():
			return nil
		}
		r.perform(r.core.Step(r.now(), input))
	}
}

func (r *Requests) perform(actions []executor.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case executor.Send:
			c := r.hub.Conn(string(action.To))
			if c == nil || c.ID() != action.Connection || !c.Send(action.Message) {
				r.dropped.Inc(1)
			}
		case executor.StartBackend:
			if !r.backend.start(action.Request) {
				done := executor.BackendDone{Request: action.Request.ID, Result: executor.BackendNotStarted}
				r.perform(r.core.Step(r.now(), done))
			}
		case executor.Record:
			r.log.Record(action.Event)
		case executor.ReadyToStop:
			close(r.drained)
		}
	}
}

// drain begins the graceful stop of the core and waits until no work and no
// undelivered answer is left.
func (r *Requests) drain(ctx context.Context) {
	if !r.inputs.Push(ctx, executor.Stop{}) {
		return
	}
	select {
	case <-r.drained:
	case <-r.ended:
	case <-ctx.Done():
	}
}
