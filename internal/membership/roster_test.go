package membership

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

func TestRosterFormsAndIsEstablished(t *testing.T) {
	now, _, hosts := newRosterFleet("e1", "e2", "e3")
	runRoster(now, 3*time.Second, hosts...)
	for _, h := range hosts {
		view := h.roster.View()
		if !view.Established || !view.Member || len(view.Others) != 2 {
			t.Errorf("%s: %+v", h.id, view)
		}
	}
}

func TestNewMemberWaitsUntilItIsKnown(t *testing.T) {
	now, store, hosts := newRosterFleet("e1", "e2")
	runRoster(now, 3*time.Second, hosts...)
	fresh := newRosterHost(store, "e3", 1)
	runRoster(now, 5*time.Second, fresh)
	if fresh.roster.View().Established {
		t.Fatal("established although no other member said that it knows the host")
	}
	runRoster(now, 3*time.Second, fresh, hosts[0])
	if !fresh.roster.View().Established {
		t.Error("not established although an established member knows the host")
	}
}

// TestDeadMembersDoNotBlockEstablishment lets members die before the others are
// established: alone they would wait until the dead ones are removed.
func TestDeadMembersDoNotBlockEstablishment(t *testing.T) {
	cases := []struct {
		name        string
		dead        []model.EntryID
		hasPeers    bool
		live        []model.EntryID
		established bool
	}{
		{"one of three died", []model.EntryID{"e1"}, true, []model.EntryID{"e2", "e3"}, true},
		{"the dead one relied on itself alone", []model.EntryID{"e1"}, false, []model.EntryID{"e2", "e3"}, false},
		{"two died", []model.EntryID{"e1", "e2"}, true, []model.EntryID{"e3", "e4"}, true},
		{"two died before a single one starts", []model.EntryID{"e1", "e2"}, true, []model.EntryID{"e3"}, true},
		{"the only one died", []model.EntryID{"e1"}, true, []model.EntryID{"e2"}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now, store, dead := newRosterFleet(tc.dead...)
			for _, h := range dead {
				h.roster.self.HasPeers = tc.hasPeers
				runRoster(now, 300*time.Millisecond, h)
			}
			var live []*rosterHost
			for _, id := range tc.live {
				live = append(live, newRosterHost(store, id, 1))
			}
			runRoster(now, 5*time.Second, live...)
			for _, h := range live {
				if got := h.roster.View().Established; got != tc.established {
					t.Errorf("%s: established %v, want %v", h.id, got, tc.established)
				}
			}
		})
	}
}

// TestSealFencesInFlightHeartbeats holds back the first beat in which a member names
// another one until a new host has passed it over.
func TestSealFencesInFlightHeartbeats(t *testing.T) {
	now, store, hosts := newRosterFleet("e1", "e2")
	member := hosts[0]
	runRoster(now, 2*time.Second, member)
	runRoster(now, 200*time.Millisecond, hosts[1])
	var held []CommitRoster
	for range 15 {
		*now = now.Add(100 * time.Millisecond)
		held = append(held, member.stepHoldingCommits(*now, RosterTick{})...)
	}
	if len(held) != 1 {
		t.Fatalf("%d writes are on their way, want one beat", len(held))
	}
	fresh := newRosterHost(store, "e3", 1)
	runRoster(now, 5*time.Second, fresh)
	if !fresh.roster.View().Established {
		t.Fatal("not established beside members that rely on nobody")
	}
	if _, err := store.Commit(context.Background(), held[0].Transaction); !errors.Is(err, storeapi.ErrConflict) {
		t.Errorf("a beat from before the seal: %v, want a conflict", err)
	}
	member.step(*now, RosterCommitted{Call: held[0].Call, Result: storeapi.ResultInDoubt})
	runRoster(now, 4*time.Second, member, hosts[1], fresh)
	want := []model.EntryID{"e2", "e3"}
	if view := member.roster.View(); !view.MayRely || !slices.Equal(view.RelyOn, want) {
		t.Errorf("the member after the seal: %+v, want it to rely on %v", view, want)
	}
}

