package configstore

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// resolved returns the verdict of the Resolved action for a change, or "".
func (h *host) resolved(id model.ChangeID) Verdict {
	for _, action := range h.log {
		if r, ok := action.(Resolved); ok && r.Change == id {
			return r.Verdict
		}
	}
	return ""
}

func (h *host) zoneIsOut() bool { return len(h.core.View().ZonesOut) == 1 }

// commitOtherChange changes another object through a separate host, so that the
// head row of the tested host is outdated.
func commitOtherChange(t *testing.T, now time.Time, store *standin.Store) {
	other := newHost(t, store, DefaultLimits(), nil)
	run(&now, time.Second, other)
	other.submit(now, model.ConfigChange{ID: "other", Object: "weights", Weights: &model.PolicyWeights{}})
	if other.core.Document().ObjectVersions["weights"] == 0 {
		t.Fatal("the other change was not accepted")
	}
}

// TestTakeOutUnderFaults takes a zone out of service under each fault of the
// store. The fault is injected before the change is submitted and cleared 5 s
// later.
func TestTakeOutUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		// later replaces the faults between the first commit and its result.
		later *standin.Faults
		// race commits another change, which updates the head row, before the
		// change is submitted.
		race bool
		// answer is the verdict answered to the operator; outMeanwhile is whether
		// the zone is treated as out before the store recovers; resolved is the
		// verdict of the later Resolved action.
		answer       Verdict
		outMeanwhile bool
		resolved     Verdict
		outAtEnd     bool
	}{
		{name: "none", answer: VerdictAccepted, outMeanwhile: true, outAtEnd: true},
		{name: "down", faults: standin.Faults{Down: true}, answer: VerdictUnavailable},
		{name: "answer lost", faults: standin.Faults{LoseAnswers: 1}, answer: VerdictAccepted, outMeanwhile: true, outAtEnd: true},
		{name: "all answers lost", faults: standin.Faults{LoseAnswers: -1}, answer: VerdictAccepted, outMeanwhile: true, outAtEnd: true},
		{name: "answer lost, then down", faults: standin.Faults{LoseAnswers: 1}, later: &standin.Faults{Down: true},
			answer: VerdictInDoubt, outMeanwhile: true, resolved: VerdictAccepted, outAtEnd: true},
		{name: "answer lost, then frozen", faults: standin.Faults{LoseAnswers: 1}, later: &standin.Faults{Freeze: true},
			answer: VerdictInDoubt, outMeanwhile: true, resolved: VerdictAccepted, outAtEnd: true},
		{name: "frozen: the write takes effect late", faults: standin.Faults{Freeze: true},
			answer: VerdictInDoubt, outMeanwhile: true, resolved: VerdictAccepted, outAtEnd: true},
		{name: "silent: the write has no effect, and is sent again", faults: standin.Faults{Silent: true},
			answer: VerdictInDoubt, outMeanwhile: true, resolved: VerdictAccepted, outAtEnd: true},
		{name: "another change won the head row", race: true, answer: VerdictAccepted, outMeanwhile: true, outAtEnd: true},
		{name: "another change won, answers lost", race: true, faults: standin.Faults{LoseAnswers: -1},
			answer: VerdictAccepted, outMeanwhile: true, outAtEnd: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now, store, hosts := newFleet(t, 2)
			h := hosts[0]
			run(now, time.Second, hosts...)
			if c.race {
				commitOtherChange(t, *now, store)
			}
			store.SetFaults(standin.ServiceTable, c.faults)
			if c.later != nil {
				h.afterCommit = func() { store.SetFaults(standin.ServiceTable, *c.later) }
			}
			token := h.submit(*now, zoneChange("c1", 0, model.ZoneOut))
			run(now, 5*time.Second, hosts...)
			if got := h.answers[token].Verdict; got != c.answer {
				t.Errorf("answer %q, want %q", got, c.answer)
			}
			if got := h.zoneIsOut(); got != c.outMeanwhile {
				t.Errorf("zone treated as out during the fault: %v, want %v", got, c.outMeanwhile)
			}
			store.SetFaults(standin.ServiceTable, standin.Faults{})
			run(now, 2*time.Second, hosts...)
			if got := h.resolved("c1"); got != c.resolved {
				t.Errorf("late result %q, want %q", got, c.resolved)
			}
			for i, host := range hosts {
				if got := host.zoneIsOut(); got != c.outAtEnd {
					t.Errorf("host %d: zone is out at the end: %v, want %v", i, got, c.outAtEnd)
				}
			}
		})
	}
}

