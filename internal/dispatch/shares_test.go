package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// loadReplay plays arrivals against a core, with tasks that take as long as estimated.
type loadReplay struct {
	*replay
	random *rand.Rand
	jobs   int
}

func newLoadReplay(t *testing.T, seed uint64, guaranteed map[model.ClientAccountID]int) *loadReplay {
	p := &loadReplay{replay: &replay{rig: newRig(t), pace: atOnePace}, random: rand.New(rand.NewPCG(seed, 0))}
	p.core.settings.FairShares = true
	p.core.Configure(guaranteed, nil)
	return p
}

func (p *loadReplay) submit(account model.ClientAccountID, step workload.Step) {
	p.jobs++
	p.job(jobID(p.jobs), func(j *workload.Job) { j.Account, j.Steps[0] = account, step })
}

// small returns a step of tasks with one accelerator each.
func small(tasks int, takes time.Duration) workload.Step {
	return workload.Step{Tasks: tasks, Estimate: takes, PerTask: workload.Resources{MilliCores: 5000, MemoryMB: 10_000, Accelerators: 1}}
}

// step announces workers, plans, lets 100 ms pass and reports the ends that are due.
func (p *loadReplay) step(workers int) {
	for n := range workers {
		p.worker(fmt.Sprintf("h%02d", n), "r0", nil)
	}
	p.begin(p.estimated)
	p.advance(100 * time.Millisecond)
	p.pass(100 * time.Millisecond)
}

// inTime returns the percentage of an account's jobs that were completed within three
// times their objective.
func (p *loadReplay) inTime(account model.ClientAccountID) int {
	served, jobs := 0, 0
	for _, j := range p.core.jobs {
		if j.Account != account {
			continue
		}
		jobs++
		if j.progress.State.Final() && j.progress.EndedMS-j.AcceptedMS <= tooLateFactor*j.Objective().Milliseconds() {
			served++
		}
	}
	return 100 * served / jobs
}

// TestShortJobsOfOneAccount: one account submits more short jobs than there is room for,
// two a larger one now and then, within their guarantees. By work alone, these never start.
func TestShortJobsOfOneAccount(t *testing.T) {
	for seed := range uint64(3) {
		p := newLoadReplay(t, seed, map[model.ClientAccountID]int{"many": 8, "few-0": 8, "few-1": 8})
		for i := range 250 {
			for range 2 + p.random.IntN(3) {
				p.submit("many", small(1, 1200*time.Millisecond))
			}
			if i < 220 && i%20 == 0 {
				p.submit(model.ClientAccountID(fmt.Sprintf("few-%d", i/20%2)), small(6+p.random.IntN(5), 2500*time.Millisecond))
			}
			p.step(4)
		}
		many, few := p.inTime("many"), min(p.inTime("few-0"), p.inTime("few-1"))
		t.Logf("seed %d: percentage of jobs in time: %d and %d of the accounts within their share, %d of the other", seed, p.inTime("few-0"), p.inTime("few-1"), many)
		// The other account's work takes all the room that is left, over half of its demand.
		if few < 90 || many < 50 {
			t.Errorf("seed %d: %d and %d of 100 jobs in time, want 90 within their share and 50 above it", seed, few, many)
		}
	}
}

// TestSharesAfterTakeover: a successor that reads the stored row has to put back the same
// account; otherwise each takeover would favour whoever ran most just before.
func TestSharesAfterTakeover(t *testing.T) {
	guaranteed := map[model.ClientAccountID]int{"a": 8, "b": 8}
	p := newLoadReplay(t, 1, guaranteed)
	for range 300 {
		p.submit("a", small(3, time.Second))
		p.step(4)
	}
	next := newLoadReplay(t, 1, guaranteed)
	next.now = p.now
	next.core.LearnedSeen(next.now, Learned{AsOfMS: p.now.StoreMS + time.Hour.Milliseconds(), Shares: p.core.learned(p.now).Shares})
	next.submit("a", small(1, time.Second))
	next.submit("b", small(1, 1500*time.Millisecond))
	next.plan()
	next.advance(contendedAfter)
	next.worker("h0", "r1", nil)
	if first := next.core.units(next.now)[0].job.Account; first != "b" {
		t.Errorf("after a takeover account %q comes first", first)
	}
	// The row's time was wrong; what was used must decay all the same.
	next.advance(time.Minute)
	next.worker("h0", "r1", nil)
	if first := next.core.units(next.now)[0].job.Account; first != "a" {
		t.Errorf("a minute later account %q comes first", first)
	}
}
