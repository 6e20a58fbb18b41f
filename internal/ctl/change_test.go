package ctl

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
)

func TestZoneOutIsAcceptedUnderTheVersionThatWasRead(t *testing.T) {
	s := newConfigServer()
	s.document.ObjectVersions["zone/Caruaru"] = 7
	entry := startEntry(t, s.serve)
	runCtl(t, "", []string{entry.address}, "zone", "out", "Caruaru").expect(t, ExitDone, "accepted as version 1: zone/Caruaru: out")
	var sent model.ConfigChange
	if err := json.Unmarshal([]byte(entry.posts()[0]), &sent); err != nil {
		t.Fatal(err)
	}
	if sent.ExpectedVersion != 7 || sent.Operator != "ana" || sent.ID == "" || sent.Time.IsZero() {
		t.Errorf("sent %+v", sent)
	}
	runCtl(t, "", []string{entry.address}, "zone", "list").expect(t, ExitDone, "Caruaru out (version 1)")
	runCtl(t, "", []string{entry.address}, "--json", "zone", "list").expect(t, ExitDone, `"Caruaru": "out"`)
}

func TestALostRaceShowsTheWinner(t *testing.T) {
	s := newConfigServer()
	entry := startEntry(t, s.serve)
	runCtl(t, "", []string{entry.address}, "account", "set", "--weight", "3", "judges").expect(t, ExitDone, "version 1")
	r := runCtl(t, "", []string{entry.address}, "account", "set", "--weight", "5", "--expected-version", "0", "judges")
	r.expect(t, ExitConflict, `operator "ana" came first at 2026-12-04T12:00:00Z with version 1: account/judges: weight 3`)
	r = runCtl(t, "", []string{entry.address}, "account", "delete", "--expected-version", "9", "cooperatives")
	r.expect(t, ExitConflict, "the object does not have version 9; nothing changed")
}

// TestChangeFaults sends one change through entry hosts that fail in each way.
func TestChangeFaults(t *testing.T) {
	reply := func(status int, r operatorapi.ChangeReply) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			change, _ := operatorapi.DecodeChange(ctx.Request.Body())
			r.Change = change.ID
			answer(ctx, status, r)
		}
	}
	notAccepted := reply(503, operatorapi.ChangeReply{Status: operatorapi.ChangeNotAccepted, Sentence: "The table service is down.", RetryAfterMS: 2000})
	inDoubt := reply(504, operatorapi.ChangeReply{Status: operatorapi.ChangeInDoubt})
	notOwner := func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Retry-After", "1")
		answer(ctx, 503, operatorapi.ErrorBody{Code: "stopping", Sentence: "This entry host is stopping."})
	}
	noRoom := func(ctx *fasthttp.RequestCtx) {
		answer(ctx, 422, operatorapi.ErrorBody{Code: "guarantee_does_not_fit", Sentence: "No room."})
	}
	accept := func(s *configServer) fasthttp.RequestHandler { return s.serve }
	lose := func(s *configServer) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) { s.serve(ctx); ctx.Response.Reset(); dropConnection(ctx) }
	}
	plain := func(h fasthttp.RequestHandler) func(*configServer) fasthttp.RequestHandler {
		return func(*configServer) fasthttp.RequestHandler { return h }
	}
	cases := []struct {
		name     string
		handlers []func(*configServer) fasthttp.RequestHandler
		code     int
		text     string
		changes  int
	}{
		{"accepted by the first", []func(*configServer) fasthttp.RequestHandler{accept, accept}, ExitDone, "accepted", 1},
		{"not accepted by the first", []func(*configServer) fasthttp.RequestHandler{plain(notAccepted), accept}, ExitDone, "accepted", 1},
		{"stopping, then accepted", []func(*configServer) fasthttp.RequestHandler{plain(notOwner), accept}, ExitDone, "accepted", 1},
		{"not accepted by all", []func(*configServer) fasthttp.RequestHandler{plain(notAccepted), plain(notAccepted)}, ExitNotAccepted, "nothing changed: The table service is down. Come back in 2s.", 0},
		{"stopping all", []func(*configServer) fasthttp.RequestHandler{plain(notOwner)}, ExitNotAccepted, "stopping: This entry host is stopping. Come back in 1 s.", 0},
		{"answer lost, then found", []func(*configServer) fasthttp.RequestHandler{lose, accept}, ExitDone, "accepted as version 1", 1},
		{"answer lost, then not accepted", []func(*configServer) fasthttp.RequestHandler{lose, plain(notAccepted)}, ExitInDoubt, "is in doubt", 1},
		{"answer lost by all", []func(*configServer) fasthttp.RequestHandler{lose, lose}, ExitInDoubt, "is in doubt", 1},
		{"answer lost, then refused", []func(*configServer) fasthttp.RequestHandler{lose, plain(noRoom)}, ExitInDoubt, "may have taken effect", 1},
		{"in doubt for ever", []func(*configServer) fasthttp.RequestHandler{plain(inDoubt)}, ExitInDoubt, "is in doubt", 0},
		{"refused", []func(*configServer) fasthttp.RequestHandler{plain(noRoom), accept}, ExitRefused, "guarantee_does_not_fit: No room.", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newConfigServer()
			var entries []string
			for _, make := range c.handlers {
				handler := make(s)
				entries = append(entries, startEntry(t, func(ctx *fasthttp.RequestCtx) {
					if ctx.IsGet() {
						s.serve(ctx)
						return
					}
					handler(ctx)
				}).address)
			}
			r := runCtl(t, "", entries, "zone", "out", "Caruaru")
			r.expect(t, c.code, c.text)
			if s.changes() != c.changes {
				t.Errorf("%d changes took effect, want %d", s.changes(), c.changes)
			}
			if r.slept > 10*time.Second {
				t.Errorf("pursued for %s", r.slept)
			}
		})
	}
}

