package configstore

import (
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/platform"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/wire"
)

// assignmentsKept is how many versions of a home assignment stay in the table
// service, for readers that are between its head row and its body.
const assignmentsKept = 8

// submission is an operator's change that waits to be written.
type submission struct {
	token  uint64
	change model.ConfigChange
	at     time.Time
}

// pendingWrite is the change or assignment that is being written.
//
// It is sent with a check of the head row's version. While that row keeps the
// version, a write in doubt may still take effect, so the same transaction is
// sent again: at most one of the two can. Once the row has another version, a
// write that did not take effect never will.
type pendingWrite struct {
	submission
	assignment *wire.Assignment
	fence      platform.Check

	tx       platform.Transaction
	expected platform.RowVersion
	// call is the outstanding commit, zero for none, and calledAt its start.
	call     uint64
	calledAt time.Time
	// sent is set once the present transaction was sent.
	sent bool
	// doubt is set once a commit was left without an answer.
	doubt bool
	// refused is set when the last commit failed a check.
	refused bool
	// unresolvedSince is when the last commit ended refused or in doubt. Only a
	// read that began later can resolve it.
	unresolvedSince time.Time
	nextTry         time.Time
	answered        bool
	// machine runs through the chart of the change; zone through that of the
	// availability zone that the change moves, where movesZone is set.
	machine   statechart.Machine
	zone      statechart.Machine
	movesZone bool
}

func (c *Core) onSubmit(now time.Time, in Submit) []Action {
	if len(c.queue) >= c.limits.MaxQueued {
		return []Action{Answer{Token: in.Token, Verdict: VerdictBusy, RetryAfter: c.limits.AnswerAfter}}
	}
	in.Change.Version = 0
	c.queue = append(c.queue, submission{token: in.Token, change: in.Change, at: now})
	return nil
}

// onPropose begins to write an assignment. A proposal that does not follow the
// present version, or comes during another write, is dropped: its writer
// proposes again from what it sees then.
func (c *Core) onPropose(in Propose) {
	if c.write != nil || !c.ready || in.Assignment.Version != c.assignment.Version+1 {
		return
	}
	proposed := in.Assignment
	c.write = &pendingWrite{assignment: &proposed, fence: in.Fence}
}

// expire answers operators who have waited long enough.
func (c *Core) expire(now time.Time) []Action {
	var actions []Action
	kept := c.queue[:0]
	for _, s := range c.queue {
		if now.Sub(s.at) < c.limits.AnswerAfter {
			kept = append(kept, s)
			continue
		}
		actions = append(actions, c.unavailable(s.token))
	}
	c.queue = kept
	w := c.write
	if w == nil || w.assignment != nil || w.answered || now.Sub(w.at) < c.limits.AnswerAfter {
		return actions
	}
	if !w.sent && !w.doubt {
		c.fire(w, expired)
		c.write = nil
		return append(actions, c.unavailable(w.token))
	}
	w.answered = true
	return append(actions, Answer{Token: w.token, Verdict: VerdictInDoubt, RetryAfter: c.limits.AnswerAfter})
}

func (c *Core) unavailable(token uint64) Action {
	return Answer{Token: token, Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerAfter}
}

// advanceWrite sends what is next to be sent.
func (c *Core) advanceWrite(now time.Time) []Action {
	var actions []Action
	for {
		if c.write == nil && len(c.queue) > 0 {
			c.write = &pendingWrite{submission: c.queue[0], machine: changeChart.NewMachine()}
			c.queue = c.queue[1:]
		}
		w := c.write
		if w == nil || w.call != 0 || w.refused {
			return actions
		}
		if w.sent {
			return append(actions, c.sendAgain(now)...)
		}
		next, done := c.begin(now)
		actions = append(actions, next...)
		if !done {
			return actions
		}
		c.write = nil
	}
}

// sendAgain sends a transaction in doubt once more.
func (c *Core) sendAgain(now time.Time) []Action {
	w := c.write
	if now.Before(w.nextTry) {
		return nil
	}
	w.nextTry = now.Add(c.limits.RetryEvery)
	w.call, w.calledAt = c.newCall(), now
	return []Action{Commit{Call: w.call, Transaction: w.tx}}
}

