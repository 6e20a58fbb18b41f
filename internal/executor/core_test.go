package executor

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

var begin = time.UnixMilli(1_800_000_000_000)

// rig is a Core with a connected entry host "e" and a valid permit.
type rig struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newRig(t *testing.T, config Config) *rig {
	config.ID, config.Incarnation, config.Started = "a", 1, begin.Add(-time.Hour)
	r := &rig{t: t, core: New(config), now: begin}
	r.step(AssignmentUpdate{Assignment: wire.Assignment{Version: 1, Ranges: []wire.HomeRange{{Home: "a", Incarnation: 1}}}})
	r.now = r.now.Add(10 * time.Second)
	r.step(PermitGranted{Assignment: 1, ValidUntil: r.now.Add(time.Hour)})
	r.step(LinkUp{Entry: "e", Incarnation: 1, Connection: 1})
	return r
}

// step passes an input to the core and returns a short text of its actions.
func (r *rig) step(in Input) string {
	var out []string
	for _, action := range r.core.Step(r.now, in) {
		switch action := action.(type) {
		case StartBackend:
			out = append(out, "start")
		case ReadyToStop:
			out = append(out, "ready")
		case Send:
			out = append(out, short(action.Message))
		}
	}
	return strings.Join(out, " ")
}

func short(m wire.Message) string {
	switch m := m.(type) {
	case *wire.LookupReply:
		return fmt.Sprintf("state %d", m.State)
	case *wire.ClaimReply:
		return fmt.Sprintf("claim granted=%v state %d", m.Granted, m.State)
	case *wire.AnswerPart:
		return fmt.Sprintf("part %d/%d", m.Part+1, m.Parts)
	case *wire.Credit:
		return fmt.Sprintf("credit %d", m.Slots)
	case *wire.Leaving:
		return "leaving"
	default:
		return fmt.Sprintf("%T", m)
	}
}

func (r *rig) receive(m wire.Message) string {
	return r.step(Receive{From: "e", Connection: 1, Message: m})
}

func (r *rig) id(n int) model.RequestID {
	ms := r.now.UnixMilli()
	return model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n))
}

func (r *rig) dispatch(n int) *wire.Dispatch {
	return &wire.Dispatch{
		Request: r.id(n), BodyHash: 1, Slots: 1, DeadlineUnixMS: r.now.Add(time.Minute).UnixMilli(),
		Assignment: 1, Parts: 1, Body: []byte("b"), MakeClaim: true, Token: uint64(n + 1),
	}
}

func state(s wire.RequestState) string { return fmt.Sprintf("state %d", s) }

