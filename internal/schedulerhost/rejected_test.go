package schedulerhost

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// rejectingStore rejects each transaction that writes a row of a job.
type rejectingStore struct {
	*standin.Store
	job model.JobID
}

func (s *rejectingStore) Commit(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	for _, put := range tx.Puts {
		if put.Key == workload.ProgressKey(s.job) {
			return nil, errors.Wrapf(storeapi.ErrRejected, "row %q", put.Key)
		}
	}
	return s.Store.Commit(ctx, tx)
}

// TestRejectedRowStopsOnlyItsJob guards against repeating a transaction for ever that the
// store rejects because of one job's row, during which nothing is started for any job.
func TestRejectedRowStopsOnlyItsJob(t *testing.T) {
	store := &rejectingStore{Store: standin.NewStore(time.Now), job: "00000000000000aa"}
	for _, id := range []model.JobID{store.job, "00000000000000bb"} {
		job := oneTaskJob()
		job.ID = id
		put(t, store, workload.JobKeys(id)[0], job)
	}
	put(t, store, workload.WorkerKey("h"), &workload.Announcement{
		Host: "h", Worker: "w", Service: "s", Zone: "z", State: workload.WorkerReady,
		Capacity: workload.Resources{MilliCores: 9000, MemoryMB: 1000}, SentMS: time.Now().UnixMilli(),
	})
	s := testSession(t, store)
	if _, err := s.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for range 3 {
		if err := s.plan(ctx); err != nil {
			t.Fatalf("the session ends: %v", err)
		}
	}
	snapshot, err := store.Scan(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	orders, progress := 0, 0
	for _, row := range snapshot.Rows {
		if strings.HasPrefix(row.Key, "orders-") && strings.Contains(row.Key, "00000000000000bb") {
			orders++
		}
		if row.Key == workload.ProgressKey("00000000000000bb") {
			progress++
		}
	}
	if orders != 1 || progress != 1 {
		t.Errorf("the other job has %d orders and %d progress rows, want one of each", orders, progress)
	}
}
