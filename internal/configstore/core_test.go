package configstore

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

func TestChangeIsInForceOnEachHost(t *testing.T) {
	now, _, hosts := newFleet(t, 3)
	run(now, time.Second, hosts...)
	token := hosts[0].submit(*now, zoneChange("c1", 0, model.ZoneOut))
	if got := hosts[0].answers[token]; got.Verdict != VerdictAccepted || got.Version != 1 {
		t.Fatalf("got %+v, want version 1 accepted", got)
	}
	run(now, DefaultLimits().PollEvery+tickInterval, hosts...)
	for i, h := range hosts {
		if view := h.core.View(); view.Config != 1 || !reflect.DeepEqual(view.ZonesOut, []model.AvailabilityZoneName{"z"}) {
			t.Errorf("host %d: %+v", i, view)
		}
	}
}

func TestRacingOperators(t *testing.T) {
	now, _, hosts := newFleet(t, 2)
	run(now, time.Second, hosts...)
	first := hosts[0].submit(*now, zoneChange("c1", 0, model.ZoneOut))
	second := hosts[1].submit(*now, zoneChange("c2", 0, model.ZoneIn))
	run(now, time.Second, hosts...)
	if got := hosts[0].answers[first]; got.Verdict != VerdictAccepted {
		t.Errorf("first: %+v", got)
	}
	got := hosts[1].answers[second]
	if got.Verdict != VerdictConflict || got.Winner == nil || got.Winner.ID != "c1" {
		t.Errorf("second: got %+v, want a conflict that shows c1", got)
	}
}

func TestChangesOfOtherObjectsDoNotConflict(t *testing.T) {
	now, _, hosts := newFleet(t, 2)
	run(now, time.Second, hosts...)
	weights := model.ConfigChange{ID: "w", Object: "weights", Weights: &model.PolicyWeights{CompletionTime: 1}}
	first := hosts[0].submit(*now, zoneChange("c1", 0, model.ZoneOut))
	second := hosts[1].submit(*now, weights)
	run(now, time.Second, hosts...)
	if a, b := hosts[0].answers[first], hosts[1].answers[second]; a.Verdict != VerdictAccepted || b.Verdict != VerdictAccepted {
		t.Errorf("got %+v and %+v, want both accepted", a, b)
	}
}

func TestSameChangeAgainHasNoEffect(t *testing.T) {
	now, store, hosts := newFleet(t, 2)
	run(now, time.Second, hosts...)
	hosts[0].submit(*now, zoneChange("c1", 0, model.ZoneOut))
	run(now, time.Second, hosts...)
	late := newHost(t, store, DefaultLimits(), nil)
	run(now, time.Second, late)
	for name, h := range map[string]*host{"same host": hosts[0], "other host": hosts[1], "late host": late} {
		token := h.submit(*now, zoneChange("c1", 0, model.ZoneOut))
		run(now, time.Second, hosts[0], hosts[1], late)
		if got := h.answers[token]; got.Verdict != VerdictAccepted || got.Version != 1 {
			t.Errorf("%s: got %+v, want version 1 accepted", name, got)
		}
		other := h.submit(*now, zoneChange("c1", 1, model.ZoneIn))
		run(now, time.Second, hosts[0], hosts[1], late)
		if got := h.answers[other]; got.Verdict != VerdictInvalid || got.Invalid.Code != CodeIDReused {
			t.Errorf("%s: another change under the same ID: got %+v", name, got)
		}
	}
}

func TestLateJoinerTakesSnapshotAndChanges(t *testing.T) {
	now := start
	store := standin.NewStore(func() time.Time { return now })
	limits := DefaultLimits()
	limits.SnapshotEvery, limits.Retention, limits.PageRows = 10, 25, 9
	writer := newHost(t, store, limits, nil)
	run(&now, time.Second, writer)
	expected := model.ConfigVersion(0)
	for i := range 68 {
		state := []model.ZoneState{model.ZoneOut, model.ZoneIn}[i%2]
		token := writer.submit(now, zoneChange(fmt.Sprint("c", i), expected, state))
		expected = writer.answers[token].Version
	}
	late := newHost(t, store, limits, nil)
	run(&now, 3*time.Second, late)
	if !reflect.DeepEqual(late.core.Document(), writer.core.Document()) {
		t.Errorf("late joiner has %+v, want %+v", late.core.Document(), writer.core.Document())
	}
	if !reflect.DeepEqual(late.core.History(1000), writer.core.History(1000)) {
		t.Errorf("late joiner has %d changes in its history, want %d", len(late.core.History(1000)), len(writer.core.History(1000)))
	}
	stale := late.submit(now, zoneChange("stale", 7, model.ZoneOut))
	if got := late.answers[stale]; got.Verdict != VerdictConflict || got.Winner == nil || got.Winner.Version != 68 {
		t.Errorf("conflict at the late joiner: %+v", got)
	}
	for i := range 40 {
		late.submit(now, zoneChange(fmt.Sprint("d", i), model.ConfigVersion(68+i), model.ZoneOut))
	}
	rows, _ := store.List(coretest.Cancelled(), changePrefix, "", 1000)
	ids, _ := store.List(coretest.Cancelled(), idPrefix, "", 1000)
	if len(rows) != limits.Retention || len(ids) != limits.Retention {
		t.Errorf("%d change rows and %d ID rows are kept, want %d", len(rows), len(ids), limits.Retention)
	}
}

func TestUpdateLeadsAnAgentFromAnyVersion(t *testing.T) {
	now, _, hosts := newFleet(t, 1)
	h := hosts[0]
	run(now, time.Second, h)
	documents := []*model.ConfigDocument{NewDocument()}
	for i := range 10 {
		state := []model.ZoneState{model.ZoneOut, model.ZoneIn}[i%2]
		h.submit(*now, zoneChange(fmt.Sprint("c", i), model.ConfigVersion(i), state))
		documents = append(documents, h.core.Document())
	}
	for _, from := range documents {
		got := ApplyUpdate(from, h.core.UpdateFrom(from.Version, 0))
		if !reflect.DeepEqual(got, h.core.Document()) {
			t.Errorf("from version %d: got %+v", from.Version, got)
		}
		if again := ApplyUpdate(got, h.core.UpdateFrom(0, 0)); again != got {
			t.Errorf("an outdated update replaced version %d", got.Version)
		}
	}
}

func TestAssignmentIsWrittenAndRead(t *testing.T) {
	now, store, hosts := newFleet(t, 2)
	run(now, time.Second, hosts...)
	versions, _ := store.Commit(coretest.Cancelled(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "epoch"}}})
	fence := storeapi.Check{Key: "epoch", Version: versions[0]}
	first := wire.Assignment{Version: 1, Ranges: []wire.HomeRange{{Home: "a", Incarnation: 1}}}
	hosts[0].step(*now, ProposeAssignment{Assignment: first, Fence: fence})
	run(now, time.Second, hosts...)
	if got := hosts[1].core.Assignment(); !reflect.DeepEqual(got, first) {
		t.Fatalf("got %+v, want %+v", got, first)
	}
	_, _ = store.Commit(coretest.Cancelled(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "epoch"}}})
	second := wire.Assignment{Version: 2, Ranges: first.Ranges}
	hosts[0].step(*now, ProposeAssignment{Assignment: second, Fence: fence})
	run(now, time.Second, hosts...)
	for i, h := range hosts {
		if got := h.core.Assignment().Version; got != 1 || h.core.View().AssignmentInDoubt {
			t.Errorf("host %d: a deposed owner's assignment is at version %d", i, got)
		}
	}
}