// TestChangeInDoubtThatFailed guards against a change that takes effect long
// after its operator was answered that it is in doubt. Two concurrent changes
// are in flight while the table service is frozen; the one that fails must not
// be written later.
func TestChangeInDoubtThatFailed(t *testing.T) {
	now, store, hosts := newFleet(t, 2)
	run(now, time.Second, hosts...)
	store.SetFaults(standin.ServiceTable, standin.Faults{Freeze: true})
	weights := model.ConfigChange{ID: "w", Object: "weights", Weights: &model.PolicyWeights{CompletionTime: 1}}
	first := hosts[0].submit(*now, weights)
	second := hosts[1].submit(*now, zoneChange("c1", 0, model.ZoneOut))
	run(now, 5*time.Second, hosts...)
	store.SetFaults(standin.ServiceTable, standin.Faults{})
	run(now, 2*time.Second, hosts...)
	if a, b := hosts[0].answers[first].Verdict, hosts[1].answers[second].Verdict; a != VerdictInDoubt || b != VerdictInDoubt {
		t.Fatalf("answers %q and %q", a, b)
	}
	if a, b := hosts[0].resolved("w"), hosts[1].resolved("c1"); a != VerdictAccepted || b != VerdictUnavailable {
		t.Errorf("late results %q and %q", a, b)
	}
	if hosts[1].zoneIsOut() || hosts[1].core.Document().Version != 1 {
		t.Errorf("a change that was resolved as unavailable is in the document: %+v", hosts[1].core.Document())
	}
}

func TestNonMemberHostWritesNothing(t *testing.T) {
	now, store, hosts := newFleet(t, 1)
	h := hosts[0]
	versions, _ := store.Commit(coretest.Cancelled(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "member"}}})
	h.step(*now, WriteAccess{Allowed: true, Member: storeapi.Check{Key: "member", Version: versions[0]}})
	run(now, time.Second, h)
	_, _ = store.Commit(coretest.Cancelled(), storeapi.Transaction{Deletes: []string{"member"}})
	removed := h.submit(*now, zoneChange("c1", 0, model.ZoneOut))
	run(now, time.Second, h)
	h.step(*now, WriteAccess{})
	refused := h.submit(*now, zoneChange("c2", 0, model.ZoneOut))
	for _, token := range []uint64{removed, refused} {
		if got := h.answers[token].Verdict; got != VerdictUnavailable {
			t.Errorf("answer %q, want unavailable", got)
		}
	}
	if version := h.core.Document().Version; version != 0 {
		t.Errorf("version %d was written by a host without write access", version)
	}
}

func TestCoreRecoversFromLostResults(t *testing.T) {
	now, _, hosts := newFleet(t, 2)
	h := hosts[0]
	run(now, time.Second, hosts...)
	h.lossy = true
	token := h.submit(*now, zoneChange("c1", 0, model.ZoneOut))
	run(now, 5*time.Second, hosts...)
	if got := h.answers[token].Verdict; got != VerdictInDoubt || !h.zoneIsOut() {
		t.Errorf("answer %q, zone treated as out: %v", got, h.zoneIsOut())
	}
	h.lossy = false
	run(now, callTimeout+5*time.Second, hosts...)
	if got := h.resolved("c1"); got != VerdictAccepted || now.Sub(h.core.View().CurrentSince) > time.Second {
		t.Errorf("late result %q, current since %v", got, now.Sub(h.core.View().CurrentSince))
	}
}

