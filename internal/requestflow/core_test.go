package requestflow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

var startTime = time.UnixMilli(1_800_000_000_000)

// rig is one core that is connected to agent "a", the home of every request, and to
// agent "b".
type rig struct {
	core   *Core
	now    time.Time
	caller Caller
}

func newRig(config Config) *rig {
	config.Entry, config.Incarnation = "e", 1
	r := &rig{core: New(config), now: startTime}
	for _, id := range []model.BackendServerID{"a", "b"} {
		r.step(LinkUp{Backend: model.BackendServer{ID: id, Slots: 8, Connections: 64}, Incarnation: 1, Connection: 1})
		r.step(Receive{From: id, Connection: 1, Message: &wire.Credit{Seq: 1, Slots: 8, Connections: 64}})
	}
	ranges := []wire.HomeRange{{Home: "a", Incarnation: 1}}
	r.step(AssignmentUpdate{Assignment: wire.Assignment{Version: 1, Ranges: ranges}})
	r.step(ConfigUpdate{Document: &model.ConfigDocument{Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{
		"x": {ID: "x", Weight: 1, MaxQueued: 2},
	}}})
	return r
}

// step passes an input to the core and returns the actions in short form.
func (r *rig) step(in Input) string {
	var out []string
	for _, action := range r.core.Step(r.now, in) {
		switch action := action.(type) {
		case Send:
			out = append(out, shortMessage(action))
		case Finish:
			out = append(out, fmt.Sprintf("%s %s x%d", action.Outcome.Kind, action.Outcome.Reason, len(action.Callers)))
		case QueryResult:
			out = append(out, fmt.Sprintf("query %d %s", action.State, action.Outcome.Kind))
		case ReadyToStop:
			out = append(out, "ready")
		}
	}
	return strings.Join(out, ", ")
}

func shortMessage(s Send) string {
	switch m := s.Message.(type) {
	case *wire.Claim:
		return fmt.Sprintf("%s: claim seal=%v read=%v", s.To, m.SealOnly, m.ReadOnly)
	case *wire.Dispatch:
		return fmt.Sprintf("%s: dispatch %d/%d", s.To, m.Part+1, m.Parts)
	case *wire.Lookup:
		return fmt.Sprintf("%s: look up seal=%v", s.To, m.Seal)
	default:
		return fmt.Sprintf("%s: %T", s.To, m)
	}
}

func (r *rig) id(n int) model.RequestID {
	ms := startTime.UnixMilli()
	return model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n))
}

func (r *rig) submit(n int, change func(*model.Request)) string {
	r.caller++
	request := model.Request{ID: r.id(n), Account: "x", BodyHash: 1, Deadline: r.now.Add(time.Second), Body: []byte("b")}
	change(&request)
	return r.step(Submit{Request: request, Caller: r.caller})
}

func (r *rig) from(agent model.BackendServerID, m wire.Message) string {
	return r.step(Receive{From: agent, Connection: 1, Message: m})
}

func unmodified(*model.Request) {}

