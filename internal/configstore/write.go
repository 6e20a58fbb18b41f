package configstore

import (
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

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
	fence      storeapi.Check

	tx       storeapi.Transaction
	expected storeapi.RowVersion
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
		return []Action{Answer{Token: in.Token, Verdict: VerdictBusy, RetryAfter: c.limits.AnswerTimeout}}
	}
	in.Change.Version = 0
	c.queue = append(c.queue, submission{token: in.Token, change: in.Change, at: now})
	return nil
}

// expire answers operators who have waited long enough.
func (c *Core) expire(now time.Time) []Action {
	var actions []Action
	kept := c.queue[:0]
	for _, s := range c.queue {
		if now.Sub(s.at) < c.limits.AnswerTimeout {
			kept = append(kept, s)
			continue
		}
		actions = append(actions, c.unavailable(s.token))
	}
	c.queue = kept
	w := c.write
	if w == nil || w.assignment != nil || w.answered || now.Sub(w.at) < c.limits.AnswerTimeout {
		return actions
	}
	if !w.sent && !w.doubt {
		c.fire(w, expired)
		c.write = nil
		return append(actions, c.unavailable(w.token))
	}
	w.answered = true
	return append(actions, Answer{Token: w.token, Verdict: VerdictInDoubt, RetryAfter: c.limits.AnswerTimeout})
}

func (c *Core) unavailable(token uint64) Action {
	return Answer{Token: token, Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerTimeout}
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
		return []Action{c.verdict(w, Answer{Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerTimeout})}, true
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

func (c *Core) onCommitted(now time.Time, in Committed) []Action {
	w := c.write
	if w == nil || w.call == 0 || in.Call != w.call {
		return nil
	}
	w.call, w.unresolvedSince = 0, now
	switch in.Result {
	case storeapi.ResultOK:
		return c.accept(now, in.Versions)
	case storeapi.ResultConflict:
		w.refused = true
		c.fire(w, checkFailed)
		c.nextRead = now
		return nil
	case storeapi.ResultUnavailable:
		c.fire(w, storeDown)
		if w.doubt {
			w.nextTry = now.Add(c.limits.RetryEvery)
			return nil
		}
		c.write = nil
		if w.assignment != nil {
			return nil
		}
		return []Action{c.verdict(w, Answer{Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerTimeout})}
	default:
		w.doubt = true
		c.fire(w, answerLost)
		w.nextTry = now.Add(c.limits.RetryEvery)
		c.nextRead = now
		return nil
	}
}

// accept puts a confirmed write into force.
func (c *Core) accept(now time.Time, versions []storeapi.RowVersion) []Action {
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
