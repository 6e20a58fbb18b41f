package configstore

import (
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// submission is an operator's change that is waiting to be written.
type submission struct {
	token       uint64
	change      model.ConfigChange
	submittedAt time.Time
}

// pendingWrite is the change or assignment that is being written.
//
// Its transaction checks the head row's version. While the row has that version,
// a write in doubt may still take effect, so the same transaction is sent again:
// at most one of the two can succeed. Once the row has another version, a write
// that has not taken effect never will.
type pendingWrite struct {
	submission
	assignment *wire.Assignment
	fence      storeapi.Check

	tx                 storeapi.Transaction
	expectedRowVersion storeapi.RowVersion
	// call is the outstanding commit, zero for none, and calledAt its start.
	call     uint64
	calledAt time.Time
	// sent is set once the current transaction has been sent.
	sent bool
	// inDoubt is set once a commit has ended without a definite result.
	inDoubt bool
	// conflicted is set when the last commit failed a check.
	conflicted bool
	// unresolvedSince is when the last commit ended with a failed check or in
	// doubt. Only a read that started later can resolve it.
	unresolvedSince time.Time
	retryAt         time.Time
	// answered is set once the operator was told that the change is in doubt.
	answered bool
	// machine is the state machine of the change. zone is the state machine of
	// the availability zone whose state the change moves, if movesZone is set.
	machine   statechart.Machine
	zone      statechart.Machine
	movesZone bool
}

func (c *Core) onSubmit(now time.Time, in Submit) []Action {
	if len(c.queue) >= c.limits.MaxQueued {
		return []Action{Answer{Token: in.Token, Verdict: VerdictBusy, RetryAfter: c.limits.AnswerTimeout}}
	}
	in.Change.Version = 0
	c.queue = append(c.queue, submission{token: in.Token, change: in.Change, submittedAt: now})
	return nil
}

// expireSubmissions answers operators whose changes have waited for AnswerTimeout.
func (c *Core) expireSubmissions(now time.Time) []Action {
	var actions []Action
	kept := c.queue[:0]
	for _, s := range c.queue {
		if now.Sub(s.submittedAt) < c.limits.AnswerTimeout {
			kept = append(kept, s)
			continue
		}
		actions = append(actions, c.unavailableAnswer(s.token))
	}
	c.queue = kept
	w := c.write
	if w == nil || w.assignment != nil || w.answered || now.Sub(w.submittedAt) < c.limits.AnswerTimeout {
		return actions
	}
	if !w.sent && !w.inDoubt {
		c.fire(w, expired)
		c.write = nil
		return append(actions, c.unavailableAnswer(w.token))
	}
	w.answered = true
	return append(actions, Answer{Token: w.token, Verdict: VerdictInDoubt, RetryAfter: c.limits.AnswerTimeout})
}

func (c *Core) unavailableAnswer(token uint64) Action {
	return Answer{Token: token, Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerTimeout}
}

// advanceWrite starts the next queued write, or resends the pending one.
func (c *Core) advanceWrite(now time.Time) []Action {
	var actions []Action
	for {
		if c.write == nil && len(c.queue) > 0 {
			c.write = &pendingWrite{submission: c.queue[0], machine: changeChart.NewMachine()}
			c.queue = c.queue[1:]
		}
		w := c.write
		if w == nil || w.call != 0 || w.conflicted {
			return actions
		}
		if w.sent {
			return append(actions, c.resend(now)...)
		}
		next, done := c.startWrite(now)
		actions = append(actions, next...)
		if !done {
			return actions
		}
		c.write = nil
	}
}

// resend sends a transaction in doubt again, every RetryEvery.
func (c *Core) resend(now time.Time) []Action {
	w := c.write
	if now.Before(w.retryAt) {
		return nil
	}
	w.retryAt = now.Add(c.limits.RetryEvery)
	w.call, w.calledAt = c.newCall(), now
	return []Action{Commit{Call: w.call, Transaction: w.tx}}
}

// startWrite evaluates a write against the current document and sends it. It
// returns true when the write ended without being sent.
func (c *Core) startWrite(now time.Time) ([]Action, bool) {
	w := c.write
	if w.assignment != nil {
		return c.startAssignmentWrite(now)
	}
	if !c.ready || !c.writeAllowed {
		c.fire(w, notReady)
		return []Action{c.replyAction(w, Answer{Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerTimeout})}, true
	}
	if answer, decided := c.evaluate(w); decided {
		return []Action{answer}, true
	}
	if c.head.Version != c.document.Version {
		// The head row's version for this document is unknown: read it first.
		c.nextRead = now
		return nil, false
	}
	w.tx, w.expectedRowVersion = c.changeTransaction(w.change), c.headRowVersion
	w.sent, w.call, w.calledAt = true, c.newCall(), now
	c.fire(w, valid)
	return []Action{Commit{Call: w.call, Transaction: w.tx}}, false
}

func (c *Core) onCommitted(now time.Time, in Committed) []Action {
	w := c.write
	if w == nil || w.call == 0 || in.Call != w.call {
		return nil
	}
	w.call, w.unresolvedSince = 0, now
	switch in.Result {
	case storeapi.ResultOK:
		return c.applyCommitted(now, in.Versions)
	case storeapi.ResultConflict:
		w.conflicted = true
		c.fire(w, checkFailed)
		c.nextRead = now
		return nil
	case storeapi.ResultUnavailable:
		c.fire(w, storeDown)
		if w.inDoubt {
			w.retryAt = now.Add(c.limits.RetryEvery)
			return nil
		}
		c.write = nil
		if w.assignment != nil {
			return nil
		}
		return []Action{c.replyAction(w, Answer{Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerTimeout})}
	default:
		w.inDoubt = true
		c.fire(w, answerLost)
		w.retryAt = now.Add(c.limits.RetryEvery)
		c.nextRead = now
		return nil
	}
}

// applyCommitted applies a write that the table service has confirmed.
func (c *Core) applyCommitted(now time.Time, versions []storeapi.RowVersion) []Action {
	w := c.write
	c.fire(w, committed)
	c.write = nil
	if w.assignment != nil {
		if w.assignment.Version <= c.assignment.Version {
			return nil
		}
		c.assignmentRowVersion = versions[0]
		return []Action{c.applyAssignment(*w.assignment)}
	}
	var head Head
	if err := decode(w.tx.Puts[0].Value, &head); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "decode own head row"))
	}
	var actions []Action
	if c.document.Version+1 == head.Version {
		change := w.change
		change.Version = head.Version
		actions = append(actions, c.applyChange(change))
		c.head, c.headRowVersion = head, versions[0]
	}
	actions = append(actions, c.replyAction(w, Answer{Verdict: VerdictAccepted, Version: head.Version}))
	return append(actions, c.storeSnapshotIfDue(now)...)
}
