package ctl

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/program"
)

var (
	runningJob = operatorapi.JobStatus{ID: "j1", Account: "judges", State: "running", Tasks: 2, Attempt: 1}
	waitingJob = operatorapi.JobStatus{ID: "j2", Account: "judges", State: "waiting", Waiting: "no room in a rack", Tasks: 3}
)

// serveJobs answers the calls about jobs like an entry host with two jobs.
func serveJobs(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == operatorapi.PathJobs && ctx.IsPost():
		request, _ := operatorapi.DecodeJob(ctx.Request.Body(), time.Time{})
		taken := runningJob
		taken.ID = request.ID
		answer(ctx, 200, operatorapi.JobReply{Job: taken})
	case path == operatorapi.PathJobs && string(ctx.QueryArgs().Peek("after")) == "j1":
		answer(ctx, 200, operatorapi.JobList{Jobs: []operatorapi.JobStatus{waitingJob}})
	case path == operatorapi.PathJobs:
		answer(ctx, 200, operatorapi.JobList{Jobs: []operatorapi.JobStatus{runningJob}, Next: "j1"})
	case path == operatorapi.PathJobsCancel:
		request, _ := operatorapi.DecodeCancel(ctx.Request.Body())
		results := map[model.JobID]string{}
		for _, id := range request.IDs {
			results[id] = operatorapi.CancelOrdered
		}
		answer(ctx, 200, operatorapi.CancelReply{Results: results})
	case path == operatorapi.PathJobs+"/j2"+operatorapi.ExplainSuffix:
		answer(ctx, 200, operatorapi.Explanation{Job: waitingJob, Lines: []string{"submitted", "no rack has 3 free workers"}})
	default:
		answer(ctx, 404, operatorapi.ErrorBody{Code: "unknown_job", Sentence: "There is no such job."})
	}
}