// begin judges a write by the present document and sends it. It returns true
// when the write ends here.
func (c *Core) begin(now time.Time) ([]Action, bool) {
	w := c.write
	if w.assignment != nil {
		return c.beginAssignment(now)
	}
	if !c.ready || !c.allowed {
		c.fire(w, notReady)
		return []Action{c.verdict(w, Answer{Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerAfter})}, true
	}
	if answer, decided := c.judge(w); decided {
		return []Action{answer}, true
	}
	if c.head.Version != c.document.Version {
		// The head row's version is not known for this document: read it first.
		c.nextRead = now
		return nil, false
	}
	w.tx, w.expected = c.changeTransaction(w.change), c.headRow
	w.sent, w.call, w.calledAt = true, c.newCall(), now
	c.fire(w, valid)
	return []Action{Commit{Call: w.call, Transaction: w.tx}}, false
}

// judge decides a change that needs no write: one that was made before, one
// that lost a race, and one that is not valid.
func (c *Core) judge(w *pendingWrite) (Action, bool) {
	change := w.change
	if made := c.findChange(change.ID); made != nil {
		if !sameChange(*made, change) {
			c.fire(w, changeInvalid)
			return c.verdict(w, reusedID(change.ID, made.Version)), true
		}
		c.fire(w, alreadyMade)
		return c.verdict(w, Answer{Verdict: VerdictAccepted, Version: made.Version}), true
	}
	if change.ExpectedVersion != c.document.ObjectVersions[change.Object] {
		c.fire(w, stale)
		return c.verdict(w, Answer{Verdict: VerdictConflict, Winner: c.lastChange(change.Object)}), true
	}
	next, reason := Apply(c.document, change)
	if reason == nil {
		reason = checkSize(next, change)
	}
	if reason == nil {
		reason = c.runValidator(next, change)
	}
	if reason != nil {
		c.fire(w, changeInvalid)
		return c.verdict(w, Answer{Verdict: VerdictInvalid, Invalid: reason}), true
	}
	return nil, false
}

func (c *Core) runValidator(next *model.ConfigDocument, change model.ConfigChange) *ValidationError {
	err := c.validate(next, change)
	if err == nil {
		return nil
	}
	var reason *ValidationError
	if errors.As(err, &reason) {
		return reason
	}
	return invalid(CodeMalformed, "%v", err)
}

// verdict is the answer to the operator, or the late result when the operator
// was already told that the change is in doubt.
func (c *Core) verdict(w *pendingWrite, answer Answer) Action {
	if w.answered {
		return Resolved{Change: w.change.ID, Verdict: answer.Verdict, Version: answer.Version}
	}
	answer.Token = w.token
	return answer
}

// sameChange compares what two changes do, without their times and versions.
func sameChange(a, b model.ConfigChange) bool {
	return digestOf(a) == digestOf(b)
}

func reusedID(id model.ChangeID, version model.ConfigVersion) Answer {
	reason := invalid(CodeIDReused, "change ID %q made version %d with another content", id, version)
	return Answer{Verdict: VerdictInvalid, Invalid: reason}
}

func (c *Core) lastChange(object string) *model.ConfigChange {
	for i := len(c.history) - 1; i >= 0; i-- {
		if c.history[i].Object == object {
			found := c.history[i]
			return &found
		}
	}
	return nil
}

func (c *Core) changeTransaction(change model.ConfigChange) platform.Transaction {
	change.Version = c.document.Version + 1
	snapshot := max(c.head.Snapshot, c.snapshot)
	head := Head{Version: change.Version, Snapshot: snapshot, Change: change.ID}
	tx := platform.Transaction{
		Checks: []platform.Check{{Key: HeadKey, Version: c.headRow}, {Key: idKey(change.ID)}},
		Puts: []platform.Put{
			{Key: HeadKey, Value: encode(head)},
			{Key: ChangeKey(change.Version), Value: encode(change)},
			{Key: idKey(change.ID), Value: encode(changeID{Version: change.Version, Digest: digestOf(change)})},
		},
	}
	tx.Checks = appendCheck(tx.Checks, c.member)
	tx.Deletes = c.expiredRows(change.Version, snapshot)
	return tx
}

