package configstore

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// takeSnapshot stores a snapshot when enough changes were made since the last.
func (c *Core) takeSnapshot(now time.Time) []Action {
	due := c.document.Version >= c.snapshot+model.ConfigVersion(c.limits.SnapshotEvery)
	if !due || c.snapshotCall != 0 {
		return nil
	}
	c.snapshotCall, c.snapshotAt, c.snapshotting = c.newCall(), now, c.document.Version
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
		c.snapshot = max(c.snapshot, c.snapshotting)
	}
}
