package configstore

import (
	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

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
