package jobentry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

const testJob = "00000000000000aa"

// faultyStore answers commits with the results in line, then as the store does.
type faultyStore struct {
	*standin.Store
	mu   sync.Mutex
	line []error
}

func (s *faultyStore) Commit(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(storeapi.ErrUnavailable, err.Error())
	}
	s.mu.Lock()
	var next error
	if len(s.line) > 0 {
		next, s.line = s.line[0], s.line[1:]
	}
	s.mu.Unlock()
	if next != nil {
		return nil, next
	}
	return s.Store.Commit(ctx, tx)
}

func testConfig(version uint64) *queueconfig.Config {
	return queueconfig.New(version, []queueconfig.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", Priority: 1, MaxAttempts: 2, SlackFactor: 2},
		{Name: "open", Host: "h", PathPrefix: "/open/", Service: "s", Anonymous: true},
		{Name: "advised", Host: "h", PathPrefix: "/advised/", Service: "s", NeedsAdvice: true},
	}, []queueconfig.Account{{ID: "t", Keys: []string{"k"}}, {ID: "u", Keys: []string{"l"}}}, 1000)
}

func newService(t *testing.T) (*Service, *faultyStore) {
	t.Helper()
	store := &faultyStore{Store: standin.NewStore(time.Now)}
	rows := OperatorRows{
		Table: "op", ConfigKey: "op/config",
		DecodeConfig: func(row storeapi.Row) (*queueconfig.Config, error) {
			var version uint64
			err := rowcodec.Decode(row.Value, &version)
			return testConfig(version), err
		},
		EvacuatedZone: func(key string) (model.AvailabilityZoneName, bool) {
			zone := model.AvailabilityZoneName(key[len("op/"):])
			return zone, len(zone) == 2
		},
	}
	view := NewView(rows, store, zap.NewNop())
	putRow(t, store, "op/config", uint64(1))
	scan(t, view)
	return NewService(view, store, func(storeapi.Row) {}, zap.NewNop(), metrics.NewRegistry()), store
}

