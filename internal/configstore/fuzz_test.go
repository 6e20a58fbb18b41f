package configstore

import (
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// FuzzDecodeRows decodes arbitrary values as each kind of row and checks that
// accepted values satisfy the invariants that the package relies on.
func FuzzDecodeRows(f *testing.F) {
	change := zoneChange("c1", 0, model.ZoneOut)
	change.Version = 3
	f.Add(encode(Head{Version: 3, Snapshot: 2, Change: "c1"}))
	f.Add(encode(change))
	f.Add(encode(apply(NewDocument(), change)))
	f.Add([]byte(`{"Version":1,"Ranges":[{"FirstHash":0},{"FirstHash":9}]}`))
	f.Add([]byte(`{"Version":1,"Ranges":[{"FirstHash":9},{"FirstHash":0}]}`))
	f.Add([]byte(`{"version":1,"snapshot":2}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row := storeapi.Row{Key: ChangeKey(3), Value: value, Version: 1}
		if head, err := DecodeHead(row); err == nil && (head.Version == 0 || head.Snapshot > head.Version) {
			t.Errorf("head %+v", head)
		}
		if change, err := DecodeChange(row); err == nil {
			if change.Version != 3 {
				t.Errorf("change %+v", change)
			}
			_, _ = Apply(NewDocument(), change)
			apply(NewDocument(), change)
		}
		if document, err := DecodeSnapshot(value); err == nil {
			apply(document, change)
		}
		if assignment, err := DecodeAssignment(row); err == nil && assignment.Ranges[0].FirstHash != 0 {
			t.Errorf("assignment %+v", assignment)
		}
	})
}

func TestCheckRefusesBadChanges(t *testing.T) {
	shape := model.Shape{Tasks: 2, PerTask: model.Resources{Accelerators: 8}, Topology: model.TopologyRack}
	guarantee := func(edit func(*model.GuaranteedShape)) model.ConfigChange {
		g := model.GuaranteedShape{Name: "g", Account: "a", Shape: shape, Count: 1}
		edit(&g)
		return model.ConfigChange{ID: "c", Object: "guarantee/g", Guarantee: &g}
	}
	account := func(edit func(*model.ClientAccount)) model.ConfigChange {
		a := model.ClientAccount{ID: "a", Weight: 1}
		edit(&a)
		return model.ConfigChange{ID: "c", Object: "account/a", Account: &a}
	}
	weights := func(w float64) model.ConfigChange {
		return model.ConfigChange{ID: "c", Object: "weights", Weights: &model.PolicyWeights{Fragmentation: w}}
	}
	nan := 0.0
	nan /= nan
	document := apply(NewDocument(), account(func(*model.ClientAccount) {}))
	document = apply(document, guarantee(func(*model.GuaranteedShape) {}))
	cases := []struct {
		name   string
		change model.ConfigChange
		code   string
	}{
		{"good guarantee", guarantee(func(*model.GuaranteedShape) {}), ""},
		{"good zone", zoneChange("c", 0, model.ZoneOut), ""},
		{"no ID", zoneChange("", 0, model.ZoneOut), CodeMalformed},
		{"unknown object", model.ConfigChange{ID: "c", Object: "disk/1", Zone: model.ZoneIn}, CodeUnknownObject},
		{"object without a name", model.ConfigChange{ID: "c", Object: "zone/", Zone: model.ZoneIn}, CodeUnknownObject},
		{"no value", model.ConfigChange{ID: "c", Object: "zone/z"}, CodeMalformed},
		{"two values", model.ConfigChange{ID: "c", Object: "zone/z", Zone: model.ZoneIn, Weights: &model.PolicyWeights{}}, CodeMalformed},
		{"value of another object", model.ConfigChange{ID: "c", Object: "zone/z", Weights: &model.PolicyWeights{}}, CodeMalformed},
		{"zone state", zoneChange("c", 0, "gone"), CodeOutOfRange},
		{"account of another name", account(func(a *model.ClientAccount) { a.ID = "b" }), CodeMalformed},
		{"account weight 0", account(func(a *model.ClientAccount) { a.Weight = 0 }), CodeOutOfRange},
		{"negative queue", account(func(a *model.ClientAccount) { a.MaxQueued = -1 }), CodeOutOfRange},
		{"unknown account", guarantee(func(g *model.GuaranteedShape) { g.Account = "x" }), CodeUnknownAccount},
		{"gang of 257", guarantee(func(g *model.GuaranteedShape) { g.Shape.Tasks = 257 }), CodeGangTooLarge},
		{"gang of 0", guarantee(func(g *model.GuaranteedShape) { g.Shape.Tasks = 0 }), CodeOutOfRange},
		{"count 0", guarantee(func(g *model.GuaranteedShape) { g.Count = 0 }), CodeOutOfRange},
		{"negative cores", guarantee(func(g *model.GuaranteedShape) { g.Shape.PerTask.Cores = -1 }), CodeOutOfRange},
		{"needs nothing", guarantee(func(g *model.GuaranteedShape) { g.Shape.PerTask = model.Resources{} }), CodeOutOfRange},
		{"topology", guarantee(func(g *model.GuaranteedShape) { g.Shape.Topology = "moon" }), CodeOutOfRange},
		{"weight above 1", weights(1.01), CodeOutOfRange},
		{"weight not a number", weights(nan), CodeOutOfRange},
		{"deletion of what is absent", model.ConfigChange{ID: "c", Object: "zone/z", Delete: true}, CodeUnknownObject},
		{"deletion of weights", model.ConfigChange{ID: "c", Object: "weights", Delete: true}, CodeMalformed},
		{"deletion of an account in use", model.ConfigChange{ID: "c", Object: "account/a", Delete: true}, CodeAccountInUse},
		{"deletion of a guarantee", model.ConfigChange{ID: "c", Object: "guarantee/g", Delete: true}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := Check(document, c.change)
			if (err == nil) != (c.code == "") || err != nil && err.Code != c.code {
				t.Errorf("got %v, want %q", err, c.code)
			}
		})
	}
}

func TestCallerValidatorRejectsChange(t *testing.T) {
	now, store, _ := newFleet(t, 0)
	h := newHost(t, store, DefaultLimits(), func(_ *model.ConfigDocument, change model.ConfigChange) error {
		if change.Object == "zone/z" {
			return &ValidationError{Code: CodeUnknownZone, Message: "no such zone"}
		}
		return nil
	})
	run(now, 1e9, h)
	token := h.submit(*now, zoneChange("c", 0, model.ZoneOut))
	if got := h.answers[token]; got.Verdict != VerdictInvalid || got.Invalid.Code != CodeUnknownZone {
		t.Errorf("got %+v", got)
	}
}
