package configstore

import "dragonflyyard/internal/model"

// History returns at most limit changes, latest first.
func (c *Core) History(limit int) []model.ConfigChange {
	var changes []model.ConfigChange
	for i := len(c.history) - 1; i >= 0 && len(changes) < limit; i-- {
		changes = append(changes, c.history[i])
	}
	return changes
}

// HistoryLen returns the number of changes in the history.
func (c *Core) HistoryLen() int { return len(c.history) }

// findChange returns the change with the given ID from the history, or nil.
func (c *Core) findChange(id model.ChangeID) *model.ConfigChange {
	return c.findLatest(func(change *model.ConfigChange) bool { return change.ID == id })
}

// findLatestChange returns the latest change of an object in the history, or nil.
func (c *Core) findLatestChange(object string) *model.ConfigChange {
	return c.findLatest(func(change *model.ConfigChange) bool { return change.Object == object })
}

// findLatest returns a copy of the latest matching change in the history, or nil.
func (c *Core) findLatest(matches func(*model.ConfigChange) bool) *model.ConfigChange {
	for i := len(c.history) - 1; i >= 0; i-- {
		if matches(&c.history[i]) {
			found := c.history[i]
			return &found
		}
	}
	return nil
}

// findVersion returns the change in the history that made a version, or nil.
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
