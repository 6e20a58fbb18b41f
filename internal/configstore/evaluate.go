package configstore

import (
	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

// evaluate returns the answer to a change that needs no write, because it was
// made before, conflicts with another change or is invalid. It returns false
// for a change that must be written.
func (c *Core) evaluate(w *pendingWrite) (Action, bool) {
	change := w.change
	if made := c.findChange(change.ID); made != nil {
		if !sameChange(*made, change) {
			c.fire(w, changeInvalid)
			return c.replyAction(w, reusedIDAnswer(change.ID, made.Version)), true
		}
		c.fire(w, alreadyMade)
		return c.replyAction(w, Answer{Verdict: VerdictAccepted, Version: made.Version}), true
	}
	if change.ExpectedVersion != c.document.ObjectVersions[change.Object] {
		c.fire(w, stale)
		return c.replyAction(w, Answer{Verdict: VerdictConflict, Winner: c.findLatestChange(change.Object)}), true
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
		return c.replyAction(w, Answer{Verdict: VerdictInvalid, Invalid: reason}), true
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

// replyAction returns the Answer to the operator, or a Resolved action when the
// operator was already answered that the change is in doubt.
func (c *Core) replyAction(w *pendingWrite, answer Answer) Action {
	if w.answered {
		return Resolved{Change: w.change.ID, Verdict: answer.Verdict, Version: answer.Version}
	}
	answer.Token = w.token
	return answer
}

// sameChange compares two changes, ignoring their times and versions.
func sameChange(a, b model.ConfigChange) bool {
	return digestOf(a) == digestOf(b)
}

func reusedIDAnswer(id model.ChangeID, version model.ConfigVersion) Answer {
	reason := invalid(CodeIDReused, "change ID %q was already used for version %d with different content", id, version)
	return Answer{Verdict: VerdictInvalid, Invalid: reason}
}
