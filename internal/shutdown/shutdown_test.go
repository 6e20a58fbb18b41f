package shutdown

import (
	"testing"
	"time"
)

// TestStagesEndWithinTheGrace guards against stages that end after the process is
// killed, or before those that they wait for.
func TestStagesEndWithinTheGrace(t *testing.T) {
	stopAt := time.Unix(1000, 0)
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, time.Minute} {
		s := NewSchedule(stopAt, grace)
		ends := []time.Time{stopAt, s.AcceptUntil, s.AnswerBy, s.ExitBy, stopAt.Add(grace)}
		for i := 1; i < len(ends); i++ {
			if !ends[i].After(ends[i-1]) {
				t.Errorf("grace %s: stage %d ends at %s, the one before at %s", grace, i, ends[i], ends[i-1])
			}
		}
	}
}
