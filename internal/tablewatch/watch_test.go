package tablewatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

func put(t *testing.T, store *standin.Store, key string) {
	t.Helper()
	if _, err := store.Commit(t.Context(), storeapi.Transaction{Puts: []storeapi.Put{{Key: key, Value: []byte("v")}}}); err != nil {
		t.Fatal(err)
	}
}

// TestWatch guards against missed rows: the watch must deliver each row across a
// scan, changes, a lost change history and a temporary outage of the store.
func TestWatch(t *testing.T) {
	store := standin.NewStore(time.Now)
	put(t, store, "t@p1/a")
	keys := make(chan string, 100)
	deliver := func(key string) { keys <- key }
	settings := DefaultSettings()
	settings.LongPollTimeout = 50 * time.Millisecond
	w := New(settings, store, "t", "t@*/", Handler{
		OnScan: func(s storeapi.Snapshot) {
			for _, row := range s.Rows {
				deliver(row.Key)
			}
		},
		OnChanges: func(changes []storeapi.Change) {
			for _, change := range changes {
				deliver(change.Key)
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { w.Run(ctx, 0); close(done) }()
	awaitKey := func(want string) {
		t.Helper()
		for {
			select {
			case key := <-keys:
				if key == want {
					return
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("%s was not delivered", want)
			}
		}
	}
	awaitKey("t@p1/a")
	put(t, store, "t@p2/b")
	awaitKey("t@p2/b")
	store.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
	for _, healthy := w.HealthySince(); healthy; _, healthy = w.HealthySince() {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(standin.ServiceTable, standin.Faults{})
	put(t, store, "t/c")
	store.ForgetHistory()
	awaitKey("t/c")
	for _, healthy := w.HealthySince(); !healthy; _, healthy = w.HealthySince() {
		time.Sleep(time.Millisecond)
	}
	if w.AsOf().IsZero() {
		t.Error("AsOf is zero after successful reads")
	}
	cancel()
	<-done
	if _, healthy := w.HealthySince(); !healthy {
		t.Error("the watch is not healthy after its context was cancelled")
	}
}

// failingFeed responds to scans and fails each read of changes with err.
type failingFeed struct {
	*standin.Store
	err   error
	scans chan struct{}
}

func (f *failingFeed) Changes(context.Context, string, storeapi.RowVersion, time.Duration) (storeapi.Changes, error) {
	return storeapi.Changes{}, f.err
}

func (f *failingFeed) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	snapshot, err := f.Store.Scan(ctx, prefix)
	select {
	case f.scans <- struct{}{}:
	case <-ctx.Done():
	}
	return snapshot, err
}

// TestScansWhileTheFeedFails guards against reporting a store as failing when it
// responds to scans but its change feed is silent or has lost its history.
func TestScansWhileTheFeedFails(t *testing.T) {
	for _, err := range []error{storeapi.ErrUnavailable, storeapi.ErrHistoryGone} {
		feed := &failingFeed{Store: standin.NewStore(time.Now), err: err, scans: make(chan struct{})}
		var failures []error
		scanned := 0
		w := New(DefaultSettings(), feed, "t", "t/", Handler{
			OnScan:      func(storeapi.Snapshot) { scanned++ },
			OnChanges:   func([]storeapi.Change) {},
			OnReadError: func(err error) { failures = append(failures, err) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { w.Run(ctx, 0); close(done) }()
		for range 4 {
			<-feed.scans
			if w.Failing() {
				t.Errorf("%v: the watch reports the store as failing", err)
			}
		}
		cancel()
		<-done
		if scanned < 3 || len(failures) < 3 || !errors.Is(failures[0], err) {
			t.Errorf("%v: %d scans, reported failures: %v", err, scanned, failures)
		}
	}
}

// TestGatherDelay guards against one read for each of many changes that come in
// quick succession: with a GatherDelay they must share reads.
func TestGatherDelay(t *testing.T) {
	const changes = 40
	reads := func(gather time.Duration) int {
		var calls int
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewStore(time.Now)
			settings := DefaultSettings()
			settings.GatherDelay = gather
			seen := make(chan int, changes)
			w := New(settings, store, "t", "t/", Handler{
				OnScan:    func(storeapi.Snapshot) {},
				OnChanges: func(rows []storeapi.Change) { calls++; seen <- len(rows) },
			})
			ctx, cancel := context.WithCancel(t.Context())
			go w.Run(ctx, 0)
			for i := range changes {
				time.Sleep(5 * time.Millisecond)
				put(t, store, fmt.Sprintf("t/%d", i))
			}
			for got := 0; got < changes; {
				got += <-seen
			}
			cancel()
			synctest.Wait()
		})
		return calls
	}
	if withoutDelay, withDelay := reads(0), reads(50*time.Millisecond); withoutDelay < changes/2 || withDelay > changes/5 {
		t.Errorf("%d reads for %d changes without a gather delay, %d with it", withoutDelay, changes, withDelay)
	}
}
