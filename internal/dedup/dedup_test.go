package dedup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

func TestMintTime(t *testing.T) {
	cases := []struct {
		id   model.RequestID
		want int64
		ok   bool
	}{
		{"01a3185c-7792-7242-802c-000000000002", 0x01a3185c7792, true},
		{"01a3185c-7792-4242-802c-000000000002", 0, false},
		{"01A3185C-7792-7242-802C-000000000002", 0, false},
		{"{1a3185c-7792-7242-802c-00000000000}", 0, false},
		{"", 0, false},
	}
	for _, c := range cases {
		got, err := MintTime(c.id)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("%q: got %d, %v", c.id, got, err)
		}
	}
}

func TestWindowFloorFollowsEvictions(t *testing.T) {
	w := NewWindow[int](time.Second, 3, 0)
	for i := range 5 {
		w.Put(model.RequestID(fmt.Sprint(i)), int64(1000+i), i)
	}
	if w.Len() != 3 || w.Floor() != 1001 {
		t.Errorf("got %d records, floor %d", w.Len(), w.Floor())
	}
	w.Advance(2003)
	if _, ok := w.Get("3"); ok || w.Len() != 1 || w.Floor() != 1003 {
		t.Errorf("got %d records, floor %d", w.Len(), w.Floor())
	}
	w.Advance(1500)
	if w.Floor() != 1003 {
		t.Errorf("the floor decreased to %d", w.Floor())
	}
}

// In random sequences of joins, losses and planned stops, with homes planned by
// membership, each ID has at most one holder that may know it, within every
// assignment version and across all of them. A holder may know the IDs that were
// minted after its FloorUnixMS.
func TestPlannedHomesKeepOneHolderForEachID(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		members := map[model.BackendServerID]*membership.HomeAgent{}
		current := wire.Assignment{}
		now := int64(1_000_000)
		granted := map[model.RequestID]Holder{}
		for range 60 {
			now += int64(r.IntN(8000))
			changeMembers(r, members)
			next, changed := membership.PlanHomes(current, memberList(members), now, 3*time.Second)
			if changed && next.Version != current.Version+1 {
				t.Fatalf("version %d follows %d", next.Version, current.Version)
			}
			current = next
			for range 20 {
				checkHolder(t, r, &current, members, granted, now)
			}
		}
	}
}

func changeMembers(r *rand.Rand, members map[model.BackendServerID]*membership.HomeAgent) {
	id := model.BackendServerID(fmt.Sprint("b", r.IntN(6)))
	m := members[id]
	switch {
	case m == nil:
		members[id] = &membership.HomeAgent{ID: id, Incarnation: model.Incarnation(1 + r.IntN(1_000_000))}
	case r.IntN(2) == 0:
		m.Leaving = true
	default:
		delete(members, id)
	}
}

func memberList(members map[model.BackendServerID]*membership.HomeAgent) []membership.HomeAgent {
	var list []membership.HomeAgent
	for _, m := range members {
		list = append(list, *m)
	}
	return list
}

// checkHolder grants a random earlier or new ID at its holder, if the holder is
// alive and may know it, and fails if another holder granted it before.
func checkHolder(t *testing.T, r *rand.Rand, a *wire.Assignment, members map[model.BackendServerID]*membership.HomeAgent,
	granted map[model.RequestID]Holder, now int64,
) {
	t.Helper()
	mint := now - int64(r.IntN(12_000))
	id := model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", mint>>16, mint&0xffff, r.IntN(3)))
	h, ok := HolderOf(a, id, mint, 100*time.Millisecond)
	if !ok || mint <= h.FloorUnixMS {
		return
	}
	if m := members[h.Home]; m == nil || m.Incarnation != h.Incarnation {
		return
	}
	if before, seen := granted[id]; seen && (before.Home != h.Home || before.Incarnation != h.Incarnation) {
		t.Fatalf("%s was granted by %+v before and now by %+v", id, before, h)
	}
	granted[id] = h
}

// A home of the first assignment knows every request. A home that got a range
// later knows only the requests minted long enough after it received the range,
// also after the range is split.
func TestFloorOfFirstAndSplitRanges(t *testing.T) {
	const nowMS, receivedMS = 1_800_000_100_000, 1_800_000_000_000
	for name, c := range map[string]struct {
		since, mint int64
		granted     bool
	}{
		"first assignment":                           {wire.SinceFirstAssignment, receivedMS - 5000, true},
		"received long ago, minted before":           {receivedMS - 9000, receivedMS - 5000, false},
		"received long ago, minted after the split":  {receivedMS - 9000, nowMS - 100, true},
		"received long ago, minted before the split": {receivedMS - 9000, nowMS - 20_000, true},
	} {
		claims := NewClaims(Limits{
			Self: "a", Incarnation: 1, ClockSkewBound: 500 * time.Millisecond, LongestPermit: 2500 * time.Millisecond,
			Horizon: time.Hour, MaxRecords: 100,
		})
		r := wire.HomeRange{Home: "a", Incarnation: 1, SinceUnixMS: c.since}
		claims.SetAssignment(time.UnixMilli(receivedMS), wire.Assignment{Version: 1, Ranges: []wire.HomeRange{r}})
		half := r
		half.FirstHash = 1 << 63
		claims.SetAssignment(time.UnixMilli(nowMS-10), wire.Assignment{Version: 2, Ranges: []wire.HomeRange{r, half}})
		now := time.UnixMilli(nowMS)
		claims.SetPermit(Permit{Assignment: 2, ValidUntil: now.Add(time.Second)})
		for n := range 20 {
			id := model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", c.mint>>16, c.mint&0xffff, n))
			reply := claims.Handle(now, "e", &wire.Claim{Request: id, Executor: "a", Assignment: 2, Token: uint64(n)})
			if reply.Granted != c.granted {
				t.Errorf("%s: request %d: granted %v, state %d", name, n, reply.Granted, reply.State)
			}
		}
	}
}

func BenchmarkClaim(b *testing.B) {
	c := NewClaims(Limits{Self: "a", Incarnation: 1, Horizon: time.Minute, MaxRecords: 100_000})
	c.SetAssignment(time.UnixMilli(0), wire.Assignment{Version: 1, Ranges: []wire.HomeRange{{Home: "a", Incarnation: 1}}})
	now := time.UnixMilli(1_800_000_000_000)
	c.SetPermit(Permit{Assignment: 1, ValidUntil: now.Add(time.Hour)})
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		ms := now.UnixMilli()
		id := model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n))
		c.Handle(now, "e", &wire.Claim{Request: id, Executor: "a", Assignment: 1, Token: uint64(n)})
	}
}
