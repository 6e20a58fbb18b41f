package quarantine

import (
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

var now = time.Unix(1000, 0)

func TestWorkerOnWhichDistinctJobsFail(t *testing.T) {
	tr := NewTracker(DefaultSettings(), State{})
	for _, job := range []model.JobID{"a", "a", "b"} {
		if tr.Failed(now, "w", job).Quarantined {
			t.Fatalf("quarantined after job %s", job)
		}
	}
	v := tr.Failed(now, "w", "c")
	if !v.Quarantined || !tr.InQuarantine(now, "w") || !v.Until.Equal(now.Add(5*time.Minute)) {
		t.Fatalf("got %+v", v)
	}
	if tr.InQuarantine(v.Until, "w") || !tr.Probing("w") {
		t.Error("no probe after the quarantine")
	}
	if again := tr.Failed(v.Until, "w", "d"); !again.Quarantined || !again.Until.Equal(v.Until.Add(10*time.Minute)) {
		t.Errorf("failed probe: got %+v", again)
	}
	if restored := NewTracker(DefaultSettings(), tr.State()); !reflect.DeepEqual(restored, tr) {
		t.Error("the state does not give the same tracker")
	}
	tr.Succeeded("w")
	if tr.Probing("w") {
		t.Error("still probing after a success")
	}
}

func TestOldFailuresDoNotCount(t *testing.T) {
	tr := NewTracker(DefaultSettings(), State{})
	for i, job := range []model.JobID{"a", "b", "c"} {
		if tr.Failed(now.Add(time.Duration(i)*31*time.Minute), "w", job).Quarantined {
			t.Error("quarantined for failures long apart")
		}
	}
}

func TestJobIsParked(t *testing.T) {
	cases := []struct {
		name    string
		workers []model.WorkerID
		park    bool
	}{
		{"two workers", []model.WorkerID{"w1", "w2", "w1"}, false},
		{"three workers", []model.WorkerID{"w1", "w2", "w3"}, true},
		{"six times on two", []model.WorkerID{"w1", "w2", "w1", "w2", "w1", "w2"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker(DefaultSettings(), State{})
			var v Verdict
			for _, w := range c.workers {
				v = tr.Failed(now, w, "j")
			}
			if v.Park != c.park {
				t.Errorf("park %v, want %v", v.Park, c.park)
			}
		})
	}
}
