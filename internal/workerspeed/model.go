package workerspeed

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Constants of the fit.
const (
	sweeps = 8
	// ridge is the weight, in runs, of the assumption that a worker is average.
	ridge = 0.5
	// minNoise is the least noise of log(pace) that is assumed. A run that deviates by
	// more than clipAt times the noise counts as if it deviated by that much.
	minNoise = 0.04
	clipAt   = 2.5
	// openAt and closeAt are the deviations of the speeds' spread from what noise alone
	// explains, in its standard deviations, from which workers count as uneven, and
	// below which they count as alike again.
	openAt, closeAt = 6.0, 3.0
	// turnedRuns is the number of newest runs that are compared with a worker's earlier
	// ones, and turnedAt the difference, in standard errors, from which the earlier ones
	// no longer count.
	turnedRuns = 3
	turnedAt   = 4.0
)

// observation is a run with the indexes of its worker and group in the model.
type observation struct {
	worker, group   int
	logPace, weight float64
}

// speedModel fits the speeds of workers to the paces of their runs, by weighted least
// squares in turns: the groups' paces given the speeds, then the speeds.
type speedModel struct {
	nowMS        int64
	hosts        []string
	workers      []*worker
	observations []observation
	groups       int
	// logSpeed is the fitted log(speed) of each worker, pace the fitted log(pace) of
	// each group, evidence each worker's number of runs after decay, less what is spent
	// on the groups' paces. noise is the standard deviation of a run.
	logSpeed, pace, evidence []float64
	noise                    float64
}

// newModel collects the runs of groups that have runs on several workers. The others
// tell nothing.
func newModel(nowMS int64, workers map[string]*worker) *speedModel {
	m := &speedModel{nowMS: nowMS, hosts: slices.Sorted(maps.Keys(workers)), noise: math.Inf(1)}
	first, shared := map[Group]string{}, map[Group]bool{}
	for host, w := range workers {
		for i := range w.runs {
			g := w.runs[i].group
			if other, known := first[g]; !known {
				first[g] = host
			} else if other != host {
				shared[g] = true
			}
		}
	}
	index := map[Group]int{}
	for i, host := range m.hosts {
		w := workers[host]
		m.workers = append(m.workers, w)
		for _, r := range w.runs {
			if !shared[r.group] {
				continue
			}
			if _, known := index[r.group]; !known {
				index[r.group] = len(index)
			}
			m.observations = append(m.observations, observation{i, index[r.group], r.logPace, decay(nowMS - r.atMS)})
		}
	}
	m.groups = len(index)
	m.logSpeed, m.pace = make([]float64, len(m.workers)), make([]float64, m.groups)
	for i, w := range m.workers {
		m.logSpeed[i] = w.prior.logSpeed
	}
	return m
}

// fit computes paces, speeds, noise and evidence.
func (m *speedModel) fit() {
	for range sweeps {
		m.fitGroups()
		m.fitNoise()
		m.fitWorkers()
	}
	m.fitGroups()
	m.fitEvidence()
}

func (m *speedModel) residual(o observation) float64 {
	return o.logPace - m.pace[o.group] - m.logSpeed[o.worker]
}

// clipped returns a residual without the part that is beyond what noise explains.
func (m *speedModel) clipped(o observation) float64 {
	limit := clipAt * m.noise
	return min(limit, max(-limit, m.residual(o)))
}

func (m *speedModel) fitGroups() {
	sum, weight := make([]float64, m.groups), make([]float64, m.groups)
	for _, o := range m.observations {
		// Without a noise yet, the first sweep starts from the plain means.
		value := o.logPace - m.logSpeed[o.worker]
		if !math.IsInf(m.noise, 1) {
			value = m.pace[o.group] + m.clipped(o)
		}
		sum[o.group] += o.weight * value
		weight[o.group] += o.weight
	}
	for g := range sum {
		m.pace[g] = sum[g] / weight[g]
	}
}

// fitNoise estimates the noise from the residuals. Each fitted value takes one run's
// worth of freedom.
func (m *speedModel) fitNoise() {
	var squares, weight float64
	used, fitted := make([]bool, len(m.workers)), m.groups
	for _, o := range m.observations {
		r := m.clipped(o)
		squares += o.weight * r * r
		weight += o.weight
		if !used[o.worker] {
			used[o.worker] = true
			fitted++
		}
	}
	n := float64(len(m.observations))
	free := n - float64(fitted)
	if free < 1 {
		m.noise = math.Inf(1)
		return
	}
	m.noise = max(minNoise, math.Sqrt(squares/(weight*free/n)))
}

