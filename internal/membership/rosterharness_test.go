package membership

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// rosterHost drives one roster against a store, with the answers done at once.
type rosterHost struct {
	id     model.EntryID
	store  *standin.Store
	roster *Roster
}

func newRosterHost(store *standin.Store, id model.EntryID, incarnation model.Incarnation) *rosterHost {
	host := EntryHost{ID: id, Incarnation: incarnation, Address: "127.0.0.1:1", HasPeers: true}
	return &rosterHost{id: id, store: store, roster: NewRoster(DefaultRosterLimits(), host)}
}

func (h *rosterHost) step(now time.Time, in RosterInput) {
	ctx := coretest.Cancelled()
	for _, action := range h.roster.Step(now, in) {
		switch a := action.(type) {
		case ListRoster:
			rows, err := h.store.List(ctx, RosterPrefix, "", 1000)
			h.step(now, RosterListed{Call: a.Call, Result: storeapi.ResultOf(err), Rows: rows})
		case CommitRoster:
			versions, err := h.store.Commit(ctx, a.Transaction)
			h.step(now, RosterCommitted{Call: a.Call, Result: storeapi.ResultOf(err), Versions: versions})
		}
	}
}

// stepHoldingCommits takes an input, answers reads and returns the transactions.
func (h *rosterHost) stepHoldingCommits(now time.Time, in RosterInput) []CommitRoster {
	var held []CommitRoster
	for _, action := range h.roster.Step(now, in) {
		switch a := action.(type) {
		case ListRoster:
			rows, err := h.store.List(context.Background(), RosterPrefix, "", 1000)
			held = append(held, h.stepHoldingCommits(now, RosterListed{Call: a.Call, Result: storeapi.ResultOf(err), Rows: rows})...)
		case CommitRoster:
			held = append(held, a)
		}
	}
	return held
}

// known returns what the host tells others of the roster.
func (h *rosterHost) known() []model.EntryID {
	known := []model.EntryID{h.id}
	for _, other := range h.roster.View().Others {
		known = append(known, other.ID)
	}
	return known
}

// runRoster ticks the hosts and lets each state its roster to the others.
func runRoster(now *time.Time, length time.Duration, hosts ...*rosterHost) {
	for end := now.Add(length); now.Before(end); *now = now.Add(100 * time.Millisecond) {
		for _, h := range hosts {
			h.step(*now, RosterTick{})
			for _, peer := range hosts {
				if peer != h {
					view := peer.roster.View()
					h.step(*now, PeerStatus{Peer: peer.id, AskedAt: *now, Roster: peer.known(), Established: view.Established})
				}
			}
		}
	}
}

func newRosterFleet(ids ...model.EntryID) (*time.Time, *standin.Store, []*rosterHost) {
	now := start
	store := standin.NewStore(func() time.Time { return now })
	var hosts []*rosterHost
	for _, id := range ids {
		hosts = append(hosts, newRosterHost(store, id, 1))
	}
	return &now, store, hosts
}

// putMember writes the rows of a member that says nothing.
func putMember(t *testing.T, store *standin.Store, host EntryHost, beat []byte) {
	t.Helper()
	value, err := json.Marshal(host)
	if err != nil {
		t.Fatal(err)
	}
	tx := storeapi.Transaction{Puts: []storeapi.Put{
		{Key: rosterMemberPrefix + string(host.ID), Value: value},
		{Key: rosterBeatPrefix + string(host.ID), Value: beat},
	}}
	if _, err := store.Commit(context.Background(), tx); err != nil {
		t.Fatal(err)
	}
}
