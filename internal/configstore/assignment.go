package configstore

import (
	"time"

	"dragonflyyard/internal/storeapi"
)

// assignmentRetention is the number of home assignment versions kept in the
// table service. Older versions are kept for readers that have read the head
// row but not yet the assignment row.
const assignmentRetention = 8

// onProposeAssignment queues the write of an assignment. A proposal that is not
// for the next version, or that arrives during another write, is dropped: the
// proposer retries based on the state it then observes.
func (c *Core) onProposeAssignment(in ProposeAssignment) {
	if c.write != nil || !c.ready || in.Assignment.Version != c.assignment.Version+1 {
		return
	}
	proposed := in.Assignment
	c.write = &pendingWrite{assignment: &proposed, fence: in.Fence}
}

// startAssignmentWrite sends the proposed assignment. Like startWrite, it
// returns true when the write ended without being sent.
func (c *Core) startAssignmentWrite(now time.Time) ([]Action, bool) {
	w := c.write
	if w.assignment.Version != c.assignment.Version+1 || !c.writeAllowed {
		return nil, true
	}
	version := w.assignment.Version
	w.expectedRowVersion = c.assignmentRowVersion
	checks := []storeapi.Check{{Key: AssignmentHeadKey(c.region), Version: c.assignmentRowVersion}}
	checks = appendCheck(appendCheck(checks, w.fence), c.memberCheck)
	w.tx = storeapi.Transaction{
		Checks: checks,
		Puts: []storeapi.Put{
			{Key: AssignmentHeadKey(c.region), Value: encode(AssignmentHead{Version: version})},
			{Key: AssignmentKey(c.region, version), Value: encode(w.assignment)},
		},
	}
	if version > assignmentRetention {
		w.tx.Deletes = []string{AssignmentKey(c.region, version-assignmentRetention)}
	}
	w.sent, w.call, w.calledAt = true, c.newCall(), now
	return []Action{Commit{Call: w.call, Transaction: w.tx}}, false
}