func putRow(t *testing.T, store *faultyStore, key string, value any) {
	t.Helper()
	if _, err := store.Store.Commit(t.Context(), storeapi.Transaction{Puts: []storeapi.Put{{Key: key, Value: rowcodec.Encode(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// scan lets the view read the operators' rows as its watch would.
func scan(t *testing.T, view *View) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { view.Run(ctx); close(done) }()
	for !view.Ready() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}

func testCall(kind CallKind, path, key string) Call {
	return Call{
		Kind: kind, Host: "h", Path: path, APIKey: key, Deadline: time.Now().Add(2 * time.Second),
		DecodeJob: func(id string) (*workload.Job, error) {
			job := &workload.Job{ID: model.JobID(id), Occurrences: 1, Steps: []workload.Step{{Tasks: 1}}}
			return job, job.Check()
		},
	}
}

func TestCalls(t *testing.T) {
	service, store := newService(t)
	doubt := errors.Wrap(storeapi.ErrInDoubt, "no answer")
	away := errors.Wrap(storeapi.ErrUnavailable, "503")
	cases := []struct {
		name string
		call Call
		line []error
		want OutcomeKind
	}{
		{"unknown queue", testCall(CallSubmit, "/none/"+testJob, "k"), nil, OutcomeUnknownQueue},
		{"unknown key", testCall(CallSubmit, "/q/"+testJob, "x"), nil, OutcomeUnauthorized},
		{"a queue for all", testCall(CallSubmit, "/open/00000000000000bb", ""), nil, OutcomeAccepted},
		{"advice", testCall(CallSubmit, "/advised/"+testJob, "k"), nil, OutcomeUnsupported},
		{"unknown job", testCall(CallState, "/q/"+testJob, "k"), nil, OutcomeUnknownJob},
		{"cancel an unknown job", testCall(CallCancel, "/q/"+testJob, "k"), nil, OutcomeUnknownJob},
		{"not stored", testCall(CallSubmit, "/q/"+testJob, "k"), []error{away, away, away, away}, OutcomeRejected},
		{"one part away", testCall(CallSubmit, "/q/00000000000000cc", "k"), []error{away}, OutcomeAccepted},
		{"stored, answer lost", testCall(CallSubmit, "/q/"+testJob, "k"), []error{doubt}, OutcomeAccepted},
		{"the same again", testCall(CallSubmit, "/q/"+testJob, "k"), nil, OutcomeAccepted},
		{"the same ID of another account", testCall(CallSubmit, "/q/"+testJob, "l"), nil, OutcomeInvalid},
		{"queued", testCall(CallState, "/q/"+testJob, "k"), nil, OutcomeState},
		{"another account's job", testCall(CallState, "/q/"+testJob, "l"), nil, OutcomeUnknownJob},
		{"cancel another account's job", testCall(CallCancel, "/q/"+testJob, "l"), nil, OutcomeUnknownJob},
		{"cancel", testCall(CallCancel, "/q/"+testJob, "k"), nil, OutcomeAccepted},
		{"a job through the second part", testCall(CallState, "/q/00000000000000cc", "k"), nil, OutcomeState},
	}
	for _, c := range cases {
		store.line = c.line
		if got := service.Answer(c.call); got.Kind != c.want {
			t.Errorf("%s: %+v, want %s", c.name, got, c.want)
		}
	}
}

// TestDoubtIsNeverARejection: a first try may have taken effect, the others are
// refused. The caller must not be told that the job never runs.
func TestDoubtIsNeverARejection(t *testing.T) {
	service, store := newService(t)
	store.line = []error{errors.Wrap(storeapi.ErrInDoubt, "no answer")}
	call := testCall(CallSubmit, "/q/"+testJob, "k")
	call.Deadline = time.Now().Add(answerMargin + 300*time.Millisecond)
	for range 20 {
		store.line = append(store.line, errors.Wrap(storeapi.ErrUnavailable, "503"))
	}
	if got := service.Answer(call); got.Kind != OutcomeInDoubt {
		t.Errorf("the answer is %+v", got)
	}
}

func TestCountWithoutAScheduler(t *testing.T) {
	service, store := newService(t)
	for _, id := range []string{testJob, "00000000000000ab"} {
		if got := service.Answer(testCall(CallSubmit, "/q/"+id, "k")); got.Kind != OutcomeAccepted {
			t.Fatal(got)
		}
	}
	putRow(t, store, workload.ProgressKey(testJob), &workload.Progress{State: workload.StateRunning, Account: "t"})
	if got := service.Answer(testCall(CallCount, "/q/", "k")); got.Kind != OutcomeCount || got.Count != 1 {
		t.Errorf("counted from the rows: %+v, want 1", got)
	}
	putRow(t, store, workload.KeyPending, &dispatch.Pending{AsOfMS: time.Now().UnixMilli(), ByQueue: map[string]int{"q": 7}})
	if got := service.Answer(testCall(CallCount, "/q/", "k")); got.Count != 7 {
		t.Errorf("the scheduler's count: %+v, want 7", got)
	}
	putRow(t, store, workload.KeyPending, &dispatch.Pending{AsOfMS: time.Now().Add(-5 * time.Second).UnixMilli(), ByQueue: map[string]int{"q": 7}})
	if got := service.Answer(testCall(CallCount, "/q/", "k")); got.Count != 1 {
		t.Errorf("an old count is passed on: %+v", got)
	}
}

// TestFirstCallOfAProcess: a call comes before the watch has read anything. It
// is answered by a read of its own, not turned away.
func TestFirstCallOfAProcess(t *testing.T) {
	service, store := newService(t)
	fresh := NewView(service.view.rows, store, zap.NewNop())
	first := NewService(fresh, store, func(storeapi.Row) {}, zap.NewNop(), metrics.NewRegistry())
	if got := first.Answer(testCall(CallSubmit, "/q/"+testJob, "k")); got.Kind != OutcomeAccepted {
		t.Errorf("the first call gives %+v", got)
	}
}

// TestShortDeadline: a caller that waits for less than the margin is served, when
// there is time to.
func TestShortDeadline(t *testing.T) {
	service, _ := newService(t)
	call := testCall(CallSubmit, "/q/"+testJob, "k")
	call.Deadline = time.Now().Add(answerMargin / 2)
	if got := service.Answer(call); got.Kind != OutcomeAccepted {
		t.Errorf("a caller that waits %s gets %+v", answerMargin/2, got)
	}
}

func TestViewNeverGoesBack(t *testing.T) {
	service, store := newService(t)
	view := service.view
	putRow(t, store, "op/config", uint64(5))
	row, err := store.Get(t.Context(), "op/config")
	if err != nil {
		t.Fatal(err)
	}
	view.takeConfig(row)
	older := row
	older.Version--
	older.Value = rowcodec.Encode(uint64(4))
	view.takeConfig(older)
	if view.config.Version != 5 {
		t.Errorf("the view went back to %d", view.config.Version)
	}
	zone := func(version storeapi.RowVersion, deleted bool) {
		view.take(storeapi.Change{Row: storeapi.Row{Key: "op/z1", Version: version}, Deleted: deleted})
	}
	zone(10, false)
	if !view.Scheduling().Evacuated["z1"] {
		t.Error("an evacuation is not known")
	}
	zone(12, true)
	zone(11, false)
	if view.Scheduling().Evacuated["z1"] {
		t.Error("an old row took the zone out again")
	}
}

func TestOldViewDecidesNothing(t *testing.T) {
	service, store := newService(t)
	store.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
	service.view.mu.Lock()
	service.view.configAsOf = time.Time{}
	service.view.mu.Unlock()
	deadline := time.Now().Add(maxAge + time.Second)
	for service.view.Ready() && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	got := service.Answer(testCall(CallSubmit, "/none/"+testJob, "x"))
	if got.Kind != OutcomeRejected || got.RetryAfter < storeRetryAfter {
		t.Errorf("with a view of %s: %+v, want a rejection with a time to come back", time.Since(service.view.asOf()), got)
	}
}
