package configstore

import (
	"fmt"
	"testing"

	"dragonflyyard/internal/model"
)

// teamDocument returns a document with 42 zones and one account and one
// guarantee for each team.
func teamDocument(teams int) *model.ConfigDocument {
	d := NewDocument()
	for i := range teams {
		id := model.ClientAccountID(fmt.Sprintf("team-%04d", i))
		name := fmt.Sprintf("shape-%04d", i)
		shape := model.Shape{Tasks: 4, PerTask: model.Resources{Accelerators: 8}, Topology: model.TopologyRack}
		d.Accounts[id] = model.ClientAccount{ID: id, Weight: 1, MaxQueued: 100}
		d.Guarantees[name] = model.GuaranteedShape{Name: name, Account: id, Shape: shape, Count: 1}
		d.ObjectVersions[ObjectAccount+string(id)] = 1
		d.ObjectVersions[ObjectGuarantee+name] = 1
	}
	for i := range 42 {
		d.Zones[model.AvailabilityZoneName(fmt.Sprint("zone-", i))] = model.ZoneIn
	}
	return d
}

func BenchmarkApply(b *testing.B) {
	for _, teams := range []int{8, 170, 680} {
		d := teamDocument(teams)
		change := zoneChange("c", 0, model.ZoneOut)
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				apply(d, change)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, teams := range []int{8, 170, 680} {
		d := teamDocument(teams)
		d.Version = 1
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			value := encode(d)
			for b.Loop() {
				if _, err := DecodeSnapshot(value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "bytes")
		})
	}
}
