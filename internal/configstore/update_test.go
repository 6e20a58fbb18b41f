package configstore

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// TestUpdatesFitInAFrame guards against updates that exceed the frame size,
// which would close the connection of the receiving process. It fills the
// history to its retention with the longest accepted names and builds updates
// from several versions.
func TestUpdatesFitInAFrame(t *testing.T) {
	limits := DefaultLimits()
	core := New(limits, "r", nil)
	const names = 50
	long := strings.Repeat("x", 120)
	for i := range limits.Retention + 1 {
		name := fmt.Sprintf("%s-%06d", long, i%names)
		core.applyChange(model.ConfigChange{
			ID: model.ChangeID(fmt.Sprintf("%s-%06d", long, i)), Object: "guarantee/" + name, Operator: long, Time: time.Unix(1_800_000_000, 0),
			Version: model.ConfigVersion(i + 1),
			Guarantee: &model.GuaranteedShape{Name: name, Account: model.ClientAccountID(long), Count: 1,
				Shape: model.Shape{Tasks: 256, Topology: model.TopologyRack, PerTask: model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 1 << 20}}},
		})
	}
	last := core.Document().Version
	for _, behind := range []model.ConfigVersion{0, 1, maxUpdateChanges, maxUpdateChanges + 1, model.ConfigVersion(limits.Retention), last} {
		update := core.UpdateFrom(last-behind, 0)
		frame, err := wire.Encode(&update)
		if err != nil {
			t.Errorf("%d versions behind: %v", behind, err)
		}
		if isWhole := update.Document != nil; isWhole != (behind > maxUpdateChanges) {
			t.Errorf("%d versions behind: whole document %v, %d changes, %d bytes", behind, isWhole, len(update.Changes), len(frame))
		}
	}
}
