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
		t.Fatal("established although no member's status names the host")
	}
	runRoster(now, 3*time.Second, fresh, hosts[0])
	if !fresh.roster.View().Established {
		t.Error("not established although an established member knows the host")
	}
}

// TestDeadMembersDoNotBlockEstablishment covers members that die right after they
// joined, before the others are established. Without seals the others would wait
// until the dead members are removed. A dead member that may rely on itself alone
// does block them.
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
		{"two died before a single host starts", []model.EntryID{"e1", "e2"}, true, []model.EntryID{"e3"}, true},
		{"the only member died", []model.EntryID{"e1"}, true, []model.EntryID{"e2"}, true},
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

// TestSealFencesInFlightHeartbeats checks that a heartbeat fails if it is in flight
// while a new host seals its row. Otherwise the member would rely on a member that
// does not know the new host. The heartbeat is the first one that names a member.
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
		t.Fatalf("%d writes are in flight, want one heartbeat", len(held))
	}
	fresh := newRosterHost(store, "e3", 1)
	runRoster(now, 5*time.Second, fresh)
	if !fresh.roster.View().Established {
		t.Fatal("not established although the other members rely on no member")
	}
	if _, err := store.Commit(context.Background(), held[0].Transaction); !errors.Is(err, storeapi.ErrConflict) {
		t.Errorf("a heartbeat sent before the seal: %v, want a conflict", err)
	}
	member.step(*now, RosterCommitted{Call: held[0].Call, Result: storeapi.ResultInDoubt})
	runRoster(now, 4*time.Second, member, hosts[1], fresh)
	want := []model.EntryID{"e2", "e3"}
	if view := member.roster.View(); !view.MayRely || !slices.Equal(view.RelyOn, want) {
		t.Errorf("the member after the seal: %+v, want it to rely on %v", view, want)
	}
}

// TestWhichSilentMembersAreSealed lists the contents of a silent member's heartbeat
// row, and whether a new host may seal it.
func TestWhichSilentMembersAreSealed(t *testing.T) {
	cases := []struct {
		name   string
		relyOn []model.EntryID
		raw    string
		want   bool
	}{
		{"no member", nil, "", true},
		{"a member that knows the new one", []model.EntryID{"live"}, "", true},
		{"a host that left", []model.EntryID{"gone"}, "", true},
		{"a silent member that relies on no member", []model.EntryID{"idle"}, "", true},
		{"a silent member, which names this one", []model.EntryID{"other"}, "", false},
		{"the silent member and the live one", []model.EntryID{"other", "live"}, "", true},
		{"a malformed row", nil, "{", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now, store, hosts := newRosterFleet("new", "live")
			for id, relyOn := range map[model.EntryID][]model.EntryID{"silent": tc.relyOn, "idle": nil, "other": {"silent"}} {
				value := encodeHeartbeat(heartbeat{RelyOn: relyOn})
				if id == "silent" && tc.raw != "" {
					value = []byte(tc.raw)
				}
				putMember(t, store, EntryHost{ID: id, HasPeers: true}, value)
			}
			runRoster(now, 6*time.Second, hosts...)
			if got := hosts[0].roster.sealed["silent"] != notSealed; got != tc.want {
				t.Errorf("sealed: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRelianceIncludesUnconfirmedHeartbeats checks that a host relies on every
// member named by its last confirmed heartbeat or a later one. Any of the later
// ones may have taken effect, and another host may have read the members it names.
func TestRelianceIncludesUnconfirmedHeartbeats(t *testing.T) {
	a, ab, b := []model.EntryID{"a"}, []model.EntryID{"a", "b"}, []model.EntryID{"b"}
	cases := []struct {
		name      string
		confirmed []model.EntryID
		inDoubt   [][]model.EntryID
		want      []model.EntryID
	}{
		{"confirmed only", a, nil, a},
		{"an unconfirmed heartbeat names another member", a, [][]model.EntryID{b}, ab},
		{"an unconfirmed heartbeat names no member", a, [][]model.EntryID{nil}, nil},
		{"nothing confirmed", nil, [][]model.EntryID{a}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRoster(DefaultRosterLimits(), EntryHost{ID: "self", HasPeers: true})
			r.view.Member = true
			r.reliance.recordSent(tc.confirmed)
			r.reliance.recordConfirmed(1)
			for _, members := range tc.inDoubt {
				r.reliance.recordSent(members)
			}
			r.updateReliance()
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
		t.Fatal("established while the dead hosts might still issue permits on each other's status")
	}
	runRoster(now, 30*time.Second, fresh)
	if view := fresh.roster.View(); !view.Established || len(view.Others) != 0 {
		t.Errorf("after the dead hosts were removed: %+v", view)
	}
}

// TestRestartedHostsAreEstablished restarts all hosts under their IDs, which are
// established again, or one of them, which is not while the other is silent.
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
		t.Errorf("the member that joined again: %+v", view)
	}
}

func TestRestartedMemberReplacesFormerIncarnation(t *testing.T) {
	now, store, hosts := newRosterFleet("e1", "e2")
	runRoster(now, 3*time.Second, hosts...)
	again := newRosterHost(store, "e2", 2)
	runRoster(now, 3*time.Second, hosts[0], again)
	runRoster(now, 3*time.Second, hosts[0], hosts[1], again)
	if view := again.roster.View(); !view.Established {
		t.Errorf("new incarnation: %+v", view)
	}
	if view := hosts[1].roster.View(); view.Member || view.Established {
		t.Errorf("former incarnation: %+v", view)
	}
}

func TestStoppingMemberLeavesTheRoster(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"result received": {}, "result lost": {LoseAnswers: 1}} {
		t.Run(name, func(t *testing.T) {
			now, store, hosts := newRosterFleet("e1", "e2")
			runRoster(now, 3*time.Second, hosts...)
			store.SetFaults(standin.ServiceTable, faults)
			hosts[1].step(*now, RosterStop{})
			runRoster(now, 3*time.Second, hosts...)
			if view := hosts[1].roster.View(); !view.Left || view.Established {
				t.Errorf("leaving host: %+v", view)
			}
			if slices.Contains(hosts[0].knownIDs(), "e2") {
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
			{Key: rosterHeartbeatPrefix + id, Version: 2},
			{Key: rosterMemberPrefix + id, Value: value, Version: 1},
		}
		members := decodeRoster(rows)
		m := members[model.EntryID(id)]
		if m == nil || string(m.host.ID) != id || m.memberVersion != 1 || m.heartbeat.Version != 2 {
			t.Errorf("member %+v", m)
		}
	})
}