func TestRestartedHostServesOnlyAfterARead(t *testing.T) {
	now, store, hosts := newFleet(t, 1)
	run(now, time.Second, hosts...)
	hosts[0].submit(*now, zoneChange("c1", 0, model.ZoneOut))
	store.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
	again := newHost(t, store, DefaultLimits(), nil)
	run(now, 3*time.Second, again)
	token := again.submit(*now, zoneChange("c2", 1, model.ZoneIn))
	if view := again.core.View(); view.Ready || again.answers[token].Verdict != VerdictUnavailable {
		t.Fatalf("without a read: %+v, %+v", view, again.answers[token])
	}
	store.SetFaults(standin.ServiceTable, standin.Faults{})
	run(now, time.Second, again)
	if view := again.core.View(); !view.Ready || view.Config != 1 || !again.zoneIsOut() {
		t.Errorf("after a read: %+v", view)
	}
}

func TestLateJoinerWithoutObjectStore(t *testing.T) {
	now := start
	store := standin.NewStore(func() time.Time { return now })
	limits := DefaultLimits()
	limits.SnapshotEvery, limits.PageRows = 5, 7
	writer := newHost(t, store, limits, nil)
	run(&now, time.Second, writer)
	for i := range 40 {
		writer.submit(now, zoneChange(fmt.Sprint("c", i), model.ConfigVersion(i), model.ZoneOut))
	}
	store.SetFaults(standin.ServiceObjects, standin.Faults{Down: true})
	late := newHost(t, store, limits, nil)
	run(&now, time.Second, late)
	if !reflect.DeepEqual(late.core.Document(), writer.core.Document()) || !late.core.View().Ready {
		t.Errorf("late joiner is at version %d, ready %v", late.core.Document().Version, late.core.View().Ready)
	}
}

func TestChangeIDOutsideHistoryIsFoundInTable(t *testing.T) {
	now := start
	store := standin.NewStore(func() time.Time { return now })
	limits := DefaultLimits()
	limits.SnapshotEvery = 5
	writer := newHost(t, store, limits, nil)
	run(&now, time.Second, writer)
	for i := range 12 {
		writer.submit(now, zoneChange(fmt.Sprint("c", i), model.ConfigVersion(i), model.ZoneOut))
	}
	late := newHost(t, store, limits, nil)
	run(&now, 100*time.Millisecond, late)
	late.core.history, late.core.backfill.done = nil, true
	again := late.submit(now, zoneChange("c2", 2, model.ZoneOut))
	other := late.submit(now, zoneChange("c3", 12, model.ZoneIn))
	run(&now, time.Second, late)
	if got := late.answers[again]; got.Verdict != VerdictAccepted && got.Verdict != VerdictConflict {
		t.Errorf("same change: %+v", got)
	}
	if got := late.answers[other]; got.Verdict != VerdictInvalid || got.Invalid.Code != CodeIDReused {
		t.Errorf("another change under a used ID: %+v", got)
	}
	if version := late.core.Document().Version; version != 12 {
		t.Errorf("version %d, want 12", version)
	}
}

