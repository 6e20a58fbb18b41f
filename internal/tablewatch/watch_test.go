package tablewatch

import (
	"context"
	"testing"
	"time"

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
	settings.Wait = 50 * time.Millisecond
	w := New(settings, store, "t", "t@*/", Handler{
		Scanned: func(s storeapi.Snapshot) {
			for _, row := range s.Rows {
				take(row.Key)
			}
		},
		Changed: func(changes []storeapi.Change) {
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
	for _, well := w.WellSince(); well; _, well = w.WellSince() {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(standin.ServiceTable, standin.Faults{})
	put(t, store, "t/c")
	store.ForgetHistory()
	await("t/c")
	for _, well := w.WellSince(); !well; _, well = w.WellSince() {
		time.Sleep(time.Millisecond)
	}
	if w.AsOf().IsZero() {
		t.Error("the watch does not know up to when it has read")
	}
	cancel()
	<-done
	if _, well := w.WellSince(); !well {
		t.Error("the end of the watch counts as a failure of the store")
	}
}