// submitted returns the last job that an entry host was sent.
func submitted(t *testing.T, entry *fakeEntry) operatorapi.JobRequest {
	t.Helper()
	posts := entry.posts()
	request, refused := operatorapi.DecodeJob([]byte(posts[len(posts)-1]), time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	if refused != nil {
		t.Fatal(refused)
	}
	return request
}

func TestJobSubmit(t *testing.T) {
	entry := startEntry(t, serveJobs)
	entries := []string{entry.address}
	runCtl(t, "", entries, "job", "submit", "--account", "judges", "--tasks", "2", "--topology", "rack", "--needed-within", "2h",
		"--guaranteed", "--urgent", "--checkpoint", "--class", "rind").expect(t, ExitDone, " account judges running tasks 2 attempt 1")
	want := time.Date(2026, 12, 4, 14, 0, 0, 0, time.UTC)
	got := submitted(t, entry)
	if got.ID == "" || !got.Deadline.Equal(want) || got.Capacity != model.CapacityGuaranteed || !got.Urgent || !got.CanCheckpoint {
		t.Errorf("submitted %+v", got)
	}
	file := t.TempDir() + "/job.yaml"
	text := "account: judges\nshape: {tasks: 2, topology: any, per_task: {accelerators: 1, cores: 1, memory_mb: 1}}\n" +
		"declared_run_time_ms: 1000\ncapacity: borrowed\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	runCtl(t, "", entries, "job", "submit", "--file", file, "--id", "j9").expect(t, ExitDone, "j9 account")
	if got := submitted(t, entry); got.ID != "j9" || got.Shape.Tasks != 2 {
		t.Errorf("submitted %+v", got)
	}
}

func TestJobListCancelAndExplain(t *testing.T) {
	entries := []string{startEntry(t, serveJobs).address}
	runCtl(t, "", entries, "job", "list").expect(t, ExitDone, "j2 account judges waiting tasks 3 attempt 0 waits: no room in a rack")
	runCtl(t, "a\n\nb\n", entries, "job", "cancel", "c", "-").expect(t, ExitDone, "a cancelled\nb cancelled\nc cancelled\n")
	runCtl(t, "", entries, "job", "explain", "j2").expect(t, ExitDone, "2. no rack has 3 free workers")
	runCtl(t, "", entries, "job", "explain", "j3").expect(t, ExitRefused, "unknown_job: There is no such job.")
}

func TestRequestOutcomes(t *testing.T) {
	outcome := func(status int, name string, reason model.Reason) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set(callerapi.HeaderOutcome, name)
			answer(ctx, status, callerapi.OutcomeBody{Outcome: name, Reason: reason, Sentence: "A sentence.", RetryAfterMS: 1500})
		}
	}
	answered := func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(callerapi.HeaderOutcome, "answered")
		ctx.SetBodyString("the answer")
	}
	cases := []struct {
		name    string
		handler fasthttp.RequestHandler
		code    int
		text    string
	}{
		{"answered", answered, ExitDone, "the answer\n"},
		{"not run", outcome(503, "not_run", model.ReasonQueueFull), ExitNotAccepted, "not_run (queue_full). A sentence. Come back in 1.5s."},
		{"unknown", outcome(504, "unknown", model.ReasonConnectionLost), ExitInDoubt, "unknown (connection_lost)"},
		{"outside horizon", outcome(504, "unknown", model.ReasonOutsideHorizon), ExitInDoubt, "find out at the backend server before you send it under a new ID."},
		{"failed", outcome(502, "failed", model.ReasonBackendError), ExitRefused, "failed (backend_server_error)"},
		{"in progress", outcome(202, "in_progress", model.ReasonInProgress), ExitInDoubt, "in_progress"},
		{"bad input", func(ctx *fasthttp.RequestCtx) {
			answer(ctx, 400, operatorapi.ErrorBody{Code: "bad_deadline", Sentence: "Bad."})
		}, ExitRefused, "bad_deadline: Bad."},
		{"connection lost", dropConnection, ExitInDoubt, "unknown, it may have run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := startEntry(t, c.handler)
			runCtl(t, "", []string{entry.address}, "request", "send", "--account", "judges", "--body", "b").expect(t, c.code, c.text)
			if calls, _ := entry.seen(); len(calls) != 1 {
				t.Errorf("calls: %v", calls)
			}
		})
	}
	second := startEntry(t, answered)
	first := startEntry(t, dropConnection)
	entries := []string{first.address, second.address}
	runCtl(t, "from input", entries, "request", "send", "--account", "judges", "--body-file", "-").expect(t, ExitDone, "the answer")
	for _, entry := range []*fakeEntry{first, second} {
		if bodies := entry.posts(); len(bodies) != 1 || bodies[0] != "from input" {
			t.Errorf("bodies %q", bodies)
		}
	}
	runCtl(t, "", []string{second.address}, "request", "status", "--account", "judges", "0190a000-0000-7000-8000-000000000001").expect(t, ExitDone, "the answer")
	old := startEntry(t, outcome(504, "unknown", model.ReasonOutsideHorizon))
	runCtl(t, "", []string{old.address}, "request", "send", "--account", "judges", "--idempotent").expect(t, ExitInDoubt, "it is safe to send it again under a new ID")
	runCtl(t, "", []string{closedAddress}, "request", "send", "--account", "judges").expect(t, ExitNotAccepted, "not run")
}

func TestAFinalOutcomeIsNotAskedForElsewhere(t *testing.T) {
	first := startEntry(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(callerapi.HeaderOutcome, "not_run")
		answer(ctx, 503, callerapi.OutcomeBody{Outcome: "not_run"})
	})
	second := startEntry(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("x") })
	runCtl(t, "", []string{first.address, second.address}, "request", "send", "--account", "a").expect(t, ExitNotAccepted, "not_run")
	if calls, _ := second.seen(); len(calls) != 0 {
		t.Errorf("calls: %v", calls)
	}
}

func TestStopReachesOnlyTheNamedProcess(t *testing.T) {
	stopping := func(ctx *fasthttp.RequestCtx) {
		answer(ctx, 202, map[string]string{"status": "stopping", "process": "agent-1"})
	}
	named, other := startEntry(t, stopping), startEntry(t, stopping)
	runCtl(t, "", []string{other.address}, "stop", named.address).expect(t, ExitDone, "agent-1 stopping")
	lost := startEntry(t, dropConnection)
	runCtl(t, "", []string{other.address}, "stop", lost.address).expect(t, ExitInDoubt, "may have taken effect")
	otherCalls, _ := other.seen()
	lostCalls, _ := lost.seen()
	if len(otherCalls) != 0 || len(lostCalls) != 1 {
		t.Errorf("calls: %v and %v", otherCalls, lostCalls)
	}
}

