package schedulerhost

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/hostclock"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/storerelay"
	"dragonflyyard/internal/workload"
)

// hookedStore calls afterScan with the prefix of each scan after the scan's answer.
type hookedStore struct {
	*standin.Store
	afterScan func(prefix string)
}

func (s *hookedStore) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	snapshot, err := s.Store.Scan(ctx, prefix)
	s.afterScan(prefix)
	return snapshot, err
}

func put(t *testing.T, store storeapi.Table, key string, value any) {
	t.Helper()
	tx := storeapi.Transaction{Puts: []storeapi.Put{{Key: key, Value: rowcodec.Encode(value)}}}
	if _, err := store.Commit(context.Background(), tx); err != nil {
		t.Fatal(err)
	}
}

// testHost returns a host name whose order table is scanned last.
func testHost() string {
	tables := workload.OrderTables()
	for i := 0; ; i++ {
		host := "side-" + strconv.Itoa(i)
		if workload.OrderTable(host) == tables[len(tables)-1] {
			return host
		}
	}
}

// noPushes returns a sender that sends nothing because it is never run.
func noPushes() *rowpush.Sender { return rowpush.NewSender("", 1, zap.NewNop(), metrics.NewRegistry()) }

func testSession(t *testing.T, store storeapi.Store) *session {
	t.Helper()
	view := func() ConfigView { return ConfigView{AsOf: time.Now()} }
	h := New("entry-1", "region", store, view, func() storerelay.Standing { return storerelay.Standing{} }, noPushes(), zap.NewNop(), metrics.NewRegistry())
	s := newSession(h, 1)
	if err := s.acquireFence(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

func oneTaskJob() *workload.Job {
	return &workload.Job{
		ID: "00000000000000aa", Account: "a", Queue: "q", Service: "s", MaxAttempts: 2, SlackFactor: 2, Occurrences: 1,
		Steps: []workload.Step{{Tasks: 1, PerTask: workload.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}},
	}
}

// TestLoadMissesNoEnd commits the end of a run while a new owner loads, after the
// scan of the ends. An owner that finds neither the order nor the end starts the
// task again.
func TestLoadMissesNoEnd(t *testing.T) {
	store := &hookedStore{Store: standin.NewStore(time.Now)}
	host := testHost()
	job := oneTaskJob()
	order := workload.Order{Task: string(job.ID) + ".0.0.0", Run: 1, Host: host, Worker: "w", Incarnation: 5}
	put(t, store, workload.JobKeys(job.ID)[0], job)
	put(t, store, workload.WorkerKey(host), &workload.Announcement{
		Host: host, Worker: "w", Incarnation: 5, Service: "s", Zone: "z", State: workload.WorkerReady,
		Capacity: workload.Resources{MilliCores: 9000, MemoryMB: 1000}, SentMS: time.Now().UnixMilli(),
	})
	put(t, store, order.Key(), &order)
	store.afterScan = func(prefix string) {
		if prefix != endsPrefix {
			return
		}
		end := workload.End{Task: order.Task, Run: 1, Host: host, Kind: workload.EndDone}
		id, _ := order.ID()
		tx := storeapi.Transaction{Puts: []storeapi.Put{{Key: workload.EndKey(host, id), Value: rowcodec.Encode(&end)}}}
		if _, err := store.Commit(context.Background(), tx); err != nil {
			t.Error(err)
		}
	}
	s := testSession(t, store)
	if _, err := s.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	now, _ := s.now()
	for _, batch := range s.core.Plan(now) {
		for _, p := range batch.Tx.Puts {
			if strings.HasPrefix(p.Key, "orders-") {
				t.Errorf("the task is ordered again: %s", p.Key)
			}
		}
	}
}

// TestFence checks that the store refuses transactions of a former owner, and that a
// transaction whose answer was lost is recognized as committed when it is retried.
func TestFence(t *testing.T) {
	store := &hookedStore{Store: standin.NewStore(time.Now), afterScan: func(string) {}}
	former := testSession(t, store)
	store.SetFaults(standin.ServiceTable, standin.Faults{LoseAnswers: 1})
	if err := former.commitFenced(t.Context(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "progress/x", Value: []byte{1}}}}, nil); err != nil {
		t.Fatalf("commit whose answer was lost: %v", err)
	}
	rows, err := store.List(t.Context(), "progress/", "", 10)
	if err != nil || len(rows) != 1 {
		t.Fatalf("rows %v, %v", rows, err)
	}
	next := testSession(t, store)
	next.epoch++
	if err := former.commitFenced(t.Context(), storeapi.Transaction{}, nil); err != errFenced {
		t.Errorf("commit of the former owner: got %v, want errFenced", err)
	}
	check := storeapi.Check{Key: "progress/x", Version: 1 << 40}
	if err := next.commitFenced(t.Context(), storeapi.Transaction{Checks: []storeapi.Check{check}}, nil); err != errCheckFailed {
		t.Errorf("commit with a failed check: got %v, want errCheckFailed", err)
	}
	if err := next.commitFenced(t.Context(), storeapi.Transaction{}, nil); err != nil {
		t.Errorf("next commit of the current owner: %v", err)
	}
}

