package schedulerhost

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/interference"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// evidence returns the stored form of one pair with some evidence.
func evidence(nowMS int64) interference.State {
	m := interference.New()
	victim, neighbour := m.Index(nowMS, "index"), m.Index(nowMS, "scan")
	var run interference.Trace
	for s := range int64(10) {
		sample := interference.Sample{SentMS: nowMS + 1000*s, Percent: int(10 * s)}
		if s >= 5 {
			sample.Neighbours = interference.Set(0).With(neighbour)
		}
		run.Observe(m, sample)
	}
	m.Learn(nowMS, victim, &run)
	return m.State()
}

// Guards against an operator's view that fails where nothing was learned, or on the row of
// another writer, and against a scheduler that does not start because of such a row.
func TestDisturbancesAreServedFromTheRow(t *testing.T) {
	nowMS := time.Now().UnixMilli()
	for _, c := range []struct {
		name          string
		row           any
		status, pairs int
	}{
		{"no row", nil, fasthttp.StatusOK, 0},
		{"evidence", &dispatch.Learned{AsOfMS: nowMS, Interference: evidence(nowMS)}, fasthttp.StatusOK, 1},
		{"malformed row", 7, fasthttp.StatusServiceUnavailable, 0},
		{"malformed evidence", &dispatch.Learned{Interference: interference.State{Kinds: make([]interference.KindState, 2)}}, fasthttp.StatusServiceUnavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := standin.NewStore(time.Now)
			if c.row != nil {
				put(t, store, workload.KeyLearned, c.row)
			}
			s := testSession(t, store)
			var ctx fasthttp.RequestCtx
			s.host.AnswerDisturbances(&ctx)
			var report interference.Report
			if ctx.Response.StatusCode() == fasthttp.StatusOK {
				if err := json.Unmarshal(ctx.Response.Body(), &report); err != nil {
					t.Fatal(err)
				}
			}
			if ctx.Response.StatusCode() != c.status || len(report.Pairs) != c.pairs {
				t.Errorf("status %d with %d pairs, want %d with %d", ctx.Response.StatusCode(), len(report.Pairs), c.status, c.pairs)
			}
			if _, err := s.load(t.Context()); err != nil {
				t.Errorf("the scheduler does not load: %v", err)
			}
		})
	}
}

// Guards against a setting that has no effect on the deployed scheduler.
func TestSeparationFollowsTheSetting(t *testing.T) {
	var store storeapi.Store = standin.NewStore(time.Now)
	h := testSession(t, store).host
	for _, on := range []bool{false, true} {
		h.Dispatch.SeparateDisturbing = on
		report, err := h.disturbances()
		if got := newSession(h, 2).core.Separates(); got != on || report.SeparationOn != on || err != nil {
			t.Errorf("separates %v, reports %v, error %v; want %v", got, report.SeparationOn, err, on)
		}
	}
}