// TestWhichSilentMembersAreSealed lists what a silent member's beat row may name.
func TestWhichSilentMembersAreSealed(t *testing.T) {
	cases := []struct {
		name   string
		relyOn []model.EntryID
		raw    string
		want   bool
	}{
		{"nobody", nil, "", true},
		{"a member that knows the new one", []model.EntryID{"live"}, "", true},
		{"a host that left", []model.EntryID{"gone"}, "", true},
		{"a silent member that relies on nobody", []model.EntryID{"idle"}, "", true},
		{"a silent member, which names it", []model.EntryID{"other"}, "", false},
		{"the silent member and the live one", []model.EntryID{"other", "live"}, "", true},
		{"a row that cannot be read", nil, "{", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now, store, hosts := newRosterFleet("new", "live")
			for id, relyOn := range map[model.EntryID][]model.EntryID{"silent": tc.relyOn, "idle": nil, "other": {"silent"}} {
				value := encodeBeat(beat{RelyOn: relyOn})
				if id == "silent" && tc.raw != "" {
					value = []byte(tc.raw)
				}
				putMember(t, store, EntryHost{ID: id, HasPeers: true}, value)
			}
			runRoster(now, 6*time.Second, hosts...)
			if got := hosts[0].roster.sealed["silent"] != notSealed; got != tc.want {
				t.Errorf("passed over: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRelianceIncludesUnconfirmedHeartbeats holds what a host relies on against its beats: it
// needs every member that one of its beats named since the last confirmed one.
func TestRelianceIncludesUnconfirmedHeartbeats(t *testing.T) {
	a, ab, b := []model.EntryID{"a"}, []model.EntryID{"a", "b"}, []model.EntryID{"b"}
	cases := []struct {
		name      string
		confirmed []model.EntryID
		inDoubt   [][]model.EntryID
		want      []model.EntryID
	}{
		{"confirmed only", a, nil, a},
		{"a beat in doubt names another one", a, [][]model.EntryID{b}, ab},
		{"a beat in doubt names nobody", a, [][]model.EntryID{nil}, nil},
		{"nothing confirmed", nil, [][]model.EntryID{a}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRoster(DefaultRosterLimits(), EntryHost{ID: "self", HasPeers: true})
			r.view.Member = true
			r.reliance.send(tc.confirmed)
			r.reliance.confirm(1)
			for _, members := range tc.inDoubt {
				r.reliance.send(members)
			}
			r.viewReliance()
			if r.view.MayRely != (tc.want != nil) || !slices.Equal(r.view.RelyOn, tc.want) {
				t.Errorf("relies: %v, on %v; want %v", r.view.MayRely, r.view.RelyOn, tc.want)
			}
		})
	}
}

func TestNewMembersAfterAllOthersDied(t *testing.T) {
	now, store, hosts := newRosterFleet("e1", "e2")
	runRoster(now, 3*time.Second, hosts...)
	fresh := newRosterHost(store, "e3", 1)
	limits := DefaultRosterLimits()
	runRoster(now, limits.RemoveAfter-5*time.Second, fresh)
	if fresh.roster.View().Established {
		t.Fatal("established while the dead hosts might still rest permits on each other")
	}
	runRoster(now, 30*time.Second, fresh)
	if view := fresh.roster.View(); !view.Established || len(view.Others) != 0 {
		t.Errorf("after the dead hosts were removed: %+v", view)
	}
}

// TestRestartedHostsAreEstablished starts all hosts again under their IDs, and one alone.
func TestRestartedHostsAreEstablished(t *testing.T) {
	for name, back := range map[string]int{"all": 2, "one": 1} {
		t.Run(name, func(t *testing.T) {
			now, store, hosts := newRosterFleet("e1", "e2")
			runRoster(now, 3*time.Second, hosts...)
			var again []*rosterHost
			for _, h := range hosts[:back] {
				again = append(again, newRosterHost(store, h.id, 2))
			}
			runRoster(now, 10*time.Second, again...)
			for _, h := range again {
				if got, want := h.roster.View().Established, back == len(hosts); got != want {
					t.Errorf("%s: established %v, want %v", h.id, got, want)
				}
			}
		})
	}
}

func TestRemovedMemberIsFencedAndJoinsAgain(t *testing.T) {
	now, store, hosts := newRosterFleet("e1", "e2")
	runRoster(now, 3*time.Second, hosts...)
	check := hosts[1].roster.View().Check
	runRoster(now, DefaultRosterLimits().RemoveAfter+5*time.Second, hosts[0])
	write := storeapi.Transaction{Checks: []storeapi.Check{check}, Puts: []storeapi.Put{{Key: "config"}}}
	if _, err := store.Commit(context.Background(), write); !errors.Is(err, storeapi.ErrConflict) {
		t.Errorf("a removed member's write: %v, want a conflict", err)
	}
	runRoster(now, 3*time.Second, hosts...)
	view := hosts[1].roster.View()
	if !view.Established || view.Check == check {
		t.Errorf("the member that came back: %+v", view)
	}
}

func TestRestartedMemberReplacesFormerIncarnation(t *testing.T) {
	now, store, hosts := newRosterFleet("e1", "e2")
	runRoster(now, 3*time.Second, hosts...)
	again := newRosterHost(store, "e2", 2)
	runRoster(now, 3*time.Second, hosts[0], again)
	runRoster(now, 3*time.Second, hosts[0], hosts[1], again)
	if view := again.roster.View(); !view.Established {
		t.Errorf("new life: %+v", view)
	}
	if view := hosts[1].roster.View(); view.Member || view.Established {
		t.Errorf("former life: %+v", view)
	}
}

func TestStoppingMemberLeavesTheRoster(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"answered": {}, "answer lost": {LoseAnswers: 1}} {
		t.Run(name, func(t *testing.T) {
			now, store, hosts := newRosterFleet("e1", "e2")
			runRoster(now, 3*time.Second, hosts...)
			store.SetFaults(standin.ServiceTable, faults)
			hosts[1].step(*now, RosterStop{})
			runRoster(now, 3*time.Second, hosts...)
			if view := hosts[1].roster.View(); !view.Left || view.Established {
				t.Errorf("leaving host: %+v", view)
			}
			if slices.Contains(hosts[0].known(), "e2") {
				t.Error("the other host still knows the one that left")
			}
		})
	}
}

func TestStoppingHostEndsWithoutTheTableService(t *testing.T) {
	for name, joined := range map[string]bool{"member": true, "never joined": false} {
		t.Run(name, func(t *testing.T) {
			now, store, hosts := newRosterFleet("e1")
			if joined {
				runRoster(now, 3*time.Second, hosts...)
			}
			store.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
			hosts[0].step(*now, RosterStop{})
			runRoster(now, 5*time.Second, hosts...)
			if view := hosts[0].roster.View(); !view.Left || view.Established {
				t.Errorf("after the stop: %+v", view)
			}
		})
	}
}

func FuzzDecodeRoster(f *testing.F) {
	f.Add("e1", []byte(`{"id":"e1","incarnation":1,"address":"127.0.0.1:1"}`))
	f.Add("e1", []byte(`{"id":"e2"}`))
	f.Add("", []byte(`{`))
	f.Fuzz(func(t *testing.T, id string, value []byte) {
		rows := []storeapi.Row{
			{Key: rosterBeatPrefix + id, Version: 2},
			{Key: rosterMemberPrefix + id, Value: value, Version: 1},
		}
		members := decodeRoster(rows)
		m := members[model.EntryID(id)]
		if m == nil || string(m.host.ID) != id || m.row != 1 || m.beat.Version != 2 {
			t.Errorf("member %+v", m)
		}
	})
}
