package schedulerhost

import (
	"testing"
	"time"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// TestPushedRowsAreApplied: a worker, a job and an end that no feed has shown.
// The same rows from the feed change nothing.
func TestPushedRowsAreApplied(t *testing.T) {
	s := testSession(t, standin.NewStore(time.Now))
	job := oneTaskJob()
	id := workload.RunID{Task: workload.TaskRef{Job: job.ID}, Run: 1}
	worker := &workload.Announcement{
		Host: "h", Worker: "w", Service: "s", Zone: "z", State: workload.WorkerReady, Address: "10.0.0.1:7000",
		Capacity: workload.Resources{MilliCores: 9000, MemoryMB: 1000}, SentMS: time.Now().UnixMilli() + 60_000,
	}
	end := &workload.End{Task: id.Task.String(), Run: 1, Host: "h", Kind: workload.EndDone}
	row := func(key string, value any) storeapi.Row {
		return storeapi.Row{Key: key, Value: rowcodec.Encode(value), Version: 7}
	}
	first := []storeapi.Row{row(workload.WorkerKey("h"), worker), row(workload.JobKeys(job.ID)[0], job)}
	now, _ := s.now()
	for range 2 {
		s.takeRows(first)
	}
	batches := s.core.Plan(now)
	if len(batches) == 0 {
		t.Fatal("nothing is planned")
	}
	s.committed(batches[0], make([]storeapi.RowVersion, len(batches[0].Tx.Puts)))
	orders := batches[0].OrderRows()
	if len(orders) != 1 || orders[0].Address != worker.Address || orders[0].Row.Key != workload.OrderPrefix("h")+id.Task.String()+"/1" {
		t.Fatalf("orders %+v", orders)
	}
	for range 2 {
		s.takeRows([]storeapi.Row{row(workload.EndKey("h", id), end), row("elsewhere/x", 1)})
	}
	if stats := s.core.Stats(); stats.Jobs != 1 || stats.Orders != 0 || stats.Running != 0 {
		t.Errorf("%+v", stats)
	}
}

// TestPushedRowsWithoutSession: a host that does not schedule says so.
func TestPushedRowsWithoutSession(t *testing.T) {
	s := testSession(t, standin.NewStore(time.Now))
	if s.host.HandlePushedRows("", nil) {
		t.Error("taken without a session")
	}
	s.host.active.Store(s)
	if !s.host.HandlePushedRows("", nil) || s.inputs.Len() != 1 {
		t.Error("not taken by the session")
	}
}
