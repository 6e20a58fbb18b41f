package configstore

import (
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// maxUpdateChanges bounds the changes of one update, so that it fits in a frame
// whatever their names are. A process that lacks more gets the document.
const maxUpdateChanges = 500

// UpdateFrom returns what brings a process from a version to the present one:
// the changes between, or the whole document when they are not all kept.
// The assignment is added when the process has another version of it.
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

// ApplyUpdate applies an update to a document, as an agent does. It returns the
// same document when the update does not lead to a higher version from it.
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

// onLearned takes in what another entry host knows to be accepted. It does not
// make the core current: only a read of the table service does.
func (c *Core) onLearned(update wire.ConfigUpdate) []Action {
	var actions []Action
	if update.Document != nil && update.Document.Version > c.document.Version {
		actions = append(actions, c.replace(normalize(update.Document)))
	}
	for _, change := range update.Changes {
		if change.Version == c.document.Version+1 {
			actions = append(actions, c.advance(change))
		}
	}
	if update.Assignment != nil && update.Assignment.Version > c.assignment.Version {
		actions = append(actions, c.takeAssignment(*update.Assignment))
	}
	return actions
}
