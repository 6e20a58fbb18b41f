package configstore

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// storeSnapshotIfDue stores a snapshot when at least SnapshotEvery changes were
// made since the last one and no snapshot write is outstanding.
func (c *Core) storeSnapshotIfDue(now time.Time) []Action {
	due := c.document.Version >= c.latestSnapshot+model.ConfigVersion(c.limits.SnapshotEvery)
	if !due || c.snapshotCall != 0 {
		return nil
	}
	c.snapshotCall, c.snapshotCalledAt, c.pendingSnapshot = c.newCall(), now, c.document.Version
	return []Action{WriteObject{
		Call:  c.snapshotCall,
		Key:   SnapshotKey(c.document.Version),
		Value: encode(c.document),
	}}
}

func (c *Core) onObjectWritten(in ObjectWritten) {
	if c.snapshotCall == 0 || in.Call != c.snapshotCall {
		return
	}
	c.snapshotCall = 0
	if in.Result == storeapi.ResultOK {
		c.latestSnapshot = max(c.latestSnapshot, c.pendingSnapshot)
	}
}
