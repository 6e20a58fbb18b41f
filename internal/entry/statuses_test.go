package entry

import (
	"testing"
	"time"

	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/permit"
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

func TestStatusIsAskedForBeforeAnythingRestsOnIt(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	limits := permit.DefaultLimits()
	beat := link.DefaultHeartbeat
	cases := []struct {
		name string
		host standing
		want bool
	}{
		{"read just now", standing{ready: true, established: true, currentSince: now}, false},
		{"not ready", standing{established: true, currentSince: now}, true},
		{"not established", standing{ready: true, currentSince: now}, true},
		{"one heartbeat and a tick before a permit rests on statuses", standing{
			ready: true, established: true, currentSince: ago(limits.Validity/2 - beat - 2*stateTick),
		}, true},
		{"lease renewed", standing{
			ready: true, established: true, currentSince: now, ownsUntil: now.Add(ownership.DefaultLimits().Duration),
		}, false},
		{"one heartbeat and a tick before an owner asks for the roster's agreement", standing{
			ready: true, established: true, currentSince: now, ownsUntil: now.Add(extendBefore + beat + stateTick),
		}, true},
		{"lease lapsed", standing{ready: true, established: true, currentSince: now, ownsUntil: ago(time.Second)}, true},
	}
	for _, c := range cases {
		if got := c.host.restsOnStatus(now); got != c.want {
			t.Errorf("%s: asked %v, want %v", c.name, got, c.want)
		}
	}
}
