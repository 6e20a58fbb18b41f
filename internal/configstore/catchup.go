package configstore

import (
	"time"

	"dragonflyyard/internal/storeapi"
)

func (c *Core) onRowsListed(now time.Time, in RowsListed) []Action {
	if c.read.step == readNone || in.Call != c.read.call {
		return nil
	}
	if in.Result != storeapi.ResultOK {
		return c.abortRead(now)
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

// onHeads records the head rows and starts catching up to them.
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
		// Never act on a head row that is older than the active document.
		return c.abortRead(now)
	}
	assignmentHead, err := decodeAssignmentHead(assignmentRow)
	if err != nil || assignmentHead.Version < c.assignment.Version {
		return c.abortRead(now)
	}
	c.read.head, c.read.headRowVersion = head, headRow.Version
	c.read.assignmentVersion, c.read.assignmentRowVersion = assignmentHead.Version, assignmentRow.Version
	return c.catchUp(now)
}

// catchUp issues the next read needed to reach the versions in the head rows,
// or completes the catch-up when the core has reached them.
func (c *Core) catchUp(now time.Time) []Action {
	behind := c.read.head.Version - min(c.document.Version, c.read.head.Version)
	farBehind := !c.ready || int(behind) > c.limits.Retention/2
	switch {
	case farBehind && !c.read.triedSnapshot && c.document.Version < c.read.head.Snapshot:
		return c.loadSnapshot()
	case behind > 0:
		return c.listChanges()
	case c.read.assignmentVersion > c.assignment.Version:
		c.read.step, c.read.call = readAssignment, c.newCall()
		return []Action{ReadRow{Call: c.read.call, Key: AssignmentKey(c.region, c.read.assignmentVersion)}}
	default:
		return c.finishCatchUp(now)
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

// onChanges applies change rows in order. It also applies rows newer than the
// head row that was read: a change row exists only if its change was accepted.
func (c *Core) onChanges(now time.Time, rows []storeapi.Row) []Action {
	var actions []Action
	for _, row := range rows {
		change, err := DecodeChange(row)
		if err != nil || change.Version != c.document.Version+1 {
			break
		}
		actions = append(actions, c.applyChange(change))
	}
	if len(actions) == 0 {
		// The required rows were deleted or are malformed: restart from a snapshot.
		return c.fallBackToSnapshot(now)
	}
	return append(actions, c.catchUp(now)...)
}

func (c *Core) fallBackToSnapshot(now time.Time) []Action {
	if c.read.triedSnapshot || c.read.head.Snapshot <= c.document.Version {
		return c.abortRead(now)
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
	c.latestSnapshot = max(c.latestSnapshot, document.Version)
	return append([]Action{c.replaceDocument(document)}, c.catchUp(now)...)
}

// listAllChanges catches up from change rows alone when the snapshot cannot be
// read. This is possible only while no change row has been deleted.
func (c *Core) listAllChanges(now time.Time) []Action {
	if int(c.read.head.Version) > c.limits.Retention {
		return c.abortRead(now)
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
		return c.abortRead(now)
	}
	assignment, err := DecodeAssignment(in.Row)
	if err != nil || assignment.Version != c.read.assignmentVersion {
		return c.abortRead(now)
	}
	return append([]Action{c.applyAssignment(assignment)}, c.catchUp(now)...)
}

// finishCatchUp completes a catch-up that reached the versions in the head rows.
func (c *Core) finishCatchUp(now time.Time) []Action {
	if c.document.Version >= c.read.head.Version && c.assignment.Version >= c.read.assignmentVersion {
		c.ready = true
		c.currentSince = c.read.startedAt
	}
	if c.document.Version == c.read.head.Version {
		c.head, c.headRowVersion = c.read.head, c.read.headRowVersion
		c.latestSnapshot = max(c.latestSnapshot, c.head.Snapshot)
	}
	if c.assignment.Version == c.read.assignmentVersion {
		c.assignmentRowVersion = c.read.assignmentRowVersion
	}
	read := c.read
	c.read = readState{}
	return c.resolveWrite(now, read)
}

// abortRead abandons the outstanding read and delays the next one by
// RetryEvery, even if a change needs it immediately: otherwise reads that fail
// fast would be repeated in a tight loop.
func (c *Core) abortRead(now time.Time) []Action {
	c.read = readState{}
	c.readBackoffUntil = now.Add(c.limits.RetryEvery)
	return nil
}
