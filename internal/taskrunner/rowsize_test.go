package taskrunner

import (
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// announcements steps the core for d and returns the announced rows. It fails the test if
// a row exceeds the limit of the store.
func (r *rig) announcements(d time.Duration) []workload.Announcement {
	r.t.Helper()
	var rows []workload.Announcement
	for end := r.now.Add(d); r.now.Before(end); r.advance(50 * time.Millisecond) {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case Poll:
				r.answerPoll(action)
			case Announce:
				if size := len(rowcodec.Encode(&action.Row)); size > workload.MaxRowBytes {
					r.t.Fatalf("row of %d bytes with %d running tasks (allowed: %d)", size, len(action.Row.Running), workload.MaxRowBytes)
				}
				for _, end := range action.Ends {
					if size := len(rowcodec.Encode(&end.End)); size > workload.MaxRowBytes {
						r.t.Fatalf("row of an end of %d bytes (allowed: %d)", size, workload.MaxRowBytes)
					}
				}
				r.version++
				r.core.Announced(r.now, action, storeapi.ResultOK, r.version, AnnouncementConflict{})
				rows = append(rows, action.Row)
			}
		}
	}
	return rows
}

// TestAnnouncementOfManyRunsFitsIntoRow guards against an announcement that the store
// rejects because of the number of tasks on the worker, after which the scheduler takes
// the worker for lost. Each run must be announced within a few announcements.
func TestAnnouncementOfManyRunsFitsIntoRow(t *testing.T) {
	r := newRig(t)
	r.ready()
	tasks := r.startMany(2500)
	for i := range r.running {
		r.running[i].Percent, r.running[i].Checkpoint = 50, "00000bb87a21d94b"
	}
	r.announcements(2 * time.Second)
	r.advance(time.Minute)
	announced := map[string]bool{}
	for _, row := range r.announcements(6 * time.Second) {
		for _, running := range row.Running {
			announced[running.Task] = true
		}
	}
	if len(announced) != len(tasks) {
		t.Errorf("%d of %d running tasks were announced within 6 s", len(announced), len(tasks))
	}
}

// TestLongCheckpointIsIgnored guards against rows that the store rejects because of the
// checkpoint of one task.
func TestLongCheckpointIsIgnored(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.startRunning(taskA)
	long := strings.Repeat("c", 2*workload.MaxRowBytes)
	r.running[0].Checkpoint = long
	r.running = append(r.running, workload.RunningTask{Task: taskB, Run: 7, Checkpoint: long}, workload.RunningTask{Task: long, Run: 1})
	r.announcements(3 * time.Second)
	r.running, r.ended = nil, []EndedRun{{Number: 1, Task: taskA, Run: 1, Kind: workload.EndStopped, Checkpoint: long}}
	r.announcements(3 * time.Second)
	if r.core.lists.acknowledged != 1 {
		t.Error("the end was not reported")
	}
	if notes := r.core.Notes(); !containsNote(notes, "checkpoint_ignored") {
		t.Errorf("no note of the ignored checkpoint: %+v", notes)
	}
}

func containsNote(notes []Note, kind string) bool {
	for _, n := range notes {
		if n.Kind == kind {
			return true
		}
	}
	return false
}