func (m *speedModel) fitWorkers() {
	sum, weight := make([]float64, len(m.workers)), make([]float64, len(m.workers))
	for _, o := range m.observations {
		sum[o.worker] += o.weight * (m.logSpeed[o.worker] + m.clipped(o))
		weight[o.worker] += o.weight
	}
	var total, of float64
	for i, w := range m.workers {
		known := w.prior.weight(m.nowMS)
		m.logSpeed[i] = (sum[i] + known*w.prior.logSpeed) / (weight[i] + known + ridge)
		total += (weight[i] + known) * m.logSpeed[i]
		of += weight[i] + known
	}
	if of == 0 {
		return
	}
	for i := range m.logSpeed {
		m.logSpeed[i] = min(maxLogSpeed, max(-maxLogSpeed, m.logSpeed[i]-total/of))
	}
}

func (m *speedModel) fitEvidence() {
	inGroup := make([]float64, m.groups)
	type cell struct{ worker, group int }
	inCell := map[cell]float64{}
	for _, o := range m.observations {
		inGroup[o.group] += o.weight
		inCell[cell{o.worker, o.group}] += o.weight
	}
	m.evidence = make([]float64, len(m.workers))
	for _, o := range m.observations {
		m.evidence[o.worker] += o.weight * (1 - inCell[cell{o.worker, o.group}]/inGroup[o.group])
	}
	for i, w := range m.workers {
		m.evidence[i] += w.prior.weight(m.nowMS)
	}
}

// standardError returns the standard error of a worker's log(speed).
func (m *speedModel) standardError(i int) float64 { return m.noise / math.Sqrt(m.evidence[i]) }

// spread returns the standard deviation of the workers' log(speed), or 0 if noise
// explains the differences. uneven tells what the last estimate found.
func (m *speedModel) spread(uneven bool) float64 {
	var deviations, variance, n float64
	for i := range m.workers {
		if m.evidence[i] < 1 {
			continue
		}
		square, expected := m.logSpeed[i]*m.logSpeed[i], m.noise*m.noise/m.evidence[i]
		deviations += square / expected
		variance += square - expected
		n++
	}
	limit := openAt
	if uneven {
		limit = closeAt
	}
	if n < fewestWorkers || deviations < n+limit*math.Sqrt(2*n) {
		return 0
	}
	return math.Sqrt(max(0, variance/n))
}

// speed returns the speed of a worker. The estimate is drawn towards the average as far
// as its error is large beside the spread of all speeds.
func (m *speedModel) speed(i int, spread float64) Speed {
	s := Speed{Factor: 1, Runs: m.evidence[i], NewestMS: m.workers[i].newestMS()}
	if spread == 0 || m.evidence[i] < 1 {
		return s
	}
	deviation := m.standardError(i)
	logSpeed := m.logSpeed[i] * spread * spread / (spread*spread + deviation*deviation)
	class := Class(cmp.Compare(logSpeed, 0))
	limit := max(classWidth, minDeviations*deviation)
	if m.workers[i].Class == class {
		limit *= stayShare
	}
	if math.Abs(logSpeed) >= limit {
		s.Factor, s.Class = math.Round(100*math.Exp(logSpeed))/100, class
	}
	return s
}

// dropTurned drops the earlier runs of workers whose speed has changed, and reports
// whether there are any.
func (m *speedModel) dropTurned() bool {
	if math.IsInf(m.noise, 1) {
		return false
	}
	byWorker := make([][]float64, len(m.workers))
	for _, o := range m.observations {
		byWorker[o.worker] = append(byWorker[o.worker], m.residual(o))
	}
	dropped := false
	for i, residuals := range byWorker {
		w := m.workers[i]
		old := len(residuals) - turnedRuns
		if old < 0 {
			continue
		}
		known := w.prior.weight(m.nowMS)
		n := float64(old) + known
		if n < 1 {
			continue
		}
		before := (sum(residuals[:old]) + known*(w.prior.logSpeed-m.logSpeed[i])) / n
		difference := math.Abs(sum(residuals[old:])/turnedRuns - before)
		if difference > turnedAt*m.noise*math.Sqrt(1/n+1.0/turnedRuns) {
			w.runs, w.prior = slices.Clone(w.runs[max(0, len(w.runs)-turnedRuns):]), prior{}
			dropped = true
		}
	}
	return dropped
}

func sum(values []float64) float64 {
	var out float64
	for _, v := range values {
		out += v
	}
	return out
}
