package scheduler

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// jsonRoundTrip returns a snapshot or delta after encoding and decoding it as
// it is stored.
func jsonRoundTrip[T any](t *testing.T, value *T) *T {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	read := new(T)
	if err := json.Unmarshal(encoded, read); err != nil {
		t.Fatal(err)
	}
	return read
}

// TestDeltasRebuildTheSnapshot guards against state that deltas omit: it
// changes each part of the state in turn and compares the snapshot rebuilt from
// deltas with the complete one, field by field.
func TestDeltasRebuildTheSnapshot(t *testing.T) {
	c, config, now, _ := coreWithRunningJobs(t)
	out := *config
	out.Version, out.Zones = 2, map[model.AvailabilityZoneName]model.ZoneState{"z1": model.ZoneOut}
	steps := []struct {
		name string
		in   Input
	}{
		{"job submitted", Submit{Job: testJob("late", 1, 4)}},
		{"job cancelled", Cancel{IDs: []model.JobID{"wait"}}},
		{"task finished", Receive{From: taskWorker(t, c, "run"), Message: &wire.TaskReport{Job: "run", Attempt: 1, Task: "run/0", State: wire.TaskFinished}}},
		{"worker joined", WorkerUp{Report: wire.WorkerReport{Worker: testWorker("w3")}}},
		{"worker lost", WorkerLost{Worker: "w2"}},
		{"zone out", ConfigUpdate{Document: &out}},
		{"time passed", Tick{}},
	}
	stored := c.Snapshot()
	rebuilt := jsonRoundTrip(t, stored)
	for _, step := range steps {
		now = now.Add(time.Second)
		c.Step(now, step.in)
		next := c.Snapshot()
		delta := jsonRoundTrip(t, DeltaBetween(stored, next))
		rebuilt, stored = rebuilt.Apply(delta), next
		compareSnapshots(t, step.name, rebuilt, jsonRoundTrip(t, next))
	}
}

// compareSnapshots compares two snapshots without the fields that a delta does
// not carry.
func compareSnapshots(t *testing.T, step string, got, want *Snapshot) {
	t.Helper()
	for _, s := range []*Snapshot{got, want} {
		for i := range s.Workers {
			s.Workers[i].LastRequest, s.Workers[i].LastGrant = time.Time{}, time.Time{}
		}
	}
	a, b := reflect.ValueOf(*got), reflect.ValueOf(*want)
	for i := range a.NumField() {
		if x, y := a.Field(i), b.Field(i); !reflect.DeepEqual(x.Interface(), y.Interface()) && x.Len()+y.Len() > 0 {
			t.Errorf("%s: %s is %+v, want %+v", step, a.Type().Field(i).Name, x, y)
		}
	}
}

func taskWorker(t *testing.T, c *Core, id model.JobID) model.WorkerID {
	t.Helper()
	job, ok := c.Job(id)
	if !ok || len(job.Tasks) == 0 {
		t.Fatalf("job %s has no tasks", id)
	}
	return job.Tasks[0].Worker
}
