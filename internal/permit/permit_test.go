package permit

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

var start = time.Unix(1_000_000, 0)

// at returns the instant ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func readyIssuer(currentMS int) *Issuer {
	issuer := NewIssuer(DefaultLimits(), "e1")
	issuer.SetState(State{Ready: true, Config: 5, Assignment: 2, OwnerEpoch: 3, CurrentSince: at(currentMS)})
	others := []model.EntryID{"e2", "e3"}
	issuer.SetRoster(Roster{Others: others, ConfirmedAt: at(0), Listed: true, MayRely: true, RelyOn: others})
	return issuer
}

func TestPermitEndsWithinValidityOfTheRead(t *testing.T) {
	cases := []struct {
		name            string
		readMS, heardMS int
		validMS         int64
		reason          Reason
	}{
		{"read before the heartbeat", 100, 300, 2300, ReasonNone},
		{"read after the heartbeat", 500, 300, 2500, ReasonNone},
		{"read too old, roster silent", 0, 1300, 0, ReasonStale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			issuer := readyIssuer(c.readMS)
			got, reason := issuer.Issue(at(max(c.heardMS, c.readMS)), at(c.heardMS), 7, "z")
			if reason != c.reason || got.ValidMS != c.validMS {
				t.Errorf("got %+v, %q", got, reason)
			}
		})
	}
}

func TestIssuingInAnOutage(t *testing.T) {
	agree := wire.StoreStatus{Config: 5, Assignment: 2, Roster: []model.EntryID{"e1", "e2", "e3"}, Counts: true}
	with := func(change func(*wire.StoreStatus)) wire.StoreStatus {
		s := agree
		change(&s)
		return s
	}
	cases := []struct {
		name    string
		status  wire.StoreStatus
		silent  bool
		reason  Reason
		zoneOut bool
	}{
		{name: "all agree", status: agree},
		{name: "one silent", silent: true, reason: ReasonStale},
		{name: "one has an assignment in doubt", status: with(func(s *wire.StoreStatus) { s.InDoubt = true }), reason: ReasonInDoubt},
		{name: "one has a later configuration", status: with(func(s *wire.StoreStatus) { s.Config = 6 }), reason: ReasonBehind},
		{name: "one has an earlier configuration", status: with(func(s *wire.StoreStatus) { s.Config = 4 })},
		{name: "one has a later assignment", status: with(func(s *wire.StoreStatus) { s.Assignment = 3 }), reason: ReasonBehind},
		{name: "one knows a member that we do not", status: with(func(s *wire.StoreStatus) {
			s.Roster = []model.EntryID{"e1", "e2", "e3", "e4"}
		}), reason: ReasonBehind},
		{name: "one treats the zone as out", status: with(func(s *wire.StoreStatus) {
			s.ZonesOut = []model.AvailabilityZoneName{"z"}
		}), zoneOut: true},
		{name: "one treats another zone as out", status: with(func(s *wire.StoreStatus) {
			s.ZonesOut = []model.AvailabilityZoneName{"y"}
		})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			issuer := readyIssuer(0)
			for i, peer := range []model.EntryID{"e2", "e3"} {
				issuer.HeartbeatSent(at(9000+100*i), peer, 1)
				if peer == "e3" && c.silent {
					continue
				}
				status := agree
				if peer == "e3" {
					status = c.status
				}
				status.Seq = 1
				issuer.StatusReceived(peer, status)
			}
			got, reason := issuer.Issue(at(9500), at(9400), 7, "z")
			if reason != c.reason || got.ZoneOut != c.zoneOut {
				t.Fatalf("got %+v, %q; want reason %q, zone out %v", got, reason, c.reason, c.zoneOut)
			}
			if reason == ReasonNone && got.ValidMS != 2100 {
				t.Errorf("valid for %d ms, want 2100 ms, counted from the first heartbeat to a peer", got.ValidMS)
			}
		})
	}
}

func TestOutageModeEndsAtItsLimit(t *testing.T) {
	issuer := NewIssuer(DefaultLimits(), "e1")
	issuer.SetState(State{Ready: true, CurrentSince: at(0)})
	issuer.SetRoster(Roster{ConfirmedAt: at(0), Listed: true, MayRely: true})
	limit := DefaultLimits().OutageLimit
	if _, reason := issuer.Issue(start.Add(limit-1), start.Add(limit-1), 1, "z"); reason != ReasonNone {
		t.Errorf("before the limit: %q", reason)
	}
	if _, reason := issuer.Issue(start.Add(limit), start.Add(limit), 1, "z"); reason != ReasonStale {
		t.Errorf("at the limit: %q", reason)
	}
}

