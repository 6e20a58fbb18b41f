package configstore

import (
	"time"

	"dragonflyyard/internal/storeapi"
)

// assignmentsKept is how many versions of a home assignment stay in the table
// service, for readers that are between its head row and its body.
const assignmentsKept = 8

// onPropose begins to write an assignment. A proposal that does not follow the
// present version, or comes during another write, is dropped: its writer
// proposes again from what it sees then.
func (c *Core) onPropose(in ProposeAssignment) {
	if c.write != nil || !c.ready || in.Assignment.Version != c.assignment.Version+1 {
		return
	}
	proposed := in.Assignment
	c.write = &pendingWrite{assignment: &proposed, fence: in.Fence}
}

// beginAssignment sends the proposed assignment. It returns true when the
// proposal ends here, as begin does.
func (c *Core) beginAssignment(now time.Time) ([]Action, bool) {
	w := c.write
	if w.assignment.Version != c.assignment.Version+1 || !c.allowed {
		return nil, true
	}
	version := w.assignment.Version
	w.expected = c.assignmentRow
	checks := []storeapi.Check{{Key: AssignmentHeadKey(c.region), Version: c.assignmentRow}}
	checks = appendCheck(appendCheck(checks, w.fence), c.member)
	w.tx = storeapi.Transaction{
		Checks: checks,
		Puts: []storeapi.Put{
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
