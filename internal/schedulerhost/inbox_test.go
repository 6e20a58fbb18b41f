package schedulerhost

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// clockedStore is a store whose clock the test advances.
type clockedStore struct {
	*standin.Store
	ahead atomic.Int64
}

func newClockedStore() *clockedStore {
	s := &clockedStore{}
	s.Store = standin.NewStore(s.now)
	return s
}

func (s *clockedStore) now() time.Time { return time.Now().Add(time.Duration(s.ahead.Load())) }

func (s *clockedStore) StoreTime() (storeapi.TimeBounds, bool) {
	now := s.now().UnixMilli()
	return storeapi.TimeBounds{EarliestMS: now, LatestMS: now}, true
}

func (s *clockedStore) advance(d time.Duration) { s.ahead.Add(int64(d)) }

// rowsOf returns the keys of the rows of jobs and cancellations.
func rowsOf(t *testing.T, store storeapi.Store) (keys []string) {
	t.Helper()
	snapshot, err := store.Scan(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range snapshot.Rows {
		if strings.HasPrefix(row.Key, workload.TableInbox) || strings.HasPrefix(row.Key, workload.TableProgress) {
			keys = append(keys, row.Key)
		}
	}
	return keys
}

// TestNothingStaysOfCancelledJobs guards against rows that no owner ever deletes: those of
// ended jobs, of cancellations of jobs that were never stored, and of jobs whose deletion
// a former owner did not finish. The store loses the answers of some deletions.
func TestNothingStaysOfCancelledJobs(t *testing.T) {
	store := newClockedStore()
	job := oneTaskJob()
	put(t, store, workload.JobKeys(job.ID)[0], job)
	put(t, store, workload.JobKeys(job.ID)[1], job)
	row := workload.Cancellation{Account: job.Account, RequestedMS: store.now().UnixMilli()}
	put(t, store, workload.CancelKeys(job.ID, job.Account)[2], &row)
	for _, account := range []string{"a", "b"} {
		row.Account = model.ClientAccountID(account)
		put(t, store, workload.CancelKeys("00000000000000bb", row.Account)[0], &row)
	}
	row.Account = "a"
	put(t, store, workload.CancelKeys("of/another form", row.Account)[0], &row)
	put(t, store, workload.ProgressKey("00000000000000cc"), &workload.Progress{State: workload.StateCompleted, Account: "a", EndedMS: 1})
	s := testSession(t, store)
	if _, err := s.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	lost := 6
	for step := 0; len(rowsOf(t, store)) > 0; step++ {
		if step > 400 {
			t.Fatalf("rows are left: %q", rowsOf(t, store))
		}
		if step%5 == 0 && lost > 0 {
			lost--
			store.SetFaults(standin.ServiceTable, standin.Faults{LoseAnswers: 1})
		}
		if err := s.plan(t.Context()); err != nil {
			t.Fatal(err)
		}
		store.advance(5 * time.Second)
		time.Sleep(5 * time.Millisecond)
		s.drainInputs()
	}
	if stats := s.core.Stats(); stats.Jobs != 0 {
		t.Errorf("%d jobs are held, none is stored", stats.Jobs)
	}
}

// TestProgressOfUnreadableJobStays guards against starting the tasks of a job again whose
// row this release can't decode: its progress must not be taken for that of a deleted job.
func TestProgressOfUnreadableJobStays(t *testing.T) {
	store := standin.NewStore(time.Now)
	id := oneTaskJob().ID
	if err := store.Seed(workload.JobKeys(id)[0], []byte("\xff")); err != nil {
		t.Fatal(err)
	}
	put(t, store, workload.ProgressKey(id), &workload.Progress{State: workload.StateRunning, Account: "a"})
	s := testSession(t, store)
	if _, err := s.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := s.plan(t.Context()); err != nil {
		t.Fatal(err)
	}
	row, err := store.Get(t.Context(), workload.ProgressKey(id))
	var progress workload.Progress
	if err != nil || rowcodec.Decode(row.Value, &progress) != nil {
		t.Errorf("the progress row: %v", err)
	}
}