func TestDispatchRefusals(t *testing.T) {
	cases := []struct {
		name string
		put  func(r *rig, d *wire.Dispatch)
		want string
	}{
		{"accepted", func(*rig, *wire.Dispatch) {}, "start"},
		{"no permit, not idempotent", func(r *rig, _ *wire.Dispatch) { r.step(PermitRevoked{}) }, state(wire.StateRejected)},
		{"permit expired", func(r *rig, d *wire.Dispatch) {
			r.now = r.now.Add(2 * time.Hour)
			d.DeadlineUnixMS = r.now.Add(time.Minute).UnixMilli()
		}, state(wire.StateRejected)},
		{"no permit, idempotent and claimed elsewhere", func(r *rig, d *wire.Dispatch) {
			r.step(PermitRevoked{})
			d.Idempotent, d.MakeClaim = true, false
		}, "start"},
		{"no permit, claim to be made", func(r *rig, d *wire.Dispatch) {
			r.step(PermitRevoked{})
			d.Idempotent = true
		}, state(wire.StateClaimed)},
		{"zone out", func(r *rig, d *wire.Dispatch) {
			d.Idempotent = true
			r.step(PermitGranted{Assignment: 1, ValidUntil: r.now.Add(time.Hour), ZoneOut: true})
		}, state(wire.StateRejected)},
		{"older permit does not replace", func(r *rig, _ *wire.Dispatch) {
			r.step(PermitGranted{Assignment: 0, ValidUntil: r.now, ZoneOut: true})
		}, "start"},
		{"deadline passed", func(r *rig, d *wire.Dispatch) { d.DeadlineUnixMS = r.now.UnixMilli() }, state(wire.StateRejected)},
		{"more slots than configured", func(_ *rig, d *wire.Dispatch) { d.Slots = 9 }, state(wire.StateRejected)},
		{"leaving", func(r *rig, _ *wire.Dispatch) { r.step(Stop{}) }, state(wire.StateRejected)},
		{"body too large", func(_ *rig, d *wire.Dispatch) { d.Body = make([]byte, 2048) }, state(wire.StateRejected)},
		{"other assignment", func(_ *rig, d *wire.Dispatch) { d.Assignment = 2 }, state(wire.StateClaimed)},
		{"outside the horizon", func(r *rig, _ *wire.Dispatch) {
			r.now = r.now.Add(6 * time.Minute)
			r.step(Tick{})
		}, state(wire.StateOutsideHorizon)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, Config{MaxBodyBytes: 1024})
			d := r.dispatch(1)
			c.put(r, d)
			if c.name == "outside the horizon" {
				d.DeadlineUnixMS = r.now.Add(time.Minute).UnixMilli()
			}
			if got := r.receive(d); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestRequestIsStartedOnce(t *testing.T) {
	r := newRig(t, Config{})
	d := r.dispatch(1)
	script := []struct {
		in   Input
		want string
	}{
		{Receive{"e", 1, d}, "start"},
		{Receive{"e", 1, d}, state(wire.StateRunning)},
		{Receive{"e", 2, d}, ""},
		{LinkDown{"e", 1}, ""},
		{LinkUp{"e", 1, 2}, "credit 8"},
		{Receive{"e", 1, d}, ""},
		{Receive{"e", 2, d}, state(wire.StateRunning)},
		{BackendDone{Request: d.Request, Result: BackendAnswered, Body: make([]byte, wire.MaxPartBytes+1)}, "part 1/2 part 2/2"},
		{BackendDone{Request: d.Request, Result: BackendFailed}, ""},
		{Receive{"e", 2, d}, state(wire.StateFinished) + " part 1/2 part 2/2"},
		{Receive{"e", 2, &wire.Forget{Request: d.Request}}, ""},
		{Receive{"e", 2, &wire.Lookup{Request: d.Request, Seal: true}}, state(wire.StateExpired)},
	}
	for i, s := range script {
		if got := r.step(s.in); got != s.want {
			t.Fatalf("step %d %T: got %q, want %q", i, s.in, got, s.want)
		}
	}
	other := *d
	other.BodyHash = 2
	if got := r.step(Receive{"e", 2, &other}); got != state(wire.StateBodyMismatch) {
		t.Errorf("another body: %q", got)
	}
}

// TestRejectedAndSealedRequestsNeverRun guards against a late start of a
// rejected, sealed or unstarted request when its dispatch is repeated.
func TestRejectedAndSealedRequestsNeverRun(t *testing.T) {
	r := newRig(t, Config{})
	sealed, rejected, unstarted := r.dispatch(1), r.dispatch(2), r.dispatch(3)
	if got := r.receive(&wire.Lookup{Request: sealed.Request, Seal: true}); got != state(wire.StateSealed) {
		t.Fatalf("seal: %q", got)
	}
	rejected.Slots = 9
	r.receive(rejected)
	rejected.Slots = 1
	r.receive(unstarted)
	r.step(BackendDone{Request: unstarted.Request, Result: BackendNotStarted})
	for name, d := range map[string]*wire.Dispatch{"sealed": sealed, "rejected": rejected, "not started": unstarted} {
		if got := r.receive(d); strings.Contains(got, "start") {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// TestRestartedAgentCannotKnowOlderRequests guards against a restarted agent that
// seals a request which its previous incarnation may have run.
func TestRestartedAgentCannotKnowOlderRequests(t *testing.T) {
	r := newRig(t, Config{})
	id := r.id(1)
	core := New(Config{ID: "a", Incarnation: 2, Started: r.now.Add(time.Second)})
	r.core = core
	r.now = r.now.Add(2 * time.Second)
	r.step(LinkUp{Entry: "e", Incarnation: 1, Connection: 1})
	if got := r.receive(&wire.Lookup{Request: id, Seal: true}); got != state(wire.StateOutsideHorizon) {
		t.Errorf("got %q", got)
	}
}

func TestClaimsOfTheHome(t *testing.T) {
	r := newRig(t, Config{})
	id := r.id(1)
	claim := func(token uint64, change func(c *wire.Claim)) *wire.Claim {
		c := &wire.Claim{Request: id, BodyHash: 1, Executor: "x", Assignment: 1, Token: token}
		change(c)
		return c
	}
	plain := func(*wire.Claim) {}
	granted, refused := "claim granted=true state 2", "claim granted=false state 2"
	script := []struct {
		name  string
		claim *wire.Claim
		want  string
	}{
		{"read before any claim", claim(1, func(c *wire.Claim) { c.ReadOnly = true }), "claim granted=false state 1"},
		{"first", claim(2, plain), granted},
		{"sent again", claim(2, plain), granted},
		{"second", claim(3, plain), refused},
		{"moved from another claim", claim(4, func(c *wire.Claim) { c.Move = wire.ClaimRef{Claimant: "f", Token: 2} }), refused},
		{"moved", claim(5, func(c *wire.Claim) { c.Move = wire.ClaimRef{Claimant: "e", Token: 2} }), granted},
		{"moved twice", claim(6, func(c *wire.Claim) { c.Move = wire.ClaimRef{Claimant: "e", Token: 2} }), refused},
		{"other body", claim(7, func(c *wire.Claim) { c.BodyHash = 9 }), "claim granted=false state 9"},
		{"sealed without the claim", claim(8, func(c *wire.Claim) { c.SealOnly = true }), refused},
		{"sealed", claim(9, func(c *wire.Claim) {
			c.SealOnly = true
			c.Move = wire.ClaimRef{Claimant: "e", Token: 5}
		}), "claim granted=true state 6"},
		{"claimed after the seal", claim(10, func(c *wire.Claim) { c.Move = wire.ClaimRef{Claimant: "e", Token: 9} }),
			"claim granted=false state 6"},
		{"other assignment", claim(11, func(c *wire.Claim) { c.Assignment = 2 }), "claim granted=false state 8"},
	}
	for _, s := range script {
		if got := r.receive(s.claim); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
	}
}

func TestBodyPartsAreJoinedInOrderOnly(t *testing.T) {
	r := newRig(t, Config{})
	part := func(n int, text string) *wire.Dispatch {
		d := r.dispatch(1)
		d.Part, d.Parts, d.Body = n, 3, []byte(text)
		return d
	}
	for i, d := range []*wire.Dispatch{part(1, "x"), part(0, "a"), part(2, "c"), part(0, "a"), part(1, "b")} {
		if got := r.receive(d); got != "" {
			t.Fatalf("part %d: %q", i, got)
		}
	}
	for _, action := range r.core.Step(r.now, Receive{From: "e", Connection: 1, Message: part(2, "c")}) {
		if start, ok := action.(StartBackend); ok && bytes.Equal(start.Request.Body, []byte("abc")) {
			return
		}
	}
	t.Error("the request with the complete body was not started")
}

func TestKeptAnswersAreBounded(t *testing.T) {
	r := newRig(t, Config{MaxAnswerBytes: 4 * (1000 + answerOverhead), AnswerTTL: time.Minute})
	for n := range 10 {
		r.receive(r.dispatch(n))
		r.step(BackendDone{Request: r.id(n), Result: BackendAnswered, Body: make([]byte, 1000)})
	}
	if got := r.core.Stats(); got.KeptAnswers != 4 || got.KeptAnswerBytes > 4*(1000+answerOverhead) {
		t.Errorf("got %+v", got)
	}
	if got := r.receive(&wire.Lookup{Request: r.id(0)}); got != state(wire.StateExpired) {
		t.Errorf("the oldest answer: %q", got)
	}
	r.now = r.now.Add(time.Minute)
	r.step(Tick{})
	if got := r.core.Stats().KeptAnswers; got != 0 {
		t.Errorf("%d answers kept after their TTL", got)
	}
}

func TestLeavingAgentFinishesItsWork(t *testing.T) {
	r := newRig(t, Config{})
	d := r.dispatch(1)
	r.receive(d)
	if got := r.step(Stop{}); got != "leaving credit 0" {
		t.Errorf("stop: %q", got)
	}
	r.now = r.now.Add(5 * time.Second)
	if got := r.step(Tick{}); got != "" {
		t.Errorf("while a request runs: %q", got)
	}
	r.step(BackendDone{Request: d.Request, Result: BackendAnswered})
	r.step(AssignmentUpdate{Assignment: wire.Assignment{Version: 2, Ranges: []wire.HomeRange{{Home: "b", Incarnation: 1}}}})
	if got := r.step(Tick{}); got != "ready" {
		t.Errorf("after the last request ended: %q", got)
	}
}

func TestCreditsFollowDemand(t *testing.T) {
	r := newRig(t, Config{})
	r.step(LinkUp{Entry: "f", Incarnation: 1, Connection: 2})
	settle := func() {
		r.now = r.now.Add(creditSettle)
		r.step(Tick{})
	}
	credits := func() [2]int { return [2]int{r.core.links["e"].sent.Slots, r.core.links["f"].sent.Slots} }
	settle()
	if got := credits(); got != [2]int{4, 4} {
		t.Errorf("without demand: %v", got)
	}
	r.step(Receive{"f", 2, &wire.Demand{Seq: 1, Slots: 8}})
	settle()
	if got := credits(); got != [2]int{1, 7} {
		t.Errorf("with demand of one entry host: %v", got)
	}
	r.step(Receive{"e", 1, &wire.Demand{Seq: 1, Slots: 8, Largest: 6}})
	settle()
	if got := credits(); got[0] < 6 || got[0]+got[1] > 8 {
		t.Errorf("with a large request: %v", got)
	}
}

func BenchmarkDispatchAndAnswer(b *testing.B) {
	r := newRig(&testing.T{}, Config{})
	d := r.dispatch(0)
	base := *d
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		next := base
		next.Request, next.Token = r.id(n), uint64(n+1)
		r.core.Step(r.now, Receive{From: "e", Connection: 1, Message: &next})
		r.core.Step(r.now, BackendDone{Request: next.Request, Result: BackendAnswered, Status: 200})
	}
}