func TestAChangeInDoubtIsPursuedUnderItsID(t *testing.T) {
	s := newConfigServer()
	doubts := 3
	entry := startEntry(t, func(ctx *fasthttp.RequestCtx) {
		if ctx.IsPost() && doubts > 0 {
			doubts--
			answer(ctx, 504, operatorapi.ChangeReply{Status: operatorapi.ChangeInDoubt})
			return
		}
		s.serve(ctx)
	})
	runCtl(t, "", []string{entry.address}, "zone", "in", "Quixada").expect(t, ExitDone, "accepted")
	posts := entry.posts()
	if len(posts) != 4 {
		t.Fatalf("got %d attempts", len(posts))
	}
	for _, body := range posts {
		if body != posts[0] {
			t.Errorf("attempts differ: %s and %s", body, posts[0])
		}
	}
}

func TestADeadEntryHostIsPassedOver(t *testing.T) {
	entry := startEntry(t, newConfigServer().serve)
	runCtl(t, "", []string{closedAddress, entry.address}, "zone", "out", "Caruaru").expect(t, ExitDone, "accepted")
	runCtl(t, "", []string{closedAddress}, "zone", "out", "--expected-version", "0", "Caruaru").expect(t, ExitNotAccepted, "nothing changed: no entry host answered")
}

func TestBadInputIsRefusedBeforeAnyCall(t *testing.T) {
	entry := startEntry(t, newConfigServer().serve)
	for _, args := range [][]string{
		{"account", "set", "--weight", "0", "--expected-version", "0", "a"},
		{"account", "set"},
		{"zone", "out"},
		{"zone", "out", "--expected-version", "0", "a/b"},
		{"guarantee", "set", "--account", "a", "--tasks", "300", "--expected-version", "0", "g"},
		{"guarantee", "set", "g"},
		{"config", "set", "no-such-file.yaml"},
		{"job", "cancel"},
		{"job", "submit", "--account", "a", "--run-time", "0s"},
		{"job", "submit", "--account", "a", "--topology", "moon"},
		{"request", "send", "--account", "a", "--body", "x", "--body-file", "y"},
		{"questionnaire", "--answers", "no-such-file.yaml"},
		{"zone", "--colour"},
	} {
		if r := runCtl(t, "", []string{entry.address}, args...); r.code != ExitUsage || r.errOut == "" {
			t.Errorf("%v: got %+v", args, r)
		}
	}
	if posts := entry.posts(); len(posts) != 0 {
		t.Errorf("calls were made: %v", posts)
	}
}

// TestQuestionnaireLeadsToAnAcceptedConfiguration runs the way of a new team
// for both regions.
func TestQuestionnaireLeadsToAnAcceptedConfiguration(t *testing.T) {
	for _, region := range []string{"nordeste", "kyushu"} {
		t.Run(region, func(t *testing.T) {
			s := newConfigServer()
			entries := []string{startEntry(t, s.serve).address}
			file := t.TempDir() + "/config.yaml"
			answers := "../../samples/answers-" + region + ".yaml"
			runCtl(t, "", nil, "questionnaire", "--answers", answers, "--output", file).expect(t, ExitDone, "config set")
			runCtl(t, "", entries, "config", "set", "--dry-run", file).expect(t, ExitDone, "would set account/")
			if s.changes() != 0 {
				t.Error("a dry run changed something")
			}
			runCtl(t, "", entries, "config", "set", file).expect(t, ExitDone, "accepted")
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !s.holds(t, file, data) {
				t.Errorf("got %+v", s.document)
			}
			runCtl(t, "", entries, "config", "set", file).expect(t, ExitDone, "nothing to change")
			got := runCtl(t, "", entries, "config", "get")
			if got.code != ExitDone || !s.holds(t, "get.yaml", []byte(got.out)) {
				t.Errorf("got %+v", got)
			}
			runCtl(t, "", entries, "config", "history").expect(t, ExitDone, "kept from version 1 on")
			runCtl(t, "", entries, "account", "list").expect(t, ExitDone, "weight 4 max_queued 400")
			runCtl(t, "", entries, "guarantee", "list").expect(t, ExitDone, "topology rack")
		})
	}
}

func TestQuestionnaireRefusesContradictions(t *testing.T) {
	data, err := os.ReadFile("../../samples/answers-nordeste.yaml")
	if err != nil {
		t.Fatal(err)
	}
	file := t.TempDir() + "/answers.yaml"
	text := strings.Replace(string(data), "needed_within: 2h", "needed_within: 10m", 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	runCtl(t, "", nil, "questionnaire", "--answers", file).expect(t, ExitRefused, "work that runs for 40m0s cannot be done within 10m0s")
	runCtl(t, "nordeste\n", nil, "questionnaire").expect(t, ExitUsage, "the input ended")
}
