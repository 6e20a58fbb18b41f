// Package interference learns which kinds of tasks slow each other down when they run
// on the same worker.
//
// Load pattern: workers that run tasks of several kinds at a time, each for seconds to
// hours. Some kinds disturb others through what the workers' capacity does not count, for
// example caches and memory bandwidth. Workers differ in speed, estimates are off by
// several times, and workers fail.
//
// Method: each run is compared only with itself. Its progress beside one set of
// neighbours is set against its progress beside another, on the same worker, so that the
// speed of the worker, the size of the task and its estimate cancel out. For each victim
// kind, a weighted regression over the runs separates the effects of neighbours that
// occur together.
package interference

import (
	"math"
	"math/bits"
	"slices"
	"strconv"

	"dragonflyyard/internal/workload"
)

// Limits of a Model.
const (
	// MaxKinds bounds the kinds that a model tells apart. Others are not observed.
	MaxKinds = 12
	// maxKindBytes bounds the name of a kind.
	maxKindBytes = 64
	// kindExpiryMS is the time after which a kind that did not run gives its place to
	// another.
	kindExpiryMS = 10 * 60 * 1000
)

// Limits of the evidence.
const (
	// halfLifeMS is the time after which evidence has half its weight. Tasks of one image
	// behave alike until the image changes.
	halfLifeMS = 20 * 60 * 1000
	// runMemory is the number of later runs after which evidence has a third of its weight.
	runMemory = 300
	// minWork and minSeconds are the least progress, in percent, and the least time that
	// a run must have made beside a set of neighbours. Progress is reported in whole
	// percent.
	minWork    = 4
	minSeconds = 0.5
	// maxSeconds bounds the weight of a single run beside a set of neighbours.
	maxSeconds = 10
	// maxDeviation bounds the logarithm of a progress rate against the run's mean. A
	// worker that hangs or recovers can change its rate by any factor.
	maxDeviation = 1.5
	// minRuns is the least number of runs that were observed with and without a neighbour.
	minRuns = 10
	// knownFactor is the least slowdown that a pair must exceed with confidence to become
	// known. It stays known while its estimate exceeds forgetFactor.
	knownFactor  = 1.10
	forgetFactor = 1.07
	// confidence is the number of standard errors between the estimate and the bounds of
	// its interval. With MaxKinds*MaxKinds pairs and normal errors, less than one table in
	// 30 has a false pair even if knownFactor were 1.
	confidence = 3.5
	// suspectFactor and suspicion take the place of knownFactor and confidence where a
	// false alarm costs little.
	suspectFactor = 1.05
	suspicion     = 2
	// priorDeviation and priorRuns are the assumed deviation of a rate over one second and
	// its weight, so that a few runs that agree by chance are not taken for certain.
	priorDeviation = 0.15
	priorRuns      = 8
	// ridge bounds the estimates of neighbours of which little was seen, in seconds.
	ridge = 0.5
)

// packed is the number of entries of a symmetric matrix over the kinds.
const packed = MaxKinds * (MaxKinds + 1) / 2

// KindOf returns the kind of a step's tasks: their image, or else the queue and the
// requested resources, which are all that is known of what they run.
func KindOf(image, queue string, shape workload.Resources) string {
	kind := image
	if kind == "" {
		kind = queue + ":" + strconv.Itoa(shape.MilliCores) + "/" + strconv.Itoa(shape.MemoryMB) + "/" + strconv.Itoa(shape.Accelerators)
	}
	return kind[:min(len(kind), maxKindBytes)]
}

// Set is a set of kinds, by their indexes in a model.
type Set uint16

// With returns the set with a kind added; an index below 0 adds none.
func (s Set) With(index int) Set {
	if index < 0 {
		return s
	}
	return s | 1<<index
}

// Without returns the set without a kind.
func (s Set) Without(index int) Set { return s &^ (1 << index) }

func (s Set) has(index int) bool { return s&(1<<index) != 0 }

// Model holds the evidence on all pairs of kinds. It is not safe for concurrent use.
type Model struct {
	kinds   [MaxKinds]kind
	indexes map[string]int
	// generation increases when the index of a kind is given to another one.
	generation uint32
	// knownPairs is the number of pairs that are known to disturb.
	knownPairs int
	changes    []Pair
}

// kind is a kind of tasks, with the evidence on it as a victim.
type kind struct {
	name   string
	seenMS int64
	evidence
	// effects are the solution of the evidence, by neighbour.
	effects [MaxKinds]effect
}