func TestBadInputIsRefusedAndChangesNothing(t *testing.T) {
	cases := []struct {
		name   string
		change func(*model.Request)
		want   string
	}{
		{"not a UUIDv7", func(r *model.Request) { r.ID = "x" }, "refused invalid_request_id x1"},
		{"unknown account", func(r *model.Request) { r.Account = "y" }, "refused unknown_client_account x1"},
		{"minted in the future", func(r *model.Request) { r.ID = "01a3185c-7792-7242-802c-000000000002" },
			"refused request_id_outside_horizon x1"},
	}
	for _, c := range cases {
		r := newRig(Config{})
		r.now = startTime.Add(-time.Hour)
		if c.name != "minted in the future" {
			r.now = startTime
		}
		if got := r.submit(1, c.change); got != c.want {
			t.Errorf("%s: %q", c.name, got)
		}
		if got := r.core.Stats(); got.Requests != 0 || got.Queued != 0 {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

func TestSameIDOnOneEntryHost(t *testing.T) {
	r := newRig(Config{MaxCallers: 2})
	if got := r.submit(1, unmodified); got != "a: dispatch 1/1" {
		t.Fatalf("first: %q", got)
	}
	if got := r.submit(1, unmodified); got != "" {
		t.Errorf("second caller: %q", got)
	}
	if got := r.submit(1, func(m *model.Request) { m.BodyHash = 2 }); got != "refused request_id_body_mismatch x1" {
		t.Errorf("other body: %q", got)
	}
	if got := r.submit(1, unmodified); got != "unknown too_many_callers x1" {
		t.Errorf("third caller: %q", got)
	}
	if got := r.from("a", &wire.AnswerPart{Request: r.id(1), Parts: 1, Total: 1, Body: []byte("z")}); got != "answered  x2" {
		t.Errorf("answer: %q", got)
	}
}

func TestRefusalsAreSealedAtTheHome(t *testing.T) {
	sealed := func(r *rig, state wire.RequestState, mayHaveRun bool) string {
		return r.from("a", &wire.ClaimReply{Request: r.id(9), State: state, MayHaveRun: mayHaveRun, Token: r.core.lastToken, Executor: "b"})
	}
	cases := []struct {
		name string
		then func(r *rig) string
		want string
	}{
		{"sealed", func(r *rig) string { return sealed(r, wire.StateSealed, false) }, "not_run entry_stopping x1, ready"},
		{"may have run", func(r *rig) string { return sealed(r, wire.StateSealed, true) }, "unknown entry_stopping x1, ready"},
		{"cannot know", func(r *rig) string { return sealed(r, wire.StateOutsideHorizon, false) }, "unknown entry_stopping x1, ready"},
		{"runs elsewhere", func(r *rig) string { return sealed(r, wire.StateClaimed, false) }, "b: look up seal=true"},
		{"no reply", func(r *rig) string {
			r.now = r.now.Add(r.core.config.SealTimeout)
			return r.step(Tick{})
		}, "unknown entry_stopping x1, ready"},
		{"home lost", func(r *rig) string {
			r.step(LinkDown{Backend: "a", Connection: 1})
			r.now = r.now.Add(r.core.config.ClaimTimeout)
			return r.step(Tick{})
		}, "unknown entry_stopping x1, ready"},
	}
	for _, c := range cases {
		r := newRig(Config{})
		r.submit(1, unmodified)
		r.step(Stop{})
		if got := r.submit(9, unmodified); got != "a: claim seal=true read=false" {
			t.Fatalf("%s: %q", c.name, got)
		}
		r.from("a", &wire.AnswerPart{Request: r.id(1), Parts: 1})
		if got := c.then(r); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestOnlyTheWholeOwnAnswerIsReleased(t *testing.T) {
	part := func(n, parts, total int, body string) *wire.AnswerPart {
		return &wire.AnswerPart{Part: n, Parts: parts, Total: total, Status: 200, Body: []byte(body)}
	}
	cases := []struct {
		name  string
		parts []*wire.AnswerPart
		want  string
	}{
		{"in order", []*wire.AnswerPart{part(0, 2, 4, "ab"), part(1, 2, 4, "cd")}, "abcd"},
		{"out of order", []*wire.AnswerPart{part(1, 2, 4, "cd"), part(0, 2, 4, "ab")}, "abcd"},
		{"twice", []*wire.AnswerPart{part(0, 2, 4, "ab"), part(0, 2, 4, "ab"), part(1, 2, 4, "cd")}, "abcd"},
		{"empty", []*wire.AnswerPart{part(0, 1, 0, "")}, ""},
		{"one missing", []*wire.AnswerPart{part(0, 2, 4, "ab"), part(0, 2, 4, "ab")}, "-"},
		{"too short", []*wire.AnswerPart{part(0, 2, 5, "ab"), part(1, 2, 5, "cd")}, "-"},
		{"of two answers", []*wire.AnswerPart{part(0, 2, 4, "ab"), part(1, 2, 6, "cdef")}, "-"},
		{"part out of range", []*wire.AnswerPart{part(2, 2, 4, "ab"), part(-1, 2, 4, "ab")}, "-"},
		{"too large", []*wire.AnswerPart{part(0, 1, 2000, strings.Repeat("x", 2000))}, "-"},
		{"more parts than bytes", []*wire.AnswerPart{part(0, 1<<30, 4, "ab")}, "-"},
	}
	for _, c := range cases {
		a, got := answerAssembly{}, "-"
		for _, p := range c.parts {
			if a.add(p, 1000) {
				got = string(a.body())
			}
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestPartsOfOtherConnectionsAreIgnored guards against an answer that is assembled
// from parts of an earlier connection or of another agent.
func TestPartsOfOtherConnectionsAreIgnored(t *testing.T) {
	r := newRig(Config{})
	r.submit(1, unmodified)
	answer := &wire.AnswerPart{Request: r.id(1), Parts: 1, Total: 1, Body: []byte("z")}
	if got := r.from("b", answer); got != "" {
		t.Errorf("other agent: %q", got)
	}
	up := LinkUp{Backend: model.BackendServer{ID: "a", Slots: 8, Connections: 64}, Incarnation: 1, Connection: 2}
	if got := r.step(up); got != "a: look up seal=true" {
		t.Errorf("new connection: %q", got)
	}
	if got := r.from("a", answer); got != "" {
		t.Errorf("earlier connection: %q", got)
	}
	if got := r.step(Receive{From: "a", Connection: 2, Message: answer}); got != "answered  x1" {
		t.Errorf("current connection: %q", got)
	}
}

// TestExecutorThatRestarted checks that a non-idempotent request ends as unknown if
// its executor restarted, as the new incarnation cannot know whether it ran.
func TestExecutorThatRestarted(t *testing.T) {
	r := newRig(Config{})
	r.submit(1, unmodified)
	up := LinkUp{Backend: model.BackendServer{ID: "a", Slots: 8, Connections: 64}, Incarnation: 2, Connection: 2}
	if got := r.step(up); got != "unknown executor_lost x1" {
		t.Errorf("got %q", got)
	}
	if got := r.step(LinkUp{Backend: model.BackendServer{ID: "a"}, Incarnation: 1, Connection: 3}); got != "" {
		t.Errorf("an earlier incarnation connected: %q", got)
	}
}

func TestLargeBodyIsDispatchedInParts(t *testing.T) {
	r := newRig(Config{})
	got := r.submit(1, func(m *model.Request) { m.Body = make([]byte, 2*wire.MaxPartBytes+1) })
	if got != "a: dispatch 1/3, a: dispatch 2/3, a: dispatch 3/3" {
		t.Errorf("got %q", got)
	}
}

func TestCallerGone(t *testing.T) {
	r := newRig(Config{})
	for n := range 16 {
		r.submit(n, unmodified)
	}
	r.submit(16, unmodified)
	if got := r.core.Stats().Queued; got != 1 {
		t.Fatalf("%d queued", got)
	}
	r.step(CallerGone{Caller: 17})
	r.step(CallerGone{Caller: 1})
	if got := r.core.Stats(); got.Queued != 0 || got.Requests != 16 {
		t.Errorf("got %+v", got)
	}
	if got := r.from("a", &wire.AnswerPart{Request: r.id(0), Parts: 1}); strings.Contains(got, "answered") {
		t.Errorf("a caller that stopped waiting was answered: %q", got)
	}
}

func TestQuery(t *testing.T) {
	home := func(state wire.RequestState) *wire.ClaimReply {
		return &wire.ClaimReply{State: state, Executor: "b"}
	}
	cases := []struct {
		name  string
		claim *wire.ClaimReply
		reply wire.Message
		want  string
	}{
		{"never seen", home(wire.StateAbsent), nil, "query 1 invalid"},
		{"sealed", home(wire.StateSealed), nil, "query 6 not_run"},
		{"too old", home(wire.StateOutsideHorizon), nil, "query 7 unknown"},
		{"running", home(wire.StateClaimed), &wire.LookupReply{State: wire.StateRunning}, "query 3 invalid"},
		{"answer expired", home(wire.StateClaimed), &wire.LookupReply{State: wire.StateExpired}, "query 5 unknown"},
		{"answered", home(wire.StateClaimed), &wire.AnswerPart{Parts: 1}, "query 4 answered"},
		{"failed", home(wire.StateClaimed), &wire.AnswerPart{Parts: 1, Failed: true}, "query 4 failed"},
	}
	for _, c := range cases {
		r := newRig(Config{})
		if got := r.step(Query{Request: r.id(1), Account: "x", Caller: 1}); got != "a: claim seal=false read=true" {
			t.Fatalf("%s: %q", c.name, got)
		}
		c.claim.Request, c.claim.Token = r.id(1), r.core.lastToken
		got := r.from("a", c.claim)
		if c.reply != nil {
			if got != "b: look up seal=false" {
				t.Errorf("%s: %q", c.name, got)
			}
			switch m := c.reply.(type) {
			case *wire.LookupReply:
				m.Request = r.id(1)
			case *wire.AnswerPart:
				m.Request = r.id(1)
			}
			got = r.from("b", c.reply)
		}
		if got != c.want || r.core.Stats().Requests != 0 {
			t.Errorf("%s: got %q, want %q; %+v", c.name, got, c.want, r.core.Stats())
		}
	}
	r := newRig(Config{})
	r.step(Query{Request: r.id(1), Account: "x", Caller: 1})
	r.now = r.now.Add(queryTimeout)
	if got := r.step(Tick{}); !strings.HasPrefix(got, "query 7 unknown") {
		t.Errorf("no reply: %q", got)
	}
}
