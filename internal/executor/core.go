package executor

import (
	"time"

	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Core decides what happens to each request on an agent.
//
// Invariants: the slots and connections of started requests, and the sums of
// the credits of all entry hosts, never exceed the configured limits; a request
// ID is started at most once in the life of a Core while its record is kept.
type Core struct {
	config  Config
	claims  *dedup.Claims
	permit  dedup.Permit
	runs    *dedup.Window[*run]
	running map[model.RequestID]*run
	links   map[model.EntryID]*link
	partial *assembler
	answers answerStore

	// knownSinceMS: IDs minted later cannot have reached an earlier life.
	knownSinceMS int64
	slotsInUse   int
	// undelivered counts the ended runs whose end no entry host was told yet.
	undelivered int

	// leaving is set from Stop on, at stopAt; stopped once ReadyToStop was said.
	leaving bool
	stopped bool
	stopAt  time.Time
	// lastEnd is when the last started request ended, or stopAt if that is later.
	lastEnd time.Time

	// actions are those of the present Step.
	actions []Action
}

// New returns a Core without connections.
func New(config Config) *Core {
	config = config.withDefaults()
	return &Core{
		config: config,
		claims: dedup.NewClaims(dedup.Limits{
			Self: config.ID, Incarnation: config.Incarnation, ClockSkewBound: config.ClockSkewBound,
			LongestPermit: config.LongestPermit, Horizon: config.Horizon, MaxRecords: config.MaxRecords,
		}),
		runs:    dedup.NewWindow[*run](config.Horizon, config.MaxRecords, 0),
		running: map[model.RequestID]*run{},
		links:   map[model.EntryID]*link{},
		partial: newAssembler(config.MaxBodyBytes, config.MaxPartialBytes),
		answers: answerStore{maxBytes: config.MaxAnswerBytes, ttl: config.AnswerTTL},

		knownSinceMS: config.Started.UnixMilli() + 2*config.ClockSkewBound.Milliseconds(),
	}
}

// Step handles one input and returns what has to be done, in order.
func (c *Core) Step(now time.Time, in Input) []Action {
	c.actions = nil
	switch in := in.(type) {
	case LinkUp:
		c.linkUp(now, in)
	case LinkDown:
		c.linkDown(now, in)
	case Receive:
		c.receive(now, in)
	case BackendDone:
		c.backendDone(now, in)
	case PermitGranted:
		c.permitGranted(in)
	case PermitRevoked:
		c.setPermit(dedup.Permit{Assignment: c.permit.Assignment})
	case AssignmentUpdate:
		c.claims.SetAssignment(now, in.Assignment)
	case Tick:
		c.tick(now)
	case Stop:
		c.stop(now)
	}
	return c.actions
}

// Stats are the sizes of a Core's tables, for metrics. KeptAnswerBytes and
// PartialBodySize are in bytes.
type Stats struct {
	Running, SlotsInUse, Links       int
	Claims, Requests, KeptAnswers    int
	KeptAnswerBytes, PartialBodySize int
}

// Stats returns the current sizes.
func (c *Core) Stats() Stats {
	return Stats{
		Running: len(c.running), SlotsInUse: c.slotsInUse, Links: len(c.links),
		Claims: c.claims.Len(), Requests: c.runs.Len(), KeptAnswers: c.answers.count(),
		KeptAnswerBytes: c.answers.bytes, PartialBodySize: c.partial.bytes,
	}
}

func (c *Core) receive(now time.Time, in Receive) {
	l := c.links[in.From]
	if l == nil || l.connection != in.Connection {
		return
	}
	switch m := in.Message.(type) {
	case *wire.Claim:
		c.send(l, c.claims.Handle(now, in.From, m))
	case *wire.Dispatch:
		c.dispatch(now, l, m)
	case *wire.Lookup:
		c.lookup(now, l, m)
	case *wire.Forget:
		c.answers.drop(m.Request)
	case *wire.Demand:
		if m.Seq > l.demandSeq {
			l.demandSeq = m.Seq
			l.demand = m.Slots
			l.largest = m.Largest
			c.allotCredits(now)
		}
	}
}

func (c *Core) permitGranted(in PermitGranted) {
	if in.Assignment < c.permit.Assignment {
		return
	}
	c.setPermit(dedup.Permit{Assignment: in.Assignment, ValidUntil: in.ValidUntil, ZoneOut: in.ZoneOut})
}

func (c *Core) setPermit(p dedup.Permit) {
	c.permit = p
	c.claims.SetPermit(p)
}

func (c *Core) tick(now time.Time) {
	c.claims.Advance(now)
	c.runs.Advance(now.UnixMilli())
	c.answers.expire(now)
	c.partial.expire(now)
	c.allotCredits(now)
	c.checkStopped(now)
}

func (c *Core) send(l *link, m wire.Message) {
	c.actions = append(c.actions, Send{To: l.entry, Connection: l.connection, Message: m})
}

func (c *Core) record(code event.Code, id model.RequestID, detail string) {
	e := event.Event{Code: code, Request: id, Subject: string(c.config.ID), Detail: detail}
	c.actions = append(c.actions, Record{Event: e})
}
