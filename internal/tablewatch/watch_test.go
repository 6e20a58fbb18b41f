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

// TestWatch: a scan, changes, a lost history and a store that is away for a
// while; nothing is missed.
func TestWatch(t *testing.T) {
	store := standin.NewStore(time.Now)
	put(t, store, "t@p1/a")
	keys := make(chan string, 100)
	take := func(key string) { keys <- key }
	settings := DefaultSettings()
	settings.LongPollTimeout = 50 * time.Millisecond
	w := New(settings, store, "t", "t@*/", Handler{
		OnScan: func(s storeapi.Snapshot) {
			for _, row := range s.Rows {
				take(row.Key)
			}
		},
		OnChanges: func(changes []storeapi.Change) {
			for _, change := range changes {
				take(change.Key)
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { w.Run(ctx, 0); close(done) }()
	await := func(want string) {
		t.Helper()
		for {
			select {
			case key := <-keys:
				if key == want {
					return
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("%s was not seen", want)
			}
		}
	}
	await("t@p1/a")
	put(t, store, "t@p2/b")
	await("t@p2/b")
	store.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
	for _, well := w.HealthySince(); well; _, well = w.HealthySince() {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(standin.ServiceTable, standin.Faults{})
	put(t, store, "t/c")
	store.ForgetHistory()
	await("t/c")
	for _, well := w.HealthySince(); !well; _, well = w.HealthySince() {
		time.Sleep(time.Millisecond)
	}
	if w.AsOf().IsZero() {
		t.Error("the watch does not know up to when it has read")
	}
	cancel()
	<-done
	if _, well := w.HealthySince(); !well {
		t.Error("the end of the watch counts as a failure of the store")
	}
}

// silentFeed answers scans, and no read of changes.
type silentFeed struct {
	*standin.Store
	err   error
	scans chan struct{}
}

func (f *silentFeed) Changes(context.Context, string, storeapi.RowVersion, time.Duration) (storeapi.Changes, error) {
	return storeapi.Changes{}, f.err
}

func (f *silentFeed) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	snapshot, err := f.Store.Scan(ctx, prefix)
	select {
	case f.scans <- struct{}{}:
	case <-ctx.Done():
	}
	return snapshot, err
}

// TestScansWhileTheFeedFails: a feed that is silent, or has lost its history,
// is no failure of a store that answers scans.
func TestScansWhileTheFeedFails(t *testing.T) {
	for _, err := range []error{storeapi.ErrUnavailable, storeapi.ErrHistoryGone} {
		feed := &silentFeed{Store: standin.NewStore(time.Now), err: err, scans: make(chan struct{})}
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
				t.Errorf("%v: the watch counts the store as failing", err)
			}
		}
		cancel()
		<-done
		if scanned < 3 || len(failures) < 3 || !errors.Is(failures[0], err) {
			t.Errorf("%v: %d scans, failures told: %v", err, scanned, failures)
		}
	}
}

// TestGather: changes that come one after the other are read together.
func TestGather(t *testing.T) {
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
	if alone, together := reads(0), reads(50*time.Millisecond); alone < changes/2 || together > changes/5 {
		t.Errorf("%d reads of %d changes alone, %d together", alone, changes, together)
	}
}