// evidence is the state of a regression of log progress rates on the presence of
// neighbours. All sums are weighted by seconds and decay.
type evidence struct {
	asOfMS int64
	// products are the packed sums of the products of two neighbours' presences, rates
	// those of presence and log rate, and squares the sum of the squares of log rates,
	// all as deviations from the mean of the run.
	products [packed]float64
	rates    [MaxKinds]float64
	squares  float64
	// freedom is the number of rates above one per run, and runs the number of runs that
	// were observed with and without each neighbour.
	freedom float64
	runs    [MaxKinds]float64
}

// effect is the estimated logarithm of the slowdown by a neighbour, and its standard error.
type effect struct {
	slowdown, deviation float64
	known               bool
}

// New returns a model without evidence.
func New() *Model { return &Model{indexes: map[string]int{}} }

// Index returns the index of a kind, and gives it one if there is room. It returns -1 for a
// kind that the model does not observe.
func (m *Model) Index(nowMS int64, name string) int {
	if i, found := m.indexes[name]; found {
		m.kinds[i].seenMS = max(m.kinds[i].seenMS, nowMS)
		return i
	}
	oldest := 0
	for i := range m.kinds {
		if m.kinds[i].name == "" {
			oldest = i
			break
		}
		if m.kinds[i].seenMS < m.kinds[oldest].seenMS {
			oldest = i
		}
	}
	if m.kinds[oldest].name != "" && nowMS-m.kinds[oldest].seenMS < kindExpiryMS {
		return -1
	}
	m.assign(oldest, name, nowMS)
	return oldest
}

// assign gives an index to a kind and drops the evidence of the one that had it.
func (m *Model) assign(index int, name string, nowMS int64) {
	if old := m.kinds[index].name; old != "" {
		delete(m.indexes, old)
		m.generation++
		for victim := range m.kinds {
			m.kinds[victim].drop(index)
		}
	}
	m.kinds[index] = kind{name: name, seenMS: nowMS}
	m.indexes[name] = index
	m.countKnown()
}

// drop removes a neighbour from the evidence on a victim.
func (k *kind) drop(neighbour int) {
	for i := range MaxKinds {
		k.products[cell(neighbour, i)] = 0
	}
	k.rates[neighbour], k.runs[neighbour], k.effects[neighbour] = 0, 0, effect{}
}

// cell returns the position of a pair in a packed symmetric matrix.
func cell(i, j int) int {
	if i < j {
		i, j = j, i
	}
	return i*(i+1)/2 + j
}

// Learn adds the progress of a run that has ended, of a victim kind by its index. It ignores
// runs that had the same neighbours throughout.
func (m *Model) Learn(nowMS int64, victim int, run *Trace) {
	groups := run.usable(m.generation)
	if victim < 0 || len(groups) < 2 {
		return
	}
	k := &m.kinds[victim]
	k.decay(nowMS)
	k.add(groups)
	k.solve()
	for neighbour := range k.effects {
		m.judge(nowMS, victim, neighbour)
	}
	m.countKnown()
}

// decay reduces the weight of the evidence by its age and for one more run.
func (e *evidence) decay(nowMS int64) {
	if e.asOfMS > 0 {
		keep := math.Exp2(-float64(max(0, nowMS-e.asOfMS))/halfLifeMS) * math.Exp(-1./runMemory)
		for i := range e.products {
			e.products[i] *= keep
		}
		for i := range e.rates {
			e.rates[i] *= keep
			e.runs[i] *= keep
		}
		e.squares *= keep
		e.freedom *= keep
	}
	e.asOfMS = max(e.asOfMS, nowMS)
}

// add adds a run's progress beside each of its sets of neighbours.
func (e *evidence) add(groups []group) {
	var weight, meanRate float64
	var meanPresence [MaxKinds]float64
	for _, g := range groups {
		w := g.weight()
		weight += w
		meanRate += w * g.logRate()
		for rest := g.neighbours; rest != 0; rest &= rest - 1 {
			meanPresence[bits.TrailingZeros16(uint16(rest))] += w
		}
	}
	meanRate /= weight
	var varying []int
	for i := range meanPresence {
		meanPresence[i] /= weight
		if meanPresence[i] > 0 && meanPresence[i] < 1 {
			varying = append(varying, i)
			e.runs[i]++
		}
	}
	for _, g := range groups {
		w, rate := g.weight(), min(max(g.logRate()-meanRate, -maxDeviation), maxDeviation)
		e.squares += w * rate * rate
		for at, i := range varying {
			e.rates[i] += w * rate * g.deviation(i, meanPresence[i])
			for _, j := range varying[:at+1] {
				e.products[cell(i, j)] += w * g.deviation(i, meanPresence[i]) * g.deviation(j, meanPresence[j])
			}
		}
	}
	e.freedom += float64(len(groups) - 1)
}

