package configstore

import (
	"time"

	"dragonflyyard/internal/storeapi"
)

func (c *Core) onRowsListed(now time.Time, in RowsListed) []Action {
	if c.read.step == readNothing || in.Call != c.read.call {
		return nil
	}
	if in.Result != storeapi.ResultOK {
		return c.stopRead(now)
	}
	switch c.read.step {
	case readHeads:
		return c.onHeads(now, in.Rows)
	case readBackfill:
		c.onBackfill(in)
		return nil
	default:
		return c.onChanges(now, in.Rows)
	}
}

// onHeads takes in the head rows and begins to catch up with them.
func (c *Core) onHeads(now time.Time, rows []storeapi.Row) []Action {
	var headRow, assignmentRow storeapi.Row
	for _, row := range rows {
		switch row.Key {
		case HeadKey:
			headRow = row
		case AssignmentHeadKey(c.region):
			assignmentRow = row
		}
	}
	head, err := DecodeHead(headRow)
	if err != nil || head.Version < c.document.Version {
		// A head below what is in force is never acted upon.
		return c.stopRead(now)
	}
	assignmentHead, err := decodeAssignmentHead(assignmentRow)
	if err != nil || assignmentHead.Version < c.assignment.Version {
		return c.stopRead(now)
	}
	c.read.head, c.read.headRow = head, headRow.Version
	c.read.assignment, c.read.assignmentRow = assignmentHead.Version, assignmentRow.Version
	return c.catchUp(now)
}

// catchUp makes the next read that leads to what the head rows showed, or ends
// the read when the core has all of it.
func (c *Core) catchUp(now time.Time) []Action {
	behind := c.read.head.Version - min(c.document.Version, c.read.head.Version)
	farBehind := !c.ready || int(behind) > c.limits.Retention/2
	switch {
	case farBehind && !c.read.triedSnapshot && c.document.Version < c.read.head.Snapshot:
		return c.loadSnapshot()
	case behind > 0:
		return c.listChanges()
	case c.read.assignment > c.assignment.Version:
		c.read.step, c.read.call = readAssignment, c.newCall()
		return []Action{ReadRow{Call: c.read.call, Key: AssignmentKey(c.region, c.read.assignment)}}
	default:
		return c.caughtUp(now)
	}
}

func (c *Core) listChanges() []Action {
	c.read.step, c.read.call = readChanges, c.newCall()
	return []Action{ListRows{
		Call:   c.read.call,
		Prefix: changePrefix,
		After:  ChangeKey(c.document.Version),
		Limit:  c.limits.PageRows,
	}}
}

// onChanges applies change rows in order. Rows past the head that was read are
// applied too, since a change row exists only once its change is accepted.
func (c *Core) onChanges(now time.Time, rows []storeapi.Row) []Action {
	var actions []Action
	for _, row := range rows {
		change, err := DecodeChange(row)
		if err != nil || change.Version != c.document.Version+1 {
			break
		}
		actions = append(actions, c.advance(change))
	}
	if len(actions) == 0 {
		// The rows needed are gone or cannot be read: start over from a snapshot.
		return c.fallBackToSnapshot(now)
	}
	return append(actions, c.catchUp(now)...)
}

func (c *Core) fallBackToSnapshot(now time.Time) []Action {
	if c.read.triedSnapshot || c.read.head.Snapshot <= c.document.Version {
		return c.stopRead(now)
	}
	return c.loadSnapshot()
}

func (c *Core) loadSnapshot() []Action {
	c.read.triedSnapshot = true
	c.read.step, c.read.call = readSnapshot, c.newCall()
	return []Action{ReadObject{Call: c.read.call, Key: SnapshotKey(c.read.head.Snapshot)}}
}

func (c *Core) onObjectRead(now time.Time, in ObjectRead) []Action {
	if c.read.step != readSnapshot || in.Call != c.read.call {
		return nil
	}
	if in.Result != storeapi.ResultOK {
		return c.listAllChanges(now)
	}
	document, err := DecodeSnapshot(in.Value)
	if err != nil || document.Version <= c.document.Version {
		return c.listAllChanges(now)
	}
	c.snapshot = max(c.snapshot, document.Version)
	return append([]Action{c.replace(document)}, c.catchUp(now)...)
}

// listAllChanges is the way around a snapshot that cannot be had: change rows
// alone, as long as none was deleted.
func (c *Core) listAllChanges(now time.Time) []Action {
	if int(c.read.head.Version) > c.limits.Retention {
		return c.stopRead(now)
	}
	return c.listChanges()
}

func (c *Core) onRowRead(now time.Time, in RowRead) []Action {
	if in.Call != c.read.call {
		return nil
	}
	switch c.read.step {
	case readAssignment:
		return c.onAssignmentRow(now, in)
	case readChangeID:
		return c.onChangeIDRow(now, in)
	default:
		return nil
	}
}

func (c *Core) onAssignmentRow(now time.Time, in RowRead) []Action {
	if in.Result != storeapi.ResultOK {
		return c.stopRead(now)
	}
	assignment, err := DecodeAssignment(in.Row)
	if err != nil || assignment.Version != c.read.assignment {
		return c.stopRead(now)
	}
	return append([]Action{c.takeAssignment(assignment)}, c.catchUp(now)...)
}

// caughtUp ends a read after which the core has all that the head rows showed.
func (c *Core) caughtUp(now time.Time) []Action {
	if c.document.Version >= c.read.head.Version && c.assignment.Version >= c.read.assignment {
		c.ready = true
		c.currentSince = c.read.startedAt
	}
	if c.document.Version == c.read.head.Version {
		c.head, c.headRow = c.read.head, c.read.headRow
		c.snapshot = max(c.snapshot, c.head.Snapshot)
	}
	if c.assignment.Version == c.read.assignment {
		c.assignmentRow = c.read.assignmentRow
	}
	read := c.read
	c.read = readState{}
	return c.resolveWrite(now, read)
}

// stopRead gives the outstanding read up. The next one waits for a while, also
// when a change needs it at once: reads that fail fast are not repeated in a loop.
func (c *Core) stopRead(now time.Time) []Action {
	c.read = readState{}
	c.noReadBefore = now.Add(c.limits.RetryEvery)
	return nil
}
