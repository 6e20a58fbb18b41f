package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

func TestScratchOracle(t *testing.T) {
	for _, load := range []float64{1.0, 1.5, 2.5} {
		for seed := range uint64(3) {
			play := func(reject map[int]bool) (map[int]bool, float64, float64, float64) {
				p := newLoadReplay(t, seed, nil)
				n, worth, total, wasted := 0, 0.0, 0.0, 0.0
				ids := map[model.JobID]int{}
				for i := range 400 {
					p.core.recordEndTimes(p.now)
					// mean work 13 tasks x 3.5 s = 45 accelerator seconds; capacity 64 a second.
					if p.random.Float64() < load*6.4/45 && i < 300 {
						tasks := 1 + p.random.IntN(25)
						gang := p.random.IntN(2) == 0
						takes := time.Duration(10+p.random.IntN(50)) * 100 * time.Millisecond
						n++
						if !reject[n] {
							p.jobs = n
							j := p.job(jobID(n), func(j *workload.Job) {
								j.Steps[0].Tasks, j.Steps[0].Estimate, j.Steps[0].Gang = tasks, takes, gang
							})
							p.took[j.ID] = takes
							ids[j.ID] = n
						}
						total += 0.3 + float64(tasks)*takes.Seconds()/45
					}
					p.step(8)
				}
				bad := map[int]bool{}
				for _, j := range p.core.jobs {
					v := 0.3 + float64(j.Steps[0].Tasks)*j.Steps[0].Estimate.Seconds()/45
					took := j.progress.EndedMS - j.AcceptedMS
					switch {
					case !j.progress.State.Final() || took > 3*j.Objective().Milliseconds():
						bad[ids[j.ID]] = true
						for _, tk := range j.progress.Occurrences {
							for _, s := range tk.Steps {
								for _, x := range s {
									if x.LastRun > 0 {
										wasted += j.Steps[0].Estimate.Seconds()
									}
								}
							}
						}
					case took > j.Objective().Milliseconds():
						worth += v * 0.25
					default:
						worth += v
					}
				}
				return bad, worth / total, float64(len(bad)) / float64(n), wasted
			}
			bad, w, b, waste := play(nil)
			_, w2, b2, waste2 := play(bad)
			t.Logf("load %.1f seed %d: worth %.3f bad %.3f waste %.0f; with the bad rejected at once worth %.3f bad %.3f waste %.0f", load, seed, w, b, waste, w2, b2, waste2)
		}
	}
}
