package deployed

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/workload"
)

// TestJobRunsWhileFeedsHearNothing: no feed tells of a change, and an entry host
// that is not the scheduler takes jobs in. Once the hosts know each other, a job
// completes without a scan of the inbox.
func TestJobRunsWhileFeedsHearNothing(t *testing.T) {
	s := newSite(t)
	s.entry("entry-1")
	s.agent("side-1")
	if status, body := s.call(0, "POST", "/q/"+jobA, chain); status != 200 {
		t.Fatalf("submission: %d %s", status, body)
	}
	s.await(0, jobA, "completed")
	s.entry("entry-2")
	s.store.SetFaults(standin.ServiceTable, standin.Faults{QuietFeeds: true})
	// The jobs before the last one give the second host time to see who schedules.
	const most = 30
	for i := range most {
		id := fmt.Sprintf("%016x", 0xb0+i)
		before := s.scansOf(workload.TableInbox).Load()
		if status, body := s.call(1, "POST", "/q/"+id, chain); status != 200 {
			t.Fatalf("submission: %d %s", status, body)
		}
		if s.completes(1, id, 100) && s.scansOf(workload.TableInbox).Load() == before {
			return
		}
	}
	t.Errorf("none of %d jobs completed without a scan", most)
}

// completes asks for a job's state some times, and reports whether it completed.
func (s *site) completes(entry int, id string, times int) bool {
	for range times {
		if _, body := s.call(entry, "GET", "/q/"+id, ""); strings.Contains(body, "completed") {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
