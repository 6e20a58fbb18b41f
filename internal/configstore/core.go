package configstore

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// callTimeout is how long a core waits for the result of a call, or for a
// catch-up to complete. It is far longer than the deadline of any call.
const callTimeout = 30 * time.Second

// Core holds one entry host's view of the configuration and writes changes to
// it. At most one read and one write are outstanding at any time.
type Core struct {
	limits   Limits
	region   model.RegionName
	validate Validator

	document *model.ConfigDocument
	// history holds the latest changes in version order, without gaps.
	history    []model.ConfigChange
	assignment wire.Assignment

	// ready and currentSince are documented on View.
	ready        bool
	currentSince time.Time
	// head and headRowVersion are the value and row version of the head row at
	// the last time the document matched it.
	head           Head
	headRowVersion storeapi.RowVersion
	// assignmentRowVersion is the row version of the home assignment's head row.
	assignmentRowVersion storeapi.RowVersion

	lastCall uint64
	read     readState
	nextRead time.Time
	// readBackoffUntil delays the next read after a failed one.
	readBackoffUntil time.Time

	backfill     backfill
	nextBackfill time.Time

	// writeAllowed and memberCheck are the values of the last WriteAccess input.
	writeAllowed bool
	memberCheck  storeapi.Check
	// queue holds the changes waiting for the pending write to end.
	queue []submission
	write *pendingWrite
	// latestSnapshot is the version of the latest known snapshot.
	latestSnapshot model.ConfigVersion
	// snapshotCall is the outstanding snapshot write, zero for none;
	// snapshotCalledAt is its start and pendingSnapshot the version it stores.
	snapshotCall     uint64
	snapshotCalledAt time.Time
	pendingSnapshot  model.ConfigVersion

	// trace is called for each state chart transition, if not nil.
	trace func(*statechart.Chart, statechart.Transition)
}

// readStep is the purpose of the outstanding read.
type readStep uint8

const (
	readNone readStep = iota
	readHeads
	readChanges
	readSnapshot
	readAssignment
	readChangeID
	readBackfill
)

// readState describes the outstanding read. A catch-up consists of several
// reads that share one startedAt, the start of the read of the head rows.
type readState struct {
	step      readStep
	call      uint64
	startedAt time.Time
	// head and assignmentVersion are the values of the head rows.
	head                 Head
	headRowVersion       storeapi.RowVersion
	assignmentVersion    uint64
	assignmentRowVersion storeapi.RowVersion
	// triedSnapshot is set once the snapshot has been requested.
	triedSnapshot bool
}

// New returns a core with an empty document that is not ready until its first
// read. The validator may be nil.
func New(limits Limits, region model.RegionName, validate Validator) *Core {
	if validate == nil {
		validate = func(*model.ConfigDocument, model.ConfigChange) error { return nil }
	}
	return &Core{limits: limits, region: region, validate: validate, document: NewDocument()}
}

// Trace registers a function that is called for each state chart transition of
// a change and of the availability zone whose state it changes.
func (c *Core) Trace(trace func(*statechart.Chart, statechart.Transition)) { c.trace = trace }

// Document returns the configuration that is active on this host. Documents
// are immutable: each version is a separate document.
func (c *Core) Document() *model.ConfigDocument { return c.document }

// Assignment returns the home assignment that is active on this host.
func (c *Core) Assignment() wire.Assignment { return c.assignment }

// View returns the core's current view of the configuration.
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

// zonesOut lists the zones that are out of service, including the one whose
// take-out was sent and is not known to have failed.
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

// Step processes one input and returns the actions to perform, in order.
func (c *Core) Step(now time.Time, in Input) []Action {
	var actions []Action
	switch in := in.(type) {
	case Submit:
		actions = c.onSubmit(now, in)
	case ProposeAssignment:
		c.onProposeAssignment(in)
	case WriteAccess:
		c.writeAllowed, c.memberCheck = in.Allowed, in.Member
	case PeerUpdate:
		actions = c.onPeerUpdate(in.Update)
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
	c.expireCalls(now)
	actions = append(actions, c.expireSubmissions(now)...)
	actions = append(actions, c.advanceWrite(now)...)
	return append(actions, c.poll(now)...)
}

// expireCalls abandons calls without a result after callTimeout. A write whose
// call is abandoned becomes in doubt.
func (c *Core) expireCalls(now time.Time) {
	if c.read.step != readNone && now.Sub(c.read.startedAt) >= callTimeout {
		c.read = readState{}
	}
	if w := c.write; w != nil && w.call != 0 && now.Sub(w.calledAt) >= callTimeout {
		w.call, w.inDoubt, w.unresolvedSince = 0, true, now
	}
	if c.snapshotCall != 0 && now.Sub(c.snapshotCalledAt) >= callTimeout {
		c.snapshotCall = 0
	}
}

// poll reads the head rows when due and when no other read is outstanding.
// Between polls it reads the changes missing from the history.
func (c *Core) poll(now time.Time) []Action {
	if c.read.step != readNone {
		return nil
	}
	if now.Before(c.readBackoffUntil) {
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

// applyChange applies the change that makes the next version of the document.
func (c *Core) applyChange(change model.ConfigChange) Action {
	from := c.document.Version
	c.document = apply(c.document, change)
	c.history = append(c.history, change)
	if excess := len(c.history) - c.limits.Retention; excess > 0 {
		c.history = append([]model.ConfigChange(nil), c.history[excess:]...)
	}
	return Publish{From: from, To: c.document.Version, Changes: []model.ConfigChange{change}}
}

// replaceDocument activates a document of a higher version and clears the history.
func (c *Core) replaceDocument(d *model.ConfigDocument) Action {
	from := c.document.Version
	c.document = d
	c.history = nil
	c.backfill = backfill{}
	return Publish{From: from, To: d.Version}
}

// applyAssignment activates a home assignment.
func (c *Core) applyAssignment(a wire.Assignment) Action {
	c.assignment = a
	return PublishAssignment{Assignment: a}
}
