package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/process"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/wire"
)

// requestMessages are the messages of agents that belong to the request path.
var requestMessages = []wire.Type{
	wire.TypeCredit, wire.TypeClaimReply, wire.TypeLookupReply, wire.TypeAnswerPart, wire.TypeLeaving,
}

// reply is what the request core answers to one caller: an outcome, or the
// state of a queried request.
type reply struct {
	outcome model.Outcome
	state   wire.RequestState
}

// waiter is a caller that waits for its reply.
type waiter struct {
	replies chan reply
}

// requestInput is one input of the request core. The waiter is set for inputs
// that carry a caller.
type requestInput struct {
	input  requestflow.Input
	caller requestflow.Caller
	waiter *waiter
}

// Requests is the duty that owns the request core.
type Requests struct {
	core    *requestflow.Core
	hub     *link.Hub
	log     *event.Log
	now     func() time.Time
	tick    time.Duration
	inputs  *ring.Ring[requestInput]
	callers atomic.Uint64
	waiters map[requestflow.Caller]*waiter
	pool    sync.Pool
	drained chan struct{}
	// ended is closed when the duty no longer answers callers.
	ended   chan struct{}
	dropped metrics.Counter
}

// errBusy means that the ring of the request core is full.
var errBusy = errors.New("entry: request core is busy")

// errEnded means that the request core has stopped.
var errEnded = errors.New("entry: request core has stopped")

func newRequests(config requestflow.Config, capacity int, p *process.Base, hub *link.Hub) *Requests {
	r := &Requests{
		core: requestflow.New(config), hub: hub, log: p.Log, now: p.Now,
		tick:    config.TickInterval,
		inputs:  ring.New[requestInput]("requests", capacity, p.Metrics),
		waiters: map[requestflow.Caller]*waiter{},
		pool:    sync.Pool{New: func() any { return &waiter{replies: make(chan reply, 1)} }},
		drained: make(chan struct{}),
		ended:   make(chan struct{}),
		dropped: metrics.NewCounter(),
	}
	if r.tick == 0 {
		r.tick = requestflow.DefaultConfig().TickInterval
	}
	_ = p.Metrics.Register("requests.unsent", r.dropped)
	hub.OnState(wire.RoleAgent, r.noteLink)
	hub.OnOverdue(wire.RoleAgent, r.noteOverdue)
	for _, kind := range requestMessages {
		hub.Handle(wire.RoleAgent, kind, r.noteMessage)
	}
	return r
}

// Push hands an input without a caller to the request core, such as an
// AssignmentUpdate or a ConfigUpdate. It returns false when the core's ring is full.
func (r *Requests) Push(input requestflow.Input) bool {
	return r.inputs.TryPush(requestInput{input: input})
}

// ask hands a Submit or Query to the core and waits for the reply.
func (r *Requests) ask(build func(requestflow.Caller) requestflow.Input) (reply, error) {
	caller := requestflow.Caller(r.callers.Add(1))
	w := r.pool.Get().(*waiter)
	if !r.inputs.TryPush(requestInput{build(caller), caller, w}) {
		r.pool.Put(w)
		return reply{}, errBusy
	}
	select {
	case answer := <-w.replies:
		r.pool.Put(w)
		return answer, nil
	case <-r.ended:
		return reply{}, errEnded
	}
}

func (r *Requests) noteLink(c *link.Conn, cause error) bool {
	hello := c.Peer().Hello
	if hello.Backend == nil || string(hello.Backend.ID) != hello.Process {
		c.Close()
		return true
	}
	if cause != nil {
		return r.Push(requestflow.LinkDown{Backend: hello.Backend.ID, Connection: c.ID()})
	}
	return r.Push(requestflow.LinkUp{
		Backend: *hello.Backend, Incarnation: hello.Incarnation, Connection: c.ID(), Leaving: hello.Leaving,
	})
}

func (r *Requests) noteOverdue(c *link.Conn) {
	r.Push(requestflow.LinkOverdue{Backend: model.BackendServerID(c.Peer().Process), Connection: c.ID()})
}

func (r *Requests) noteMessage(c *link.Conn, m wire.Message) bool {
	return r.Push(requestflow.Receive{From: model.BackendServerID(c.Peer().Process), Connection: c.ID(), Message: m})
}

// run is the duty: it steps the core with each input and with time.
func (r *Requests) run(ctx context.Context) error {
	defer close(r.ended)
	ticker := time.NewTicker(r.tick)
	defer ticker.Stop()
	for {
		select {
		case in := <-r.inputs.Out():
			if in.waiter != nil {
				r.waiters[in.caller] = in.waiter
			}
			r.perform(r.core.Step(r.now(), in.input))
		case <-ticker.C:
			r.perform(r.core.Step(r.now(), requestflow.Tick{}))
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Requests) perform(actions []requestflow.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case requestflow.Send:
			r.send(action)
		case requestflow.Finish:
			for _, caller := range action.Callers {
				r.answer(caller, reply{outcome: action.Outcome})
			}
		case requestflow.QueryResult:
			r.answer(action.Caller, reply{outcome: action.Outcome, state: action.State})
		case requestflow.Record:
			r.log.Record(action.Event)
		case requestflow.ReadyToStop:
			close(r.drained)
		}
	}
}

// send queues a message on the connection that the core named. On any other
// connection it would break the core's count of what was sent; the loss of the
// named one is on its way to the core.
func (r *Requests) send(action requestflow.Send) {
	c := r.hub.Conn(string(action.To))
	if c == nil || c.ID() != action.Connection || !c.Send(action.Message) {
		r.dropped.Inc(1)
	}
}

func (r *Requests) answer(caller requestflow.Caller, answer reply) {
	w := r.waiters[caller]
	if w == nil {
		return
	}
	delete(r.waiters, caller)
	w.replies <- answer
}

// drain begins the graceful stop of the core and waits until no request is left.
func (r *Requests) drain(ctx context.Context) {
	if !r.inputs.Push(ctx, requestInput{input: requestflow.Stop{}}) {
		return
	}
	select {
	case <-r.drained:
	case <-r.ended:
	case <-ctx.Done():
	}
}
