package jobentry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// slowStore takes a fixed time for each read that returns the configuration or counts
// jobs, as over a slow link, and counts these reads.
type slowStore struct {
	*standin.Store
	readTime time.Duration
	// configs counts the reads that returned the configuration, and scans those of all jobs.
	configs, scans atomic.Int64
}

func (s *slowStore) Get(ctx context.Context, key string) (storeapi.Row, error) {
	if key == "op/config" {
		s.configs.Add(1)
		time.Sleep(s.readTime)
	}
	return s.Store.Get(ctx, key)
}

func (s *slowStore) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	snapshot, err := s.Store.Scan(ctx, prefix)
	for _, row := range snapshot.Rows {
		if row.Key == "op/config" {
			s.configs.Add(1)
			time.Sleep(s.readTime)
		}
	}
	if prefix == workload.PrefixAllJobs {
		s.scans.Add(1)
		time.Sleep(s.readTime)
	}
	return snapshot, err
}

func newSlowService(t *testing.T, readTime time.Duration) (*Service, *slowStore) {
	t.Helper()
	service, faulty := newService(t)
	store := &slowStore{Store: faulty.Store, readTime: readTime}
	view := NewView(service.view.rows, store, zap.NewNop())
	return NewService(view, store, func(storeapi.Row) {}, zap.NewNop(), metrics.NewRegistry()), store
}

// inBubble runs a test with a clock that advances while all its goroutines wait.
func inBubble(t *testing.T, run func(*testing.T)) {
	t.Helper()
	// The first meter of a process starts a goroutine that never ends.
	metrics.NewMeter().Stop()
	synctest.Test(t, run)
}

// runView runs a view's watch, and returns when it has begun to read.
func runView(t *testing.T, view *View) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go view.Run(ctx)
	synctest.Wait()
	return cancel
}

// TestUnchangedConfigurationIsReadOnce guards against reading the whole configuration
// again while it does not change. It takes seconds over a slow link, in which calls miss
// their deadlines.
func TestUnchangedConfigurationIsReadOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		service, store := newSlowService(t, time.Second)
		defer runView(t, service.view)()
		for i := range 200 {
			began := time.Now()
			got := service.Answer(testCall(CallState, "/q/"+testJob, "k"))
			if took := time.Since(began); got.Kind != OutcomeUnknownJob || (i > 0 && took > 0) {
				t.Fatalf("call %d: %+v after %s", i, got, took)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := store.configs.Load(); n != 1 {
			t.Errorf("the configuration was read %d times, want once", n)
		}
	})
}

// TestChangeIsAppliedBetweenRescans guards against a scan of the evacuations that lets
// the watch skip a change of the configuration made shortly before.
func TestChangeIsAppliedBetweenRescans(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		service, store := newSlowService(t, 0)
		defer runView(t, service.view)()
		for version := uint64(2); version < 200; version++ {
			putRow(t, &faultyStore{Store: store.Store}, "op/config", version)
			putRow(t, &faultyStore{Store: store.Store}, "op/z1", version)
			time.Sleep(watchWait)
			service.view.mu.Lock()
			got := service.view.config
			service.view.mu.Unlock()
			if got == nil || got.Version != version {
				t.Fatalf("configuration %+v %s after version %d was written", got, watchWait, version)
			}
		}
	})
}

// concurrently makes n calls at once and returns how long the slowest took.
func concurrently(n int, call func()) time.Duration {
	began := time.Now()
	var calls sync.WaitGroup
	for range n {
		calls.Go(call)
	}
	calls.Wait()
	return time.Since(began)
}

// TestCallsShareOneRead guards against calls that queue for reads of one value, each of
// which takes as long as the one before.
func TestCallsShareOneRead(t *testing.T) {
	const readTime, callers = 500 * time.Millisecond, 20
	inBubble(t, func(t *testing.T) {
		service, store := newSlowService(t, readTime)
		took := concurrently(callers, func() {
			if got := service.Answer(testCall(CallState, "/q/"+testJob, "k")); got.Kind != OutcomeUnknownJob {
				t.Errorf("state: %+v", got)
			}
		})
		if n := store.configs.Load(); n != 1 || took > readTime {
			t.Errorf("%d calls read the configuration %d times in %s, want once in %s", callers, n, took, readTime)
		}
		took = concurrently(callers, func() {
			if got := service.Answer(testCall(CallCount, "/q/", "k")); got.Kind != OutcomeCount {
				t.Errorf("count: %+v", got)
			}
		})
		if n := store.scans.Load(); n != 1 || took > readTime {
			t.Errorf("%d calls scanned the jobs %d times in %s, want once in %s", callers, n, took, readTime)
		}
	})
}

// TestCallsWaitForTheReadInProgress guards against reading the configuration for a call
// while the watch reads it already: both would share the link.
func TestCallsWaitForTheReadInProgress(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		service, store := newSlowService(t, time.Second)
		defer runView(t, service.view)()
		took := concurrently(20, func() {
			if got := service.Answer(testCall(CallState, "/q/"+testJob, "k")); got.Kind != OutcomeUnknownJob {
				t.Errorf("state: %+v", got)
			}
		})
		if n := store.configs.Load(); n != 1 || took > time.Second {
			t.Errorf("the configuration was read %d times in %s, want once in 1s", n, took)
		}
	})
}

// TestCallsAreAnsweredBeforeTheProcessEnds guards against calls in progress that are cut
// off when a stopping process ends: each gets an answer, and one that may have taken
// effect is not called rejected.
func TestCallsAreAnsweredBeforeTheProcessEnds(t *testing.T) {
	const ends = 700 * time.Millisecond
	cases := []struct {
		kind CallKind
		path string
		want OutcomeKind
	}{
		{CallSubmit, "/q/" + testJob, OutcomeInDoubt},
		{CallCancel, "/q/" + testJob, OutcomeInDoubt},
		{CallState, "/q/" + testJob, OutcomeRejected},
		{CallCount, "/q/", OutcomeRejected},
	}
	for _, c := range cases {
		t.Run(string(c.kind), func(t *testing.T) {
			service, store := newService(t)
			store.SetFaults(standin.ServiceTable, standin.Faults{Silent: true})
			defer store.SetFaults(standin.ServiceTable, standin.Faults{})
			began := time.Now()
			time.AfterFunc(ends/4, func() { service.EndBy(began.Add(ends)) })
			call := testCall(c.kind, c.path, "k")
			call.Deadline = began.Add(time.Minute)
			got := service.Answer(call)
			if took := time.Since(began); took > ends+ends/2 {
				t.Errorf("answered after %s, the process ends after %s", took, ends)
			}
			if got.Kind != c.want || (got.Kind == OutcomeRejected) != (got.RetryAfter > 0) {
				t.Errorf("%+v, want %s", got, c.want)
			}
			if late := service.Answer(call); late.Kind == "" {
				t.Error("a call after the end has no outcome")
			}
		})
	}
}