// judge updates whether a pair is known to disturb.
func (m *Model) judge(nowMS int64, victim, neighbour int) {
	e := &m.kinds[victim].effects[neighbour]
	before := e.known
	if before {
		e.known = e.slowdown > math.Log(forgetFactor)
	} else {
		e.known = m.kinds[victim].runs[neighbour] >= minRuns && e.slowdown-confidence*e.deviation > math.Log(knownFactor)
	}
	if e.known != before {
		m.changes = append(m.changes, m.pair(nowMS, victim, neighbour))
	}
}

func (m *Model) countKnown() {
	m.knownPairs = 0
	for victim := range m.kinds {
		for _, e := range m.kinds[victim].effects {
			if e.known {
				m.knownPairs++
			}
		}
	}
}

// KnownPairs returns the number of pairs that are known to disturb.
func (m *Model) KnownPairs() int { return m.knownPairs }

// Suspects reports whether the evidence on any pair, known or not, suggests a slowdown.
func (m *Model) Suspects() bool {
	for victim := range m.kinds {
		for _, e := range m.kinds[victim].effects {
			if e.known || e.slowdown-suspicion*e.deviation > math.Log(suspectFactor) {
				return true
			}
		}
	}
	return false
}

// AnyKnown reports whether any pair is known to disturb.
func (m *Model) AnyKnown() bool { return m.knownPairs > 0 }

// Loss returns the share by which a victim's run takes longer beside a neighbour: 0.5 for
// half as long again. It is 0 unless the pair is known to disturb.
func (m *Model) Loss(victim, neighbour int) float64 {
	if victim < 0 || neighbour < 0 || !m.kinds[victim].effects[neighbour].known {
		return 0
	}
	return math.Expm1(m.kinds[victim].effects[neighbour].slowdown)
}

// Concerns reports whether a kind is the victim or the neighbour of a known pair.
func (m *Model) Concerns(index int) bool {
	if index < 0 || m.knownPairs == 0 {
		return false
	}
	for i := range m.kinds {
		if m.kinds[i].effects[index].known || m.kinds[index].effects[i].known {
			return true
		}
	}
	return false
}

// Pair is what is known of a pair of kinds.
type Pair struct {
	Victim    string `json:"victim"`
	Neighbour string `json:"neighbour"`
	// Factor is the estimated ratio of the victim's run time beside the neighbour to that
	// without it. Low and High bound its interval.
	Factor float64 `json:"factor"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	// Runs is the number of runs behind the estimate, of which older ones count less.
	Runs float64 `json:"runs"`
	// AgeMS is the time since the evidence on the victim last changed.
	AgeMS int64 `json:"age_ms"`
	// Known is set if the factor is large enough, with confidence, to place tasks apart.
	Known bool `json:"known"`
}

func (m *Model) pair(nowMS int64, victim, neighbour int) Pair {
	k := &m.kinds[victim]
	e := k.effects[neighbour]
	return Pair{
		Victim: k.name, Neighbour: m.kinds[neighbour].name, Factor: math.Exp(e.slowdown),
		Low: math.Exp(e.slowdown - confidence*e.deviation), High: math.Exp(e.slowdown + confidence*e.deviation),
		Runs: k.runs[neighbour], AgeMS: max(0, nowMS-k.asOfMS), Known: e.known,
	}
}

// Pairs returns the pairs with any evidence, the known ones first, then by their names.
func (m *Model) Pairs(nowMS int64) []Pair {
	var out []Pair
	for victim := range m.kinds {
		for neighbour, runs := range m.kinds[victim].runs {
			if runs > 0 {
				out = append(out, m.pair(nowMS, victim, neighbour))
			}
		}
	}
	slices.SortFunc(out, comparePairs)
	return out
}

// Changes returns the pairs that became known, or ceased to be, since the last call.
func (m *Model) Changes() []Pair {
	out := m.changes
	m.changes = nil
	return out
}
