package configstore

import (
	"time"

	"dragonflyyard/internal/storeapi"
)

// resolveWrite judges a write in doubt, or one that failed a check, after a
// complete read of the head rows. The document may by now be ahead of that read,
// by what other entry hosts told, so the head row counts as it was read.
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
		return append([]Action{c.verdict(w, Answer{Verdict: VerdictAccepted, Version: made.Version})}, c.takeSnapshot(now)...)
	}
	if read.headRow != w.expected && read.head.Version <= c.document.Version {
		return c.failed()
	}
	if w.refused && read.headRow == w.expected {
		return c.readChangeID(now)
	}
	return nil
}

// failed ends a transaction that did not take effect and never will. The
// change is judged anew by the present document, unless its operator was
// already told that it is in doubt: a change is not made long after it was asked.
func (c *Core) failed() []Action {
	w := c.write
	if w.answered {
		c.fire(w, absent)
		c.write = nil
		return []Action{c.verdict(w, Answer{Verdict: VerdictUnavailable})}
	}
	c.fire(w, judgedAnew)
	w.sent, w.refused, w.doubt = false, false, false
	return nil
}

// resolveAssignment ends the write of an assignment that took effect, as the
// read has then shown it, or that never will.
func (c *Core) resolveAssignment() {
	if c.assignmentRow != c.write.expected || c.write.refused {
		c.write = nil
	}
}

// readChangeID tells why a transaction failed although the head row kept its
// version: the change ID was used before, or this host left the roster.
func (c *Core) readChangeID(now time.Time) []Action {
	c.read = readState{step: readChangeID, call: c.newCall(), startedAt: now}
	return []Action{ReadRow{Call: c.read.call, Key: idKey(c.write.change.ID)}}
}

func (c *Core) onChangeIDRow(now time.Time, in RowRead) []Action {
	c.read = readState{}
	w := c.write
	if w == nil || !w.refused {
		return nil
	}
	switch in.Result {
	case storeapi.ResultOK:
		var made changeID
		c.write = nil
		if err := decode(in.Row.Value, &made); err != nil || made.Digest != digestOf(w.change) {
			c.fire(w, idReused)
			return []Action{c.verdict(w, reusedID(w.change.ID, made.Version))}
		}
		c.fire(w, found)
		return []Action{c.verdict(w, Answer{Verdict: VerdictAccepted, Version: made.Version})}
	case storeapi.ResultNotFound:
		c.fire(w, absent)
		c.write = nil
		return []Action{c.verdict(w, Answer{Verdict: VerdictUnavailable, RetryAfter: c.limits.AnswerTimeout})}
	default:
		c.fire(w, unreadable)
		c.nextRead = now.Add(c.limits.PollEvery)
		return nil
	}
}
