package workerspeed

import (
	"cmp"
	"math"
	"slices"
)

// State is what is known of the workers' speeds, as it outlives the process that
// learned it.
type State struct {
	Workers []Record `codec:"w"`
}

// Record is the speed of a worker.
type Record struct {
	Host string `codec:"h"`
	// FittedPercent and FactorPercent are the speed in percent of an average worker's:
	// as fitted to the runs, and as decisions use it.
	FittedPercent int `codec:"s"`
	FactorPercent int `codec:"f"`
	// Runs is the evidence in runs.
	Runs int `codec:"r"`
}

// Limits of the records.
const (
	maxRecords = 512
	// maxRecordRuns bounds the weight of a record: what was learned before must give
	// way to a dozen new runs.
	maxRecordRuns = 12
	// maxPercent is above any estimate, see maxLogSpeed.
	maxPercent = 800
)

// valid reports whether a record can be one of State.
func (r *Record) valid() bool {
	percent := func(p int) bool { return p > 0 && p <= maxPercent }
	return r.Host != "" && percent(r.FittedPercent) && percent(r.FactorPercent) && r.Runs > 0 && r.Runs <= maxRecordRuns
}

// State returns what is known of the workers with the most evidence, nil while workers
// count as alike.
func (t *Tracker) State() *State {
	if !t.uneven {
		return nil
	}
	var out []Record
	for host, w := range t.workers {
		if w.Runs < 1 {
			continue
		}
		out = append(out, Record{
			Host: host, FittedPercent: int(math.Round(100 * math.Exp(w.logSpeed))), FactorPercent: int(math.Round(100 * w.Factor)),
			Runs: int(min(w.Runs, maxRecordRuns)),
		})
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Or(cmp.Compare(b.Runs, a.Runs), cmp.Compare(a.Host, b.Host)) })
	out = out[:min(len(out), maxRecords)]
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Host, b.Host) })
	return &State{out}
}

// Restore takes over the state that a former tracker had at atMS. It ignores a state that
// is too old or from the future, and records that are malformed.
func (t *Tracker) Restore(nowMS, atMS int64, s State) {
	if atMS > nowMS || nowMS-atMS > maxAgeMS {
		return
	}
	for _, r := range s.Workers {
		if len(t.workers) >= maxWorkers || !r.valid() {
			continue
		}
		w := t.workers[r.Host]
		if w == nil {
			w = &worker{}
			t.workers[r.Host] = w
		}
		w.logSpeed = math.Log(float64(r.FittedPercent) / 100)
		w.prior = prior{w.logSpeed, float64(r.Runs), atMS}
		w.Speed = Speed{Factor: float64(r.FactorPercent) / 100, Runs: float64(r.Runs), NewestMS: atMS}
		w.Class = Class(cmp.Compare(w.Factor, 1))
		t.uneven = true
	}
}

func (w *worker) newestMS() int64 {
	if n := len(w.runs); n > 0 {
		return w.runs[n-1].atMS
	}
	return w.prior.atMS
}
