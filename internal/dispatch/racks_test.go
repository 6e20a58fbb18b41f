package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// rackReplay plays gangs that need racks beside wide jobs that don't, on 64 workers in
// racks of 8. A gang away from one rack takes three times as long.
func rackReplay(t *testing.T, seed uint64, load float64) (inTime, all, away int) {
	p := newLoadReplay(t, seed, nil)
	hosts := p.random.Perm(64)
	jobs := map[model.JobID]bool{}
	for i := range 400 {
		if i < 340 && p.random.Float64() < load*6.4/50 {
			p.jobs++
			takes := time.Duration(30+p.random.IntN(80)) * 100 * time.Millisecond
			tasks := min(40, max(1, int(math.Exp(p.random.NormFloat64()*0.8+1.7))))
			tight, gang := p.random.Float64() < 0.6, p.random.Float64() < 0.8
			j := p.job(jobID(p.jobs), func(j *workload.Job) {
				j.Steps[0] = workload.Step{Tasks: tasks, Estimate: takes, Gang: gang, SameRack: gang && tight && tasks <= 8,
					PerTask: workload.Resources{MilliCores: 26_000, MemoryMB: 70_000, Accelerators: 1 << p.random.IntN(4)}}
				if p.random.IntN(4) == 0 {
					j.Steps[0] = workload.Step{Tasks: 5 * tasks, Estimate: takes, PerTask: workload.Resources{MilliCores: 6_000, MemoryMB: 8_000, Accelerators: 1}}
				}
			})
			p.took[j.ID] = takes
			jobs[j.ID] = true
		}
		for w, n := range hosts {
			p.worker(fmt.Sprintf("h%02d", n), fmt.Sprintf("r%d", w/8), nil)
		}
		p.core.recordEndTimes(p.now)
		away += p.stepRacks()
	}
	for id := range jobs {
		j := p.core.jobs[id]
		all++
		if j.progress.State.Final() && j.progress.EndedMS-j.AcceptedMS <= j.Objective().Milliseconds() {
			inTime++
		}
	}
	return inTime, all, away
}

func (p *loadReplay) stepRacks() (away int) {
	orders := p.plan()
	racks := map[model.JobID]map[model.RackID]bool{}
	for _, o := range orders {
		id, _ := o.ID()
		if racks[id.Task.Job] == nil {
			racks[id.Task.Job] = map[model.RackID]bool{}
		}
		racks[id.Task.Job][p.core.workers[o.Host].Rack] = true
	}
	slow := map[model.JobID]bool{}
	for _, o := range orders {
		id, _ := o.ID()
		takes := p.took[id.Task.Job]
		if p.core.jobs[id.Task.Job].Steps[0].SameRack && len(racks[id.Task.Job]) > 1 {
			takes *= 3
			if !slow[id.Task.Job] {
				away++
				slow[id.Task.Job] = true
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
	return away
}

func TestScratchRacks(t *testing.T) {
	_ = rand.N[int]
	for _, load := range []float64{0.8, 1.1, 1.4, 1.8} {
		var a, b, c int
		for seed := range uint64(6) {
			x, y, z := rackReplay(t, seed, load)
			a, b, c = a+x, b+y, c+z
		}
		t.Logf("load %.1f: in time %.3f of %d, away %d", load, float64(a)/float64(b), b, c)
	}
}
