package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/fairshare"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// loadReplay plays arrivals against a core: workers of 8 accelerators, and tasks that take
// as long as estimated.
type loadReplay struct {
	*rig
	random *rand.Rand
	ends   map[int64][]workload.Order
	took   map[model.JobID]time.Duration
	jobs   int
	// gangs counts the starts of gangs that need a rack, inRack those that got one.
	gangs, inRack int
}

func newLoadReplay(t *testing.T, seed uint64, guaranteed map[model.ClientAccountID]int) *loadReplay {
	p := &loadReplay{
		rig: newRig(t), random: rand.New(rand.NewPCG(seed, 0)), ends: map[int64][]workload.Order{},
		took: map[model.JobID]time.Duration{},
	}
	p.core.Configure(guaranteed, nil)
	return p
}

// submit adds a job of tasks with one accelerator each.
func (p *loadReplay) submit(account model.ClientAccountID, tasks int, takes time.Duration) {
	p.submitStep(account, workload.Step{Tasks: tasks, Estimate: takes, PerTask: workload.Resources{MilliCores: 5000, MemoryMB: 10_000, Accelerators: 1}})
}

func (p *loadReplay) submitStep(account model.ClientAccountID, step workload.Step) {
	p.jobs++
	j := p.job(jobID(p.jobs), func(j *workload.Job) { j.Account, j.Steps[0] = account, step })
	p.took[j.ID] = step.Estimate
}

// oneRack reports whether all orders of a job among some go to one rack.
func (p *loadReplay) oneRack(orders []workload.Order, job model.JobID) bool {
	racks := map[model.RackID]bool{}
	for _, o := range orders {
		if id, _ := o.ID(); id.Task.Job == job {
			racks[p.core.workers[o.Host].Rack] = true
		}
	}
	return len(racks) == 1
}

// step plans, lets 100 ms pass and reports the ends that are due then.
func (p *loadReplay) step(workers int) {
	for i := range workers {
		p.worker(fmt.Sprintf("h%d", i), "r1", nil)
	}
	orders := p.plan()
	for _, o := range orders {
		id, _ := o.ID()
		takes := p.took[id.Task.Job]
		if p.core.jobs[id.Task.Job].Steps[0].SameRack {
			whole := p.oneRack(orders, id.Task.Job)
			if !whole {
				takes *= 3
			}
			if id.Task.Index == 0 {
				p.gangs++
				if whole {
					p.inRack++
				}
			}
		}
		at := p.now.StoreMS + takes.Milliseconds()
		p.ends[at] = append(p.ends[at], o)
	}
	p.advance(100 * time.Millisecond)
	for _, o := range p.ends[p.now.StoreMS] {
		p.end(o, workload.EndDone, "")
	}
	delete(p.ends, p.now.StoreMS)
}

// inTime returns the percentage of each account's jobs that were completed within three
// times their objective.
func (p *loadReplay) inTime() map[model.ClientAccountID]int {
	out, jobs := map[model.ClientAccountID]int{}, map[model.ClientAccountID]int{}
	for _, j := range p.core.jobs {
		jobs[j.Account]++
		if j.progress.State.Final() && j.progress.EndedMS-j.AcceptedMS <= tooLateFactor*j.Objective().Milliseconds() {
			out[j.Account]++
		}
	}
	for account, n := range jobs {
		out[account] = 100 * out[account] / n
	}
	return out
}

// TestShortJobsOfOneAccount: one account submits more short jobs than there is room for,
// two submit a larger one now and then, within their guarantees. Ordered by work alone,
// the larger ones wait until they are worthless.
func TestShortJobsOfOneAccount(t *testing.T) {
	guaranteed := map[model.ClientAccountID]int{"many": 8, "few-0": 8, "few-1": 8}
	replayLoad := func(seed uint64, guaranteed map[model.ClientAccountID]int) map[model.ClientAccountID]int {
		p := newLoadReplay(t, seed, guaranteed)
		for i := range 250 {
			for range 2 + p.random.IntN(3) {
				p.submit("many", 1, 1200*time.Millisecond)
			}
			if account := p.random.IntN(2); i < 220 && i%20 == 0 {
				p.submit(model.ClientAccountID(fmt.Sprintf("few-%d", account)), 6+p.random.IntN(5), 2500*time.Millisecond)
			}
			p.step(4)
		}
		return p.inTime()
	}
	t.Logf("percentage of jobs in time, by work alone: %v", replayLoad(0, nil))
	for seed := range uint64(3) {
		got := replayLoad(seed, guaranteed)
		t.Logf("seed %d: percentage of jobs in time: %v", seed, got)
		// The other account's work takes all the room that is left, over half of its demand.
		if got["few-0"] < 90 || got["few-1"] < 90 || got["many"] < 50 {
			t.Errorf("seed %d: percentage of jobs in time %v, want at least 90 of the accounts within their share", seed, got)
		}
	}
}

// TestSharesAfterTakeover: a successor that reads the stored row has to put back the same
// account; without what was used lately, each takeover would favour whoever just ran most.
func TestSharesAfterTakeover(t *testing.T) {
	p := newLoadReplay(t, 1, map[model.ClientAccountID]int{"a": 8, "b": 8})
	for range 300 {
		p.submit("a", 3, time.Second)
		p.step(4)
	}
	stored := Learned{AsOfMS: p.now.StoreMS, Shares: p.core.learned(p.now).Shares}
	next := newLoadReplay(t, 1, map[model.ClientAccountID]int{"a": 8, "b": 8})
	next.now = p.now
	next.core.LearnedSeen(next.now, stored)
	next.worker("h0", "r1", nil)
	next.submit("a", 1, time.Second)
	next.submit("b", 1, 1500*time.Millisecond)
	if first := next.core.units(next.now)[0].job.Account; first != "b" {
		t.Errorf("after a takeover account %q comes first, stored shares %+v", first, stored.Shares)
	}
	before := p.core.shares.ledger.Recent()
	if after := next.core.shares.ledger.Recent(); len(before) != 1 || after[0] != (fairshare.Recent{Service: "s", Account: "a", Percent: before[0].Percent}) {
		t.Errorf("shares before the takeover %+v, after %+v", before, after)
	}
}
