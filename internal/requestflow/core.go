package requestflow

import (
	"sort"
	"time"

	"dragonflyyard/internal/admission"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/retry"
	"dragonflyyard/internal/routing"
	"dragonflyyard/internal/wire"
)

// tokensPerMillisecond separates the claim tokens of an entry host's lives.
const tokensPerMillisecond = 1 << 20

// link is a connection to an agent.
type link struct {
	backend     model.BackendServer
	incarnation model.Incarnation
	connection  uint64
	// heard is when the last message came. suspect is set while a claim or
	// look-up went unanswered and nothing was heard since it was sent.
	heard     time.Time
	suspect   bool
	demandSeq uint64
	demand    wire.Demand
}

// formerLife is the last life of an agent before the connected one.
type formerLife struct {
	incarnation model.Incarnation
	heard       time.Time
}

// hold is slots of a finished flight whose executor still runs the request.
type hold struct {
	executor   model.BackendServerID
	connection uint64
	slots      int
	expires    time.Time
}

// Core decides what happens to each request on an entry host.
//
// Invariants: each Submit gets exactly one Finish, unless its caller is gone;
// all tables are bounded by Config; every wait has a timer.
type Core struct {
	config  Config
	links   map[model.BackendServerID]*link
	flights map[model.RequestID]*flight
	callers map[Caller]*flight
	holds   map[model.RequestID]hold
	// formerLives is bounded by the agents heard of within formerLifeTimeout.
	formerLives map[model.BackendServerID]formerLife
	timers      timerHeap
	queue       *admission.Queue
	controller  *admission.Controller
	table       *routing.Table
	budget      *retry.Budget
	assignment  *wire.Assignment
	document    *model.ConfigDocument

	nextSeq     uint64
	lastToken   uint64
	queuedSlots int
	demandDue   time.Time
	// unfinished counts flights that ended outside the chart's final state.
	unfinished int
	stopping   bool
	stopped    bool
	actions    []Action
}

// New returns a Core without connections.
func New(config Config) *Core {
	config = config.withDefaults()
	c := &Core{
		config:      config,
		links:       map[model.BackendServerID]*link{},
		flights:     map[model.RequestID]*flight{},
		callers:     map[Caller]*flight{},
		holds:       map[model.RequestID]hold{},
		formerLives: map[model.BackendServerID]formerLife{},
		queue:       admission.NewQueue(config.FIFO),
		controller:  admission.NewController(config.DisableAdmission),
		table:       routing.NewTable(config.Zone, config.Seed, config.RandomRouting),
		budget:      retry.NewBudget(config.DisableRetryBudget),
		lastToken:   uint64(config.Incarnation) * tokensPerMillisecond,
	}
	c.table.SetTrace(c.traceBackend)
	return c
}

// Step handles one input and returns what has to be done, in order.
func (c *Core) Step(now time.Time, in Input) []Action {
	c.actions = nil
	switch in := in.(type) {
	case Submit:
		c.submit(now, in)
	case Query:
		c.queryRequest(now, in)
	case CallerGone:
		c.callerGone(in)
	case LinkUp:
		c.linkUp(now, in)
	case LinkDown:
		c.linkDown(now, in)
	case LinkOverdue:
		c.linkOverdue(in)
	case Receive:
		c.receive(now, in)
	case AssignmentUpdate:
		c.assignmentUpdate(now, in)
	case ConfigUpdate:
		c.configUpdate(in)
	case Tick:
		c.tick(now)
	case Stop:
		c.stopping = true
	}
	c.pump(now)
	c.checkStopped()
	c.recordRouting()
	return c.actions
}

// Stats are the sizes of a Core's tables, for metrics.
type Stats struct {
	Requests, Queued, Links, Holds int
	TotalSlots, FreeSlots          int
	// Unfinished counts requests that ended outside the chart's final state.
	Unfinished int
}

// Stats returns the current sizes.
func (c *Core) Stats() Stats {
	total, free := c.table.Slots()
	return Stats{
		Requests: len(c.flights), Queued: c.queue.Len(), Links: len(c.links), Holds: len(c.holds),
		TotalSlots: total, FreeSlots: free, Unfinished: c.unfinished,
	}
}

// BackendState returns the state of a backend server as routing sees it.
func (c *Core) BackendState(id model.BackendServerID) routing.ServerState { return c.table.State(id) }

func (c *Core) receive(now time.Time, in Receive) {
	l := c.links[in.From]
	if l == nil || l.connection != in.Connection {
		return
	}
	c.heardFrom(now, l)
	switch m := in.Message.(type) {
	case *wire.Credit:
		c.table.SetCredit(in.From, m.Seq, m.Slots, m.Connections)
	case *wire.Leaving:
		c.table.MarkLeaving(in.From)
	case *wire.ClaimReply:
		c.claimReply(now, l, m)
	case *wire.LookupReply:
		c.lookupReply(now, l, m)
	case *wire.AnswerPart:
		c.answerPart(now, l, m)
	}
}

func (c *Core) tick(now time.Time) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].wake) {
		f := c.timers[0]
		c.expire(now, f)
		c.schedule(f)
	}
	c.expireHolds(now)
	c.expireFormerLives(now)
	c.sendDemands(now)
}

func (c *Core) assignmentUpdate(now time.Time, in AssignmentUpdate) {
	if c.assignment != nil && in.Assignment.Version <= c.assignment.Version {
		return
	}
	assignment := in.Assignment
	c.assignment = &assignment
	c.unpark(now)
}

func (c *Core) configUpdate(in ConfigUpdate) {
	if in.Document == nil || (c.document != nil && in.Document.Version <= c.document.Version) {
		return
	}
	c.document = in.Document
	for id, account := range in.Document.Accounts {
		c.queue.SetWeight(id, account.Weight)
	}
	out := map[model.AvailabilityZoneName]bool{}
	for zone, state := range in.Document.Zones {
		out[zone] = state == model.ZoneOut
	}
	c.table.SetZonesOut(out)
	c.controller.RetainAccounts(func(id model.ClientAccountID) bool {
		_, ok := in.Document.Accounts[id]
		return ok
	})
}

// ordered returns the flights for which keep is true, oldest first.
func (c *Core) ordered(keep func(*flight) bool) []*flight {
	var list []*flight
	for _, f := range c.flights {
		if keep(f) {
			list = append(list, f)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].seq < list[j].seq })
	return list
}

func (c *Core) checkStopped() {
	if c.stopping && !c.stopped && len(c.flights) == 0 {
		c.stopped = true
		c.actions = append(c.actions, ReadyToStop{})
	}
}

func (c *Core) send(l *link, m wire.Message) {
	c.actions = append(c.actions, Send{To: l.backend.ID, Connection: l.connection, Message: m})
}

func (c *Core) record(code event.Code, f *flight, detail string) {
	e := event.Event{Code: code, Request: f.request.ID, Subject: string(f.request.Account), Detail: detail}
	c.actions = append(c.actions, Record{Event: e})
}

func (c *Core) recordRouting() {
	for _, e := range c.table.Events() {
		c.actions = append(c.actions, Record{Event: e})
	}
}
