package entry

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

func TestStatusIsSentWhenAskedChangedOrOld(t *testing.T) {
	start := time.UnixMilli(0)
	book := statusBook{}
	base := wire.StoreStatus{Reachable: true, Config: 1, Roster: []model.EntryID{"e1"}, Established: true}
	changed := func(change func(*wire.StoreStatus)) wire.StoreStatus {
		next := base
		change(&next)
		return next
	}
	cases := []struct {
		name    string
		ms      int
		status  wire.StoreStatus
		unasked bool
		want    bool
	}{
		{"first on the connection", 0, base, true, true},
		{"same", 500, changed(func(s *wire.StoreStatus) { s.Seq = 9 }), true, false},
		{"same, asked", 1000, base, false, true},
		{"same after an asked one", 1500, base, true, false},
		{"zone out", 1600, changed(func(s *wire.StoreStatus) { s.ZonesOut = []model.AvailabilityZoneName{"z"} }), true, true},
		{"zone back", 1700, base, true, true},
		{"member joined", 1800, changed(func(s *wire.StoreStatus) { s.Roster = []model.EntryID{"e2", "e1"} }), true, true},
		{"store lost", 1900, changed(func(s *wire.StoreStatus) { s.Reachable = false }), true, true},
		{"settled", 2000, base, true, true},
		{"before the interval", 6999, base, true, false},
		{"after the interval", 7000, base, true, true},
	}
	for _, c := range cases {
		if got := book.isDue(start.Add(time.Duration(c.ms)*time.Millisecond), "e2", c.status, c.unasked); got != c.want {
			t.Errorf("%s: due %v, want %v", c.name, got, c.want)
		}
	}
	book.forget("e2")
	if !book.isDue(start.Add(7*time.Second), "e2", base, true) {
		t.Error("no status on a new connection")
	}
}
