package ctl

import (
	"testing"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/interference"
)

// Guards against a report that hides what is not certain, that the setting is off, or that
// no host answers.
func TestDisturbances(t *testing.T) {
	report := interference.Report{AgeMS: 4000, Pairs: []interference.Pair{
		{Victim: "index", Neighbour: "scan", Factor: 1.52, Low: 1.4, High: 1.66, Runs: 120, AgeMS: 61_000, Known: true},
		{Victim: "mail", Neighbour: "q:1/2/3", Factor: 1.01, Low: 0.9, High: 1.1, Runs: 7},
	}}
	entry := startEntry(t, func(ctx *fasthttp.RequestCtx) { answer(ctx, 200, report) })
	got := runCtl(t, "", nil, "disturbances", "--metrics", entry.address)
	got.expect(t, ExitDone, "index beside scan: 1.52 times as long (1.40 to 1.66), 120 runs, 1m1s old, kept apart")
	got.expect(t, ExitDone, "mail beside q:1/2/3: 1.01 times as long (0.90 to 1.10), 7 runs, 0s old, not certain")
	got.expect(t, ExitDone, "separate_disturbing_tasks is off")
	runCtl(t, "", nil, "--json", "disturbances", "--metrics", entry.address).expect(t, ExitDone, `"neighbour": "scan"`)
	if calls, _ := entry.seen(); calls[0] != "GET "+interference.ReportPath {
		t.Errorf("called %q", calls[0])
	}
	empty := startEntry(t, func(ctx *fasthttp.RequestCtx) { answer(ctx, 200, interference.Report{AgeMS: -1}) })
	runCtl(t, "", nil, "disturbances", "--metrics", empty.address).expect(t, ExitDone, "nothing is stored yet")
	away := startEntry(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusServiceUnavailable) })
	runCtl(t, "", nil, "disturbances", "--metrics", away.address).expect(t, ExitNotAccepted, "")
}
