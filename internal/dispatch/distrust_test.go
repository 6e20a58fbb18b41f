package dispatch

import (
	"math"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// TestOddDistrustKeepsNoWorkerOut guards against a row of another writer, or of a wrong
// clock, that would keep workers out of use for good: each time is bounded by what could
// have been set now, and unknown hosts and jobs are ignored.
func TestOddDistrustKeepsNoWorkerOut(t *testing.T) {
	r := newRig(t)
	r.core.settings.LearnSpeeds = true
	r.worker("h1", "r1", nil)
	forever := int64(math.MaxInt64)
	r.core.LearnedSeen(r.now, Learned{AsOfMS: forever, Distrust: &Distrust{
		Workers: []distrustedWorker{
			{Host: "h1", AvoidUntilMS: forever, SuspectUntilMS: forever, FastFailureUntilMS: forever, QuarantineUntilMS: forever, Probing: true, Rounds: -1},
			{Host: "unknown", AvoidUntilMS: forever},
		},
		Jobs: []failedJob{{Job: "unknown", Workers: []model.WorkerID{"w-h1"}, Failures: -1}},
	}})
	r.job(jobID(1), nil)
	if got := r.plan(); len(got) != 0 {
		t.Errorf("ordered %v on a worker that is avoided", got)
	}
	r.advance(r.core.settings.Quarantine.MaxDuration + time.Second)
	r.worker("h1", "r1", nil)
	if got := r.plan(); len(got) != 1 {
		t.Errorf("%d orders after the longest quarantine, want 1", len(got))
	}
	if _, known := r.core.workers["unknown"]; known || r.core.jobs[model.JobID("unknown")] != nil {
		t.Error("the row adds workers or jobs")
	}
}

// TestRowOfLearnedStaysSmall guards against a row that outgrows its limit, after which
// nothing is stored any more: 1,000 workers on which jobs failed take under half of it.
func TestRowOfLearnedStaysSmall(t *testing.T) {
	c, now := largeCore(1000, 100)
	c.settings.LearnSpeeds = true
	var ends []*order
	for _, j := range c.sortedJobs() {
		ends = append(ends, sortedOrders(j.orders)...)
	}
	for _, o := range ends {
		c.EndSeen(now, workload.EndKey(o.Host, o.id), workload.End{Task: o.Task, Run: o.Run, Host: o.Host, Kind: workload.EndFailed})
	}
	c.speeds.Restore(now.StoreMS, now.StoreMS, unevenSpeeds(1000))
	row := c.learned(Now{StoreMS: now.StoreMS + 1})
	if size := len(encode(row)); row.Distrust == nil || row.Speeds == nil || size > workload.MaxRowBytes/2 {
		t.Errorf("the row takes %d bytes, want at most %d", size, workload.MaxRowBytes/2)
	}
}
