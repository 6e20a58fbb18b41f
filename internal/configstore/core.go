package configstore

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// callLimit is how long a core waits for the result of a call, or for the end
// of a catch-up. It is far longer than the deadline of any call.
const callLimit = 30 * time.Second

// Core is one entry host's view of the configuration and its writer. At most
// one read and one write are outstanding at any time.
type Core struct {
	limits   Limits
	region   model.RegionName
	validate Validator

	document *model.ConfigDocument
	// history holds the latest changes by version; it has no gaps.
	history    []model.ConfigChange
	assignment wire.Assignment

	// ready and currentSince are described at View.
	ready        bool
	currentSince time.Time
	// head is the head row's value, and headRow its version, when the core last
	// had all that the row showed.
	head    Head
	headRow storeapi.RowVersion
	// assignmentRow is the version of the head row of the home assignment.
	assignmentRow storeapi.RowVersion

	lastCall uint64
	read     readState
	nextRead time.Time
	// noReadBefore keeps a read that failed from being repeated at once.
	noReadBefore time.Time

	backfill     backfill
	nextBackfill time.Time

	// allowed and member are what Admit told last.
	allowed bool
	member  storeapi.Check
	// queue holds the changes that wait for the present write to end.
	queue []submission
	write *pendingWrite
	// snapshot is the version of the snapshot that was stored last.
	snapshot model.ConfigVersion
	// snapshotCall is the outstanding write of a snapshot, zero for none;
	// snapshotAt is its start, and snapshotting the version that it stores.
	snapshotCall uint64
	snapshotAt   time.Time
	snapshotting model.ConfigVersion

	// trace is told of each transition; nil for none.
	trace func(*statechart.Chart, statechart.Transition)
}

// readStep is what the outstanding read is for.
type readStep uint8

const (
	readNothing readStep = iota
	readHeads
	readChanges
	readSnapshot
	readAssignment
	readChangeID
	readBackfill
)

// readState is the outstanding read. A catch-up is several reads under one
// startedAt, which is when the read of the head rows began.
type readState struct {
	step      readStep
	call      uint64
	startedAt time.Time
	// head and assignment are what the head rows showed.
	head          Head
	headRow       storeapi.RowVersion
	assignment    uint64
	assignmentRow storeapi.RowVersion
	// triedSnapshot is set once the snapshot was asked for.
	triedSnapshot bool
}

// New returns a core that has read nothing. The validator may be nil.
func New(limits Limits, region model.RegionName, validate Validator) *Core {
	if validate == nil {
		validate = func(*model.ConfigDocument, model.ConfigChange) error { return nil }
	}
	return &Core{limits: limits, region: region, validate: validate, document: NewDocument()}
}

// Trace registers a function that is told of each transition of a change and of
// the availability zone that a change moves.
func (c *Core) Trace(trace func(*statechart.Chart, statechart.Transition)) { c.trace = trace }

// Document returns the configuration that is in force here. It is never
// changed; a later version is another document.
func (c *Core) Document() *model.ConfigDocument { return c.document }

// Assignment returns the home assignment that is in force here.
func (c *Core) Assignment() wire.Assignment { return c.assignment }

// View returns what the core knows.
func (c *Core) View() View {
	return View{
		Ready:             c.ready,
		Config:            c.document.Version,
		Assignment:        c.assignment.Version,
		CurrentSince:      c.currentSince,
		ZonesOut:          c.zonesOut(),
		AssignmentInDoubt: c.write != nil && c.write.assignment != nil,
	}
}

// zonesOut lists the zones that are out, and the one whose take-out was sent
// and is not yet known to have failed.
func (c *Core) zonesOut() []model.AvailabilityZoneName {
	var out []model.AvailabilityZoneName
	for zone, state := range c.document.Zones {
		if state == model.ZoneOut {
			out = append(out, zone)
		}
	}
	if w := c.write; w != nil && w.isTakingOut() {
		if zone := w.zoneName(); c.document.Zones[zone] != model.ZoneOut {
			out = append(out, zone)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Step takes one input and returns the actions to do, in order.
func (c *Core) Step(now time.Time, in Input) []Action {
	var actions []Action
	switch in := in.(type) {
	case Submit:
		actions = c.onSubmit(now, in)
	case ProposeAssignment:
		c.onPropose(in)
	case WriteAccess:
		c.allowed, c.member = in.Allowed, in.Member
	case PeerUpdate:
		actions = c.onLearned(in.Update)
	case RowsListed:
		actions = c.onRowsListed(now, in)
	case RowRead:
		actions = c.onRowRead(now, in)
	case ObjectRead:
		actions = c.onObjectRead(now, in)
	case Committed:
		actions = c.onCommitted(now, in)
	case ObjectWritten:
		c.onObjectWritten(in)
	}
	c.giveUpCalls(now)
	actions = append(actions, c.expire(now)...)
	actions = append(actions, c.advanceWrite(now)...)
	return append(actions, c.poll(now)...)
}

// giveUpCalls ends calls whose results never came. A write stays in doubt.
func (c *Core) giveUpCalls(now time.Time) {
	if c.read.step != readNothing && now.Sub(c.read.startedAt) >= callLimit {
		c.read = readState{}
	}
	if w := c.write; w != nil && w.call != 0 && now.Sub(w.calledAt) >= callLimit {
		w.call, w.doubt, w.unresolvedSince = 0, true, now
	}
	if c.snapshotCall != 0 && now.Sub(c.snapshotAt) >= callLimit {
		c.snapshotCall = 0
	}
}

// poll reads the head rows when that is due and nothing else is being read. In
// between it reads what the history lacks.
func (c *Core) poll(now time.Time) []Action {
	if c.read.step != readNothing {
		return nil
	}
	if now.Before(c.noReadBefore) {
		return nil
	}
	if now.Before(c.nextRead) {
		return c.readBackfill(now)
	}
	c.nextRead = now.Add(c.limits.PollEvery)
	c.read = readState{step: readHeads, call: c.newCall(), startedAt: now}
	return []Action{ListRows{Call: c.read.call, Prefix: HeadPrefix, Limit: c.limits.PageRows}}
}

func (c *Core) newCall() uint64 {
	c.lastCall++
	return c.lastCall
}

// advance puts a change into force that leads to the next version.
func (c *Core) advance(change model.ConfigChange) Action {
	from := c.document.Version
	c.document = apply(c.document, change)
	c.history = append(c.history, change)
	if excess := len(c.history) - c.limits.Retention; excess > 0 {
		c.history = append([]model.ConfigChange(nil), c.history[excess:]...)
	}
	return Publish{From: from, To: c.document.Version, Changes: []model.ConfigChange{change}}
}

// replace puts a document of a higher version into force.
func (c *Core) replace(d *model.ConfigDocument) Action {
	from := c.document.Version
	c.document = d
	c.history = nil
	c.backfill = backfill{}
	return Publish{From: from, To: d.Version}
}

// takeAssignment puts a home assignment into force.
func (c *Core) takeAssignment(a wire.Assignment) Action {
	c.assignment = a
	return PublishAssignment{Assignment: a}
}