// expiredRows lists the rows of the change that leaves the retention with a
// new version. Rows that no snapshot covers are kept.
func (c *Core) expiredRows(version, snapshot model.ConfigVersion) []string {
	if int(version) <= c.limits.Retention {
		return nil
	}
	expired := version - model.ConfigVersion(c.limits.Retention)
	if expired > snapshot {
		return nil
	}
	rows := []string{ChangeKey(expired)}
	if change := c.findVersion(expired); change != nil {
		rows = append(rows, idKey(change.ID))
	}
	return rows
}

func appendCheck(checks []platform.Check, check platform.Check) []platform.Check {
	if check.Key == "" {
		return checks
	}
	return append(checks, check)
}

func (c *Core) beginAssignment(now time.Time) ([]Action, bool) {
	w := c.write
	if w.assignment.Version != c.assignment.Version+1 || !c.allowed {
		return nil, true
	}
	version := w.assignment.Version
	w.expected = c.assignmentRow
	checks := []platform.Check{{Key: AssignmentHeadKey(c.region), Version: c.assignmentRow}}
	checks = appendCheck(appendCheck(checks, w.fence), c.member)
	w.tx = platform.Transaction{
		Checks: checks,
		Puts: []platform.Put{
			{Key: AssignmentHeadKey(c.region), Value: encode(AssignmentHead{Version: version})},
			{Key: AssignmentKey(c.region, version), Value: encode(w.assignment)},
		},
	}
	if version > assignmentsKept {
		w.tx.Deletes = []string{AssignmentKey(c.region, version-assignmentsKept)}
	}
	w.sent, w.call, w.calledAt = true, c.newCall(), now
	return []Action{Commit{Call: w.call, Transaction: w.tx}}, false
}

func (c *Core) onCommitted(now time.Time, in Committed) []Action {
	w := c.write
	if w == nil || w.call == 0 || in.Call != w.call {
		return nil
	}
	w.call, w.unresolvedSince = 0, now
	switch in.Result {
	case ResultOK:
		return c.accept(now, in.Versions)
	case ResultConflict:
		w.refused = true
		c.fire(w, checkFailed)
		c.nextRead = now
		return nil
	case ResultUnavailable:
		c.fire(w, storeDown)
		if w.doubt {
			w.nextTry = now.Add(c.limits.RetryEvery)
			return nil
		}
		c.write = nil
		if w.assignment != nil {
			return nil
		}
		return []Action{c.verdict(w, Answer{Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerAfter})}
	default:
		w.doubt = true
		c.fire(w, answerLost)
		w.nextTry = now.Add(c.limits.RetryEvery)
		c.nextRead = now
		return nil
	}
}

// accept puts a confirmed write into force.
func (c *Core) accept(now time.Time, versions []platform.RowVersion) []Action {
	w := c.write
	c.fire(w, committed)
	c.write = nil
	if w.assignment != nil {
		if w.assignment.Version <= c.assignment.Version {
			return nil
		}
		c.assignmentRow = versions[0]
		return []Action{c.takeAssignment(*w.assignment)}
	}
	var head Head
	if err := decode(w.tx.Puts[0].Value, &head); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "own head row"))
	}
	var actions []Action
	if c.document.Version+1 == head.Version {
		change := w.change
		change.Version = head.Version
		actions = append(actions, c.advance(change))
		c.head, c.headRow = head, versions[0]
	}
	actions = append(actions, c.verdict(w, Answer{Verdict: VerdictAccepted, Version: head.Version}))
	return append(actions, c.takeSnapshot(now)...)
}

// takeSnapshot stores a snapshot when enough changes were made since the last.
func (c *Core) takeSnapshot(now time.Time) []Action {
	due := c.document.Version >= c.snapshot+model.ConfigVersion(c.limits.SnapshotEvery)
	if !due || c.snapshotCall != 0 {
		return nil
	}
	c.snapshotCall, c.snapshotAt, c.snapshotting = c.newCall(), now, c.document.Version
	return []Action{WriteObject{
		Call:  c.snapshotCall,
		Key:   SnapshotKey(c.document.Version),
		Value: encode(c.document),
	}}
}

func (c *Core) onObjectWritten(in ObjectWritten) {
	if c.snapshotCall == 0 || in.Call != c.snapshotCall {
		return
	}
	c.snapshotCall = 0
	if in.Result == ResultOK {
		c.snapshot = max(c.snapshot, c.snapshotting)
	}
}
