package configstore

import (
	"time"

	"dragonflyyard/internal/storeapi"
)

// resolveWrite determines the result of a write that is in doubt or failed a
// check, after a complete read of the head rows. Updates from other entry hosts
// may have moved the document ahead of that read, so the decision uses the head
// row as it was read.
func (c *Core) resolveWrite(now time.Time, read readState) []Action {
	w := c.write
	if w == nil || w.call != 0 || !w.sent || read.startedAt.Before(w.unresolvedSince) {
		return nil
	}
	if w.assignment != nil {
		c.resolveAssignment()
		return nil
	}
	if made := c.findChange(w.change.ID); made != nil && sameChange(*made, w.change) {
		c.fire(w, found)
		c.write = nil
		return append([]Action{c.replyAction(w, Answer{Verdict: VerdictAccepted, Version: made.Version})}, c.storeSnapshotIfDue(now)...)
	}
	if read.headRowVersion != w.expectedRowVersion && read.head.Version <= c.document.Version {
		return c.abandonTransaction()
	}
	if w.conflicted && read.headRowVersion == w.expectedRowVersion {
		return c.readChangeID(now)
	}
	return nil
}

// abandonTransaction ends a transaction that did not take effect and never
// will. The change is evaluated again against the current document, unless its
// operator was already answered that it is in doubt: a change must not take
// effect long after it was requested.
func (c *Core) abandonTransaction() []Action {
	w := c.write
	if w.answered {
		c.fire(w, absent)
		c.write = nil
		return []Action{c.replyAction(w, Answer{Verdict: VerdictUnavailable})}
	}
	c.fire(w, judgedAnew)
	w.sent, w.conflicted, w.inDoubt = false, false, false
	return nil
}

// resolveAssignment ends the write of an assignment that took effect, in which
// case the read has already applied it, or that can no longer take effect.
func (c *Core) resolveAssignment() {
	if c.assignmentRowVersion != c.write.expectedRowVersion || c.write.conflicted {
		c.write = nil
	}
}

// readChangeID reads the change ID row to find out why a transaction failed
// although the head row kept its version: either the change ID was used before,
// or this host left the roster.
func (c *Core) readChangeID(now time.Time) []Action {
	c.read = readState{step: readChangeID, call: c.newCall(), startedAt: now}
	return []Action{ReadRow{Call: c.read.call, Key: idKey(c.write.change.ID)}}
}

func (c *Core) onChangeIDRow(now time.Time, in RowRead) []Action {
	c.read = readState{}
	w := c.write
	if w == nil || !w.conflicted {
		return nil
	}
	switch in.Result {
	case storeapi.ResultOK:
		var made changeIDRow
		c.write = nil
		if err := decode(in.Row.Value, &made); err != nil || made.Digest != digestOf(w.change) {
			c.fire(w, idReused)
			return []Action{c.replyAction(w, reusedIDAnswer(w.change.ID, made.Version))}
		}
		c.fire(w, found)
		return []Action{c.replyAction(w, Answer{Verdict: VerdictAccepted, Version: made.Version})}
	case storeapi.ResultNotFound:
		c.fire(w, absent)
		c.write = nil
		return []Action{c.replyAction(w, Answer{Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerTimeout})}
	default:
		c.fire(w, unreadable)
		c.nextRead = now.Add(c.limits.PollEvery)
		return nil
	}
}
