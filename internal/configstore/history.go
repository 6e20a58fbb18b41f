package configstore

import "dragonflyyard/internal/model"

// History returns at most limit of the latest changes, latest first.
func (c *Core) History(limit int) []model.ConfigChange {
	var changes []model.ConfigChange
	for i := len(c.history) - 1; i >= 0 && len(changes) < limit; i-- {
		changes = append(changes, c.history[i])
	}
	return changes
}

// HistoryLen returns how many changes are kept.
func (c *Core) HistoryLen() int { return len(c.history) }

// findChange returns the kept change with an ID, or nil.
func (c *Core) findChange(id model.ChangeID) *model.ConfigChange {
	return c.latest(func(change *model.ConfigChange) bool { return change.ID == id })
}

// lastChange returns the latest kept change of an object, or nil.
func (c *Core) lastChange(object string) *model.ConfigChange {
	return c.latest(func(change *model.ConfigChange) bool { return change.Object == object })
}

// latest returns a copy of the latest kept change that matches, or nil.
func (c *Core) latest(matches func(*model.ConfigChange) bool) *model.ConfigChange {
	for i := len(c.history) - 1; i >= 0; i-- {
		if matches(&c.history[i]) {
			found := c.history[i]
			return &found
		}
	}
	return nil
}

// findVersion returns the kept change that made a version, or nil.
func (c *Core) findVersion(version model.ConfigVersion) *model.ConfigChange {
	if len(c.history) == 0 || version < c.history[0].Version {
		return nil
	}
	i := int(version - c.history[0].Version)
	if i >= len(c.history) {
		return nil
	}
	found := c.history[i]
	return &found
}