func TestHolder(t *testing.T) {
	valid := wire.Permit{Seq: 1, ValidMS: 2500, AnsweredHeartbeat: 1, Config: 5, OwnerEpoch: 3, Assignment: 2}
	with := func(change func(*wire.Permit)) wire.Permit {
		p := valid
		change(&p)
		return p
	}
	cases := []struct {
		name          string
		receive       func(h *Holder)
		atMS          int
		task, request Reason
	}{
		{"no permit", func(*Holder) {}, 0, ReasonNoPermit, ReasonNoPermit},
		{"valid", func(h *Holder) { h.Received(at(0), "e1", valid) }, 2499, ReasonNone, ReasonNone},
		{"ended", func(h *Holder) { h.Received(at(0), "e1", valid) }, 2500, ReasonNoPermit, ReasonNoPermit},
		{"received late", func(h *Holder) { h.Received(at(2000), "e1", valid) }, 2500, ReasonNoPermit, ReasonNoPermit},
		{"answers no heartbeat", func(h *Holder) {
			h.Received(at(0), "e1", with(func(p *wire.Permit) { p.AnsweredHeartbeat = 9 }))
		}, 10, ReasonNoPermit, ReasonNoPermit},
		{"on a lost connection", func(h *Holder) { h.Disconnected("e1"); h.Received(at(0), "e1", valid) }, 10, ReasonNoPermit, ReasonNoPermit},
		{"longer than the limit", func(h *Holder) {
			h.Received(at(0), "e1", with(func(p *wire.Permit) { p.ValidMS = 60000 }))
		}, 2600, ReasonNoPermit, ReasonNoPermit},
		{"older one arrives later", func(h *Holder) {
			h.Received(at(0), "e1", with(func(p *wire.Permit) { p.Seq, p.ZoneOut = 2, true }))
			h.Received(at(1), "e1", valid)
		}, 10, ReasonZoneOut, ReasonNone},
		{"another entry host treats the zone as out", func(h *Holder) {
			h.Received(at(0), "e1", valid)
			h.Received(at(0), "e2", with(func(p *wire.Permit) { p.ZoneOut = true }))
		}, 10, ReasonZoneOut, ReasonNone},
		{"another entry host treated the zone as out earlier", func(h *Holder) {
			h.Received(at(0), "e2", with(func(p *wire.Permit) { p.ZoneOut, p.Config = true, 4 }))
			h.Received(at(0), "e1", valid)
		}, 10, ReasonNone, ReasonNone},
		{"later configuration seen, zone in", func(h *Holder) { h.Received(at(0), "e1", valid); h.ObserveConfig(6, false) }, 10, ReasonNone, ReasonNone},
		{"later configuration seen, zone out", func(h *Holder) { h.Received(at(0), "e1", valid); h.ObserveConfig(6, true) }, 10, ReasonZoneOut, ReasonNone},
		{"later configuration seen in a permit, zone out", func(h *Holder) {
			h.Received(at(0), "e1", valid)
			h.Received(at(0), "e2", with(func(p *wire.Permit) { p.ZoneOut, p.Config = true, 6 }))
		}, 10, ReasonZoneOut, ReasonNone},
		{"zone out, then in, in later configurations", func(h *Holder) {
			h.Received(at(0), "e1", valid)
			h.ObserveConfig(6, true)
			h.ObserveConfig(7, false)
			h.ObserveConfig(6, true)
		}, 10, ReasonNone, ReasonNone},
		{"take-out seen as in doubt, resolved as not made", func(h *Holder) {
			h.Received(at(0), "e2", with(func(p *wire.Permit) { p.ZoneOut, p.Config = true, 6 }))
			h.Received(at(0), "e2", with(func(p *wire.Permit) { p.Seq, p.Config = 2, 6 }))
		}, 10, ReasonNone, ReasonNone},
		{"later assignment seen", func(h *Holder) { h.Received(at(0), "e1", valid); h.ObserveAssignment(3) }, 10, ReasonNone, ReasonNoPermit},
		{"permit of a later assignment, older claim", func(h *Holder) {
			h.Received(at(0), "e1", with(func(p *wire.Permit) { p.Assignment = 3 }))
		}, 10, ReasonNone, ReasonOtherAssignment},
		{"later epoch seen", func(h *Holder) { h.Received(at(0), "e1", valid); h.ObserveEpoch(4) }, 10, ReasonOldEpoch, ReasonNone},
		{"entry host restarted", func(h *Holder) {
			h.Received(at(0), "e1", with(func(p *wire.Permit) { p.Seq = 900 }))
			h.Disconnected("e1")
			h.HeartbeatSent(at(100), "e1", 1)
			h.Received(at(110), "e1", with(func(p *wire.Permit) { p.ZoneOut = true }))
		}, 200, ReasonZoneOut, ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := NewHolder(DefaultLimits())
			h.HeartbeatSent(at(0), "e1", 1)
			h.HeartbeatSent(at(0), "e2", 1)
			c.receive(h)
			if got := h.CheckTaskStart(at(c.atMS), 3); got != c.task {
				t.Errorf("task: got %q, want %q", got, c.task)
			}
			if got := h.CheckRequestStart(at(c.atMS), 2); got != c.request {
				t.Errorf("request: got %q, want %q", got, c.request)
			}
		})
	}
	h := NewHolder(DefaultLimits())
	h.HeartbeatSent(at(0), "e1", 1)
	h.Received(at(0), "e1", valid)
	if got := h.CheckRequestStart(at(1), 1); got != ReasonOtherAssignment {
		t.Errorf("claim under another assignment: got %q", got)
	}
}

// TestHolderForgetsEndedPermits guards against unbounded growth: a hundred entry
// hosts replace each other under new IDs, and expired permits must be removed.
func TestHolderForgetsEndedPermits(t *testing.T) {
	h := NewHolder(DefaultLimits())
	for i := range 100 {
		entry, now := model.EntryID(fmt.Sprint("e", i)), at(10_000*i)
		h.HeartbeatSent(now, entry, 1)
		h.Received(now, entry, wire.Permit{Seq: 1, ValidMS: 2500, AnsweredHeartbeat: 1})
		h.Disconnected(entry)
	}
	if kept := len(h.permits); kept != 1 {
		t.Errorf("holder keeps %d permits, want only the one that has not expired", kept)
	}
}