const testGrace = 4 * time.Second

// TestHandoverEndsWithTheGrace guards against an entry host that waits for the release
// of its lease until it is killed: the store does not answer.
func TestHandoverEndsWithTheGrace(t *testing.T) {
	const grace = time.Second
	store := standin.NewStore(time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	view := func() ConfigView { return ConfigView{AsOf: time.Now()} }
	h := New("entry-1", "region", store, view, func() storerelay.Standing { return storerelay.Standing{} }, noPushes(), zap.NewNop(), metrics.NewRegistry())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := h.Run(ctx, grace); err != nil {
			t.Error(err)
		}
	}()
	waitFor(t, store, func(keys []string) bool { return slices.Contains(keys, workload.KeyFence) })
	store.SetFaults(standin.ServiceTable, standin.Faults{Silent: true})
	defer store.SetFaults(standin.ServiceTable, standin.Faults{})
	stoppedAt := time.Now()
	cancel()
	<-done
	if took := time.Since(stoppedAt); took > grace {
		t.Errorf("stopped after %s, the grace is %s", took, grace)
	}
}

// TestOwnerIsReplaced stops the entry host that started a task and lets a second host
// take over. Failure: the second host does not complete the job when the end of the
// first host's run is reported.
func TestOwnerIsReplaced(t *testing.T) {
	store := standin.NewStore(time.Now)
	job := oneTaskJob()
	put(t, store, workload.JobKeys(job.ID)[0], job)
	put(t, store, workload.WorkerKey("h"), &workload.Announcement{
		Host: "h", Worker: "w", Service: "s", Zone: "z", State: workload.WorkerReady,
		Capacity: workload.Resources{MilliCores: 9000, MemoryMB: 1000}, SentMS: time.Now().UnixMilli() + 60_000,
	})
	run := func(id model.EntryID) (stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		view := func() ConfigView { return ConfigView{AsOf: time.Now()} }
		h := New(id, "region", store, view, func() storerelay.Standing { return storerelay.Standing{} }, noPushes(), zap.NewNop(), metrics.NewRegistry())
		go func() {
			defer close(done)
			if err := h.Run(ctx, testGrace); err != nil {
				t.Error(err)
			}
		}()
		return func() { cancel(); <-done }
	}
	stopFirst := run("entry-1")
	waitFor(t, store, func(keys []string) bool {
		return slices.ContainsFunc(keys, func(k string) bool { return strings.HasPrefix(k, "orders-") })
	})
	stopFirst()
	stopSecond := run("entry-2")
	defer stopSecond()
	id := workload.RunID{Task: workload.TaskRef{Job: job.ID}, Run: 1}
	order := workload.Order{Task: id.Task.String(), Run: 1, Host: "h"}
	end := workload.End{Task: order.Task, Run: 1, Host: "h", Kind: workload.EndDone}
	tx := storeapi.Transaction{Puts: []storeapi.Put{{Key: workload.EndKey("h", id), Value: rowcodec.Encode(&end)}}}
	if _, err := store.Commit(t.Context(), tx); err != nil {
		t.Fatal(err)
	}
	waitFor(t, store, func([]string) bool {
		row, err := store.Get(context.Background(), workload.ProgressKey(job.ID))
		var progress workload.Progress
		return err == nil && rowcodec.Decode(row.Value, &progress) == nil && progress.State == workload.StateCompleted
	})
}

// waitFor polls the store until holds returns true for the keys of all rows.
func waitFor(t *testing.T, store *standin.Store, holds func(keys []string) bool) {
	t.Helper()
	for {
		snapshot, err := store.Scan(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		var keys []string
		for _, row := range snapshot.Rows {
			keys = append(keys, row.Key)
		}
		if holds(keys) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestViewFromBeforeASuspension guards against plans by a configuration view that is older than
// its age on the steady clock, which stood still while the host was suspended: tasks would be
// started in a zone that was evacuated meanwhile.
func TestViewFromBeforeASuspension(t *testing.T) {
	var s session
	begin := hostclock.Now()
	view := ConfigView{AsOf: begin.Steady}
	if !s.current(view, begin.Add(time.Second)) {
		t.Error("a view of one second ago is refused")
	}
	resumed := begin.Add(1100 * time.Millisecond)
	resumed.SinceBoot += 6 * time.Second
	if s.current(view, resumed) || s.current(view, resumed.Add(100*time.Millisecond)) {
		t.Error("a view from before the suspension is taken for current")
	}
	view.AsOf = resumed.Steady.Add(200 * time.Millisecond)
	if !s.current(view, resumed.Add(300*time.Millisecond)) {
		t.Error("a view from after the suspension is refused")
	}
	if s.current(view, resumed.Add(3*time.Second)) {
		t.Error("a view of almost three seconds ago is taken for current")
	}
}
