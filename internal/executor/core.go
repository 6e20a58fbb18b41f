package executor

import (
	"time"

	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Core is the state machine that handles the requests on an agent.
//
// Invariants: the slots and connections of started requests, and the sums of
// the credits of all entry hosts, never exceed the configured limits; a Core
// starts a request ID at most once while it keeps the ID's record.
type Core struct {
	config  Config
	claims  *dedup.Claims
	permit  dedup.Permit
	runs    *dedup.Window[*run]
	running map[model.RequestID]*run
	links   map[model.EntryID]*link
	partial *assembler
	answers answerStore

	// knownSinceMS is in Unix milliseconds. IDs minted later cannot have reached an
	// earlier incarnation of the agent, so this Core knows whether they were started.
	knownSinceMS int64
	slotsInUse   int
	// undelivered counts the ended runs whose result was not sent to any entry host yet.
	undelivered int

	// leaving is set once Stop was received, at stopAt; stopped is set once
	// ReadyToStop was returned.
	leaving bool
	stopped bool
	stopAt  time.Time
	// lastEnd is when the last started request ended, or stopAt if later.
	lastEnd time.Time

	// actions collects the actions of the current Step.
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

// Step handles one input and returns the resulting actions in the order of their
// execution.
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

// Stats holds the sizes of a Core's tables, for metrics. KeptAnswerBytes and
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