// startLine starts a process with a time line. An entry host lists others.
func startLine(t *testing.T, process string, others []*fakeEntry, walls ...int64) *fakeEntry {
	return startEntry(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == operatorapi.PathProcesses {
			var list operatorapi.ProcessList
			for _, other := range others {
				list.Processes = append(list.Processes, operatorapi.ProcessInfo{HTTPAddress: other.address})
			}
			answer(ctx, 200, list)
			return
		}
		answered := operatorapi.Timeline{Process: process}
		for _, wall := range walls {
			answered.Events = append(answered.Events, event.Event{Code: event.TaskStarted, Process: process, Job: "j1",
				Clock: event.Timestamp{WallMS: wall}})
		}
		answer(ctx, 200, answered)
	})
}

func TestTimelineMergesAllProcessesThatTheEntryHostsKnow(t *testing.T) {
	listed, given := startLine(t, "agent-1", nil, 2, 4), startLine(t, "agent-2", nil, 5)
	alias := startLine(t, "agent-1", nil, 2, 4)
	entry := startLine(t, "entry-1", []*fakeEntry{listed, alias}, 1, 3)
	r := runCtl(t, "", []string{entry.address}, "timeline", "--process", given.address, "--job", "j1")
	r.expect(t, ExitDone, "task.started")
	var order []string
	for _, text := range strings.Split(strings.TrimSpace(r.out), "\n") {
		order = append(order, strings.Fields(text)[1])
	}
	if got := strings.Join(order, " "); got != "entry-1 agent-1 entry-1 agent-1 agent-2" {
		t.Errorf("got order %q", got)
	}
	if calls, _ := listed.seen(); len(calls) != 1 || !strings.HasSuffix(calls[0], "?job=j1") {
		t.Errorf("calls: %v", calls)
	}
}

func TestTimelineNamesTheMissingAndPrintsTheRest(t *testing.T) {
	dead := &fakeEntry{address: closedAddress}
	entry := startLine(t, "entry-1", []*fakeEntry{dead}, 1, 3)
	r := runCtl(t, "", []string{entry.address}, "--json", "timeline")
	r.expect(t, ExitNotAccepted, "time line of "+dead.address+" is missing")
	var events []event.Event
	if err := json.Unmarshal([]byte(r.out), &events); err != nil || len(events) != 2 {
		t.Errorf("got %d events, %v", len(events), err)
	}
	alone := startEntry(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == operatorapi.PathTimeline {
			answer(ctx, 200, operatorapi.Timeline{Process: "entry-2"})
			return
		}
		answer(ctx, 404, operatorapi.ErrorBody{Code: "no_such_path", Sentence: "There is nothing at this path."})
	})
	runCtl(t, "", []string{alone.address}, "timeline").expect(t, ExitDone, "the list of processes is missing")
}

func TestGuaranteeCheckFailsWhereRoomIsMissing(t *testing.T) {
	check := operatorapi.GuaranteeCheck{
		Guarantees: []operatorapi.GuaranteeState{{Name: "g", Account: "a", Count: 2, Covered: 2}},
		ZoneLosses: []operatorapi.ZoneLoss{
			{Zone: "Caruaru", Uncovered: []operatorapi.GuaranteeState{{Name: "g", Account: "a", Count: 2, Covered: 1, Reason: "Two racks are left."}}},
			{Zone: "Quixada"},
		},
	}
	entry := startEntry(t, func(ctx *fasthttp.RequestCtx) { answer(ctx, 200, check) })
	entries := []string{entry.address}
	runCtl(t, "", entries, "guarantee", "check").expect(t, ExitDone, "without zone Caruaru: g account a: 1 of 2 have room: Two racks are left.")
	runCtl(t, "", entries, "guarantee", "check").expect(t, ExitDone, "without zone Quixada: all have room")
	missing := operatorapi.GuaranteeCheck{Guarantees: []operatorapi.GuaranteeState{{Name: "g", Account: "a", Count: 2, Covered: 1}}}
	entry = startEntry(t, func(ctx *fasthttp.RequestCtx) { answer(ctx, 200, missing) })
	runCtl(t, "", []string{entry.address}, "guarantee", "check").expect(t, ExitCheckFailed, "1 guarantees have no room")
}

func TestVersion(t *testing.T) {
	runCtl(t, "", nil, "version").expect(t, ExitDone, "dragonflyctl "+program.Version)
}