// TestRandomSequences submits concurrent changes through three hosts while
// faults are injected and cleared at random, and checks each answer against the
// rows in the table.
func TestRandomSequences(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomSequence(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

type submitted struct {
	host   *host
	token  uint64
	change model.ConfigChange
}

func runRandomSequence(t *testing.T, random *rand.Rand) {
	now := start
	store := standin.NewStore(func() time.Time { return now })
	limits := DefaultLimits()
	limits.SnapshotEvery, limits.Retention = 8, 1000
	hosts := []*host{newHost(t, store, limits, nil), newHost(t, store, limits, nil), newHost(t, store, limits, nil)}
	if random.IntN(2) == 0 {
		for _, h := range hosts {
			h.delays = random
		}
	}
	run(&now, time.Second, hosts...)
	var all []submitted
	faults := []standin.Faults{{}, {}, {}, {Down: true}, {LoseAnswers: 1}, {LoseAnswers: -1}, {Freeze: true}, {Silent: true}}
	for i := range 120 {
		store.SetFaults(standin.ServiceTable, faults[random.IntN(len(faults))])
		store.SetFaults(standin.ServiceObjects, standin.Faults{Down: random.IntN(3) == 0})
		for range random.IntN(3) {
			h := hosts[random.IntN(len(hosts))]
			change := randomChange(random, h, fmt.Sprint("c", i, "/", len(all)), all)
			all = append(all, submitted{h, h.submit(now, change), change})
		}
		run(&now, time.Duration(random.IntN(1500))*time.Millisecond, hosts[random.IntN(2):]...)
	}
	store.SetFaults(standin.ServiceTable, standin.Faults{})
	store.SetFaults(standin.ServiceObjects, standin.Faults{})
	late := newHost(t, store, limits, nil)
	run(&now, 10*time.Second, append(hosts, late)...)
	checkAgainstRows(t, store, append(hosts, late), all)
}

// randomChange generates a change of one of a few objects. Some have a stale
// expected version, and some are resubmissions.
func randomChange(random *rand.Rand, h *host, id string, before []submitted) model.ConfigChange {
	if len(before) > 0 && random.IntN(6) == 0 {
		return before[random.IntN(len(before))].change
	}
	object := fmt.Sprint("zone/", random.IntN(3))
	expected := h.core.Document().ObjectVersions[object]
	if random.IntN(10) == 0 {
		expected++
	}
	state := []model.ZoneState{model.ZoneIn, model.ZoneOut}[random.IntN(2)]
	return model.ConfigChange{ID: model.ChangeID(id), Object: object, ExpectedVersion: expected, Zone: state}
}

func checkAgainstRows(t *testing.T, store *standin.Store, hosts []*host, all []submitted) {
	rows, err := store.List(coretest.Cancelled(), changePrefix, "", 100_000)
	if err != nil {
		t.Fatal(err)
	}
	document, made := NewDocument(), map[model.ChangeID]model.ConfigVersion{}
	for _, row := range rows {
		change, err := DecodeChange(row)
		if err != nil || change.Version != document.Version+1 || made[change.ID] != 0 {
			t.Fatalf("row %q: %v, version %d after %d, ID made before as %d", row.Key, err, change.Version, document.Version, made[change.ID])
		}
		document = apply(document, change)
		made[change.ID] = change.Version
	}
	for i, h := range hosts {
		if !reflect.DeepEqual(h.core.Document(), document) {
			t.Errorf("host %d is at version %d, the rows at %d", i, h.core.Document().Version, document.Version)
		}
	}
	checkAnswers(t, all, made)
}

func checkAnswers(t *testing.T, all []submitted, made map[model.ChangeID]model.ConfigVersion) {
	sent := map[model.ChangeID]int{}
	for _, s := range all {
		sent[s.change.ID]++
	}
	for _, s := range all {
		answer, answered := s.host.answers[s.token]
		version := made[s.change.ID]
		switch {
		case !answered:
			t.Errorf("change %s got no answer", s.change.ID)
		case answer.Verdict == VerdictAccepted && version != answer.Version:
			t.Errorf("change %s accepted as version %d, the rows have %d", s.change.ID, answer.Version, version)
		case answer.Verdict != VerdictAccepted && answer.Verdict != VerdictInDoubt && version != 0 && sent[s.change.ID] == 1:
			t.Errorf("change %s answered %s, but made version %d", s.change.ID, answer.Verdict, version)
		case answer.Verdict == VerdictInDoubt:
			late := s.host.resolved(s.change.ID)
			if sent[s.change.ID] == 1 && (late == VerdictAccepted) != (version != 0) {
				t.Errorf("change %s resolved as %q, the rows have version %d", s.change.ID, late, version)
			}
		}
	}
}
