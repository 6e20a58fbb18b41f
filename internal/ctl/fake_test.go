package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/configfile"
	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
)

// fakeEntry is an entry host that answers with a handler and keeps its calls.
// Calls are handled one at a time, under the lock.
type fakeEntry struct {
	address string
	mu      sync.Mutex
	calls   []string
	bodies  []string
}

func startEntry(t *testing.T, handler fasthttp.RequestHandler) *fakeEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeEntry{address: listener.Addr().String()}
	server := httpserver.New(&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls = append(f.calls, string(ctx.Method())+" "+string(ctx.RequestURI()))
		f.bodies = append(f.bodies, string(ctx.Request.Body()))
		handler(ctx)
	}}, listener)
	done := make(chan error, 1)
	go func() { done <- server.Serve() }()
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		<-done
	})
	return f
}

// seen returns the calls so far and their bodies. What the handler wrote before
// may be read afterwards.
func (f *fakeEntry) seen() (calls, bodies []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls), slices.Clone(f.bodies)
}

// posts returns the bodies of the POST calls.
func (f *fakeEntry) posts() []string {
	calls, bodies := f.seen()
	var out []string
	for i, c := range calls {
		if strings.HasPrefix(c, fasthttp.MethodPost) {
			out = append(out, bodies[i])
		}
	}
	return out
}

func answer(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

// dropConnection closes the connection without an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// closedAddress is an address on which nothing listens. A port that was free a
// moment ago may be given to another test process.
const closedAddress = "127.0.0.1:1"

// lastID numbers the IDs of all command lines.
var lastID atomic.Uint64

// run is the result of one command line.
type run struct {
	code        int
	out, errOut string
	slept       time.Duration
}

// runCtl runs a command line under a clock that only sleeping moves.
func runCtl(t *testing.T, input string, entries []string, args ...string) run {
	t.Helper()
	var out, errOut bytes.Buffer
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	start := now
	env := Environment{
		In: strings.NewReader(input), Out: &out, Err: &errOut,
		Now:   func() time.Time { return now },
		Sleep: func(_ context.Context, d time.Duration) { now = now.Add(d) },
		NewID: func() string { return fmt.Sprintf("0190a000-0000-7000-8000-%012d", lastID.Add(1)) },
	}
	line := []string{"dragonflyctl", "--operator", "ana"}
	for _, entry := range entries {
		line = append(line, "--entry", entry)
	}
	code := Run(context.Background(), env, append(line, args...))
	return run{code: code, out: out.String(), errOut: errOut.String(), slept: now.Sub(start)}
}

// expect checks the exit code and that a text was printed.
func (r run) expect(t *testing.T, code int, text string) {
	t.Helper()
	if r.code != code || !strings.Contains(r.out+r.errOut, text) {
		t.Errorf("got exit code %d, output %q, errors %q; want %d and %q", r.code, r.out, r.errOut, code, text)
	}
}

// configServer is an entry host that keeps a configuration.
type configServer struct {
	mu       sync.Mutex
	document model.ConfigDocument
	replies  map[model.ChangeID]operatorapi.ChangeReply
	history  []model.ConfigChange
}

func newConfigServer() *configServer {
	return &configServer{
		document: model.ConfigDocument{
			Accounts:       map[model.ClientAccountID]model.ClientAccount{},
			Guarantees:     map[string]model.GuaranteedShape{},
			Zones:          map[model.AvailabilityZoneName]model.ZoneState{},
			ObjectVersions: map[string]model.ConfigVersion{},
		},
		replies: map[model.ChangeID]operatorapi.ChangeReply{},
	}
}

func (s *configServer) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch string(ctx.Path()) {
	case operatorapi.PathConfig:
		answer(ctx, fasthttp.StatusOK, s.document)
	case operatorapi.PathConfigHistory:
		answer(ctx, fasthttp.StatusOK, operatorapi.History{Changes: s.history, Oldest: 1})
	case operatorapi.PathChanges:
		change, refused := operatorapi.DecodeChange(ctx.Request.Body())
		if refused != nil {
			answer(ctx, fasthttp.StatusBadRequest, operatorapi.ErrorBody{Code: refused.Code, Sentence: refused.Sentence})
			return
		}
		reply := s.apply(change)
		status := fasthttp.StatusOK
		if reply.Status == operatorapi.ChangeConflict {
			status = fasthttp.StatusConflict
		}
		answer(ctx, status, reply)
	default:
		answer(ctx, fasthttp.StatusNotFound, operatorapi.ErrorBody{Code: "no_such_path", Sentence: "There is nothing at this path."})
	}
}

func (s *configServer) apply(change model.ConfigChange) operatorapi.ChangeReply {
	if earlier, ok := s.replies[change.ID]; ok {
		return earlier
	}
	if s.document.ObjectVersions[change.Object] != change.ExpectedVersion {
		for _, winner := range s.history {
			if winner.Object == change.Object {
				return operatorapi.ChangeReply{Change: change.ID, Status: operatorapi.ChangeConflict, Winner: &winner}
			}
		}
		return operatorapi.ChangeReply{Change: change.ID, Status: operatorapi.ChangeConflict}
	}
	s.document.Version++
	change.Version = s.document.Version
	s.document.ObjectVersions[change.Object] = change.Version
	_, name, _ := strings.Cut(change.Object, "/")
	switch {
	case change.Delete:
		delete(s.document.Accounts, model.ClientAccountID(name))
		delete(s.document.Guarantees, name)
		delete(s.document.ObjectVersions, change.Object)
	case change.Account != nil:
		s.document.Accounts[change.Account.ID] = *change.Account
	case change.Guarantee != nil:
		s.document.Guarantees[name] = *change.Guarantee
	case change.Weights != nil:
		s.document.Weights = *change.Weights
	default:
		s.document.Zones[model.AvailabilityZoneName(name)] = change.Zone
	}
	s.history = append([]model.ConfigChange{change}, s.history...)
	reply := operatorapi.ChangeReply{Change: change.ID, Status: operatorapi.ChangeAccepted, Version: change.Version}
	s.replies[change.ID] = reply
	return reply
}

// changes returns how many changes took effect.
func (s *configServer) changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.history)
}

// holds reports whether the configuration is that of a file.
func (s *configServer) holds(t *testing.T, path string, data []byte) bool {
	t.Helper()
	wanted, err := configfile.Parse(path, data)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(configfile.Changes(&s.document, wanted, true)) == 0
}
