package configstore

import (
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// maxUpdateChanges limits the changes in one update, so that it fits in a frame
// even with names of the maximum length. A process that is missing more changes
// is sent the whole document.
const maxUpdateChanges = 500

// UpdateFrom returns the update that brings a process from a version to the
// current one: the changes in between, or the whole document when they are not
// all in the history or exceed maxUpdateChanges. The assignment is included
// when the process has a different version of it.
func (c *Core) UpdateFrom(version model.ConfigVersion, assignment uint64) wire.ConfigUpdate {
	update := wire.ConfigUpdate{From: version, To: c.document.Version}
	if assignment != c.assignment.Version {
		current := c.assignment
		update.Assignment = &current
	}
	if version >= c.document.Version {
		update.From, update.To = c.document.Version, c.document.Version
		return update
	}
	missing := int(c.document.Version - version)
	if missing > min(len(c.history), maxUpdateChanges) {
		update.Document = c.document
		return update
	}
	update.Changes = append(update.Changes, c.history[len(c.history)-missing:]...)
	return update
}

// ApplyUpdate applies an update to an agent's document. It returns the same
// document when the update does not lead to a higher version.
func ApplyUpdate(d *model.ConfigDocument, update wire.ConfigUpdate) *model.ConfigDocument {
	if update.Document != nil && update.Document.Version > d.Version {
		return normalize(update.Document)
	}
	for _, change := range update.Changes {
		if change.Version == d.Version+1 {
			d = apply(d, change)
		}
	}
	return d
}

// onPeerUpdate applies accepted configuration received from another entry host.
// It does not advance CurrentSince: only a read of the table service does.
func (c *Core) onPeerUpdate(update wire.ConfigUpdate) []Action {
	var actions []Action
	if update.Document != nil && update.Document.Version > c.document.Version {
		actions = append(actions, c.replaceDocument(normalize(update.Document)))
	}
	for _, change := range update.Changes {
		if change.Version == c.document.Version+1 {
			actions = append(actions, c.applyChange(change))
		}
	}
	if update.Assignment != nil && update.Assignment.Version > c.assignment.Version {
		actions = append(actions, c.applyAssignment(*update.Assignment))
	}
	return actions
}
