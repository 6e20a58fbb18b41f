package interference

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/workload"
)

// drawnLoad runs tasks of random kinds on workers of different speed and reports them as
// agents do, with the true slowdown of each pair known.
type drawnLoad struct {
	rng   *rand.Rand
	model *Model
	// truth is the factor by which a victim takes longer beside a neighbour.
	truth map[[2]string]float64
	kinds []string
	// stalls is the probability per report that a worker hangs for 3 s.
	stalls float64
	nowMS  int64
	ended  map[string]int
	// foundAfter is the number of ended runs of the victim after which a pair was known.
	foundAfter map[[2]string]int
}

type drawnTask struct {
	kind         string
	size, done   float64
	percent      int
	lastChangeMS int64
	trace        Trace
}

func newDrawnLoad(seed uint64, truth map[[2]string]float64) *drawnLoad {
	return &drawnLoad{
		rng: rand.New(rand.NewPCG(seed, 1)), model: New(), truth: truth, kinds: []string{"a", "b", "c", "d"},
		nowMS: 1000, ended: map[string]int{}, foundAfter: map[[2]string]int{},
	}
}

// run simulates workers for some seconds, with a report a second and ends in between.
func (l *drawnLoad) run(workers, seconds int) {
	tasks := make([][]*drawnTask, workers)
	speeds := make([]float64, workers)
	hangs := make([]int64, workers)
	for w := range speeds {
		speeds[w] = []float64{0.8, 1, 1.25}[l.rng.IntN(3)]
	}
	const tickMS = 250
	for tick := range seconds * 1000 / tickMS {
		l.nowMS += tickMS
		for w := range tasks {
			if len(tasks[w]) < 4 && l.rng.Float64() < 0.25 {
				tasks[w] = append(tasks[w], &drawnTask{kind: l.kinds[l.rng.IntN(len(l.kinds))], size: 8 * math.Exp(0.4*l.rng.NormFloat64()), lastChangeMS: l.nowMS})
			}
			if l.nowMS >= hangs[w] {
				l.progress(tasks[w], speeds[w]*tickMS/1000)
			}
			tasks[w] = l.removeEnded(tasks[w])
			if tick%4 == w%4 {
				l.report(tasks[w])
				if l.rng.Float64() < l.stalls {
					hangs[w] = l.nowMS + 3000
				}
			}
		}
	}
}

func (l *drawnLoad) progress(tasks []*drawnTask, work float64) {
	for _, t := range tasks {
		rate := work * math.Exp(0.15*l.rng.NormFloat64())
		for _, other := range tasks {
			if factor, disturbs := l.truth[[2]string{t.kind, other.kind}]; disturbs && other != t {
				rate /= factor
				break
			}
		}
		t.done += rate / t.size
		if percent := min(int(100*t.done), 100); percent != t.percent {
			t.percent, t.lastChangeMS = percent, l.nowMS
		}
	}
}

func (l *drawnLoad) removeEnded(tasks []*drawnTask) []*drawnTask {
	var left []*drawnTask
	for _, t := range tasks {
		if t.done < 1 {
			left = append(left, t)
			continue
		}
		l.ended[t.kind]++
		l.model.Learn(l.nowMS, l.model.Index(l.nowMS, t.kind), &t.trace)
		for _, p := range l.model.Changes() {
			if pair := [2]string{p.Victim, p.Neighbour}; p.Known && l.foundAfter[pair] == 0 {
				l.foundAfter[pair] = l.ended[p.Victim]
			}
		}
	}
	return left
}

func (l *drawnLoad) report(tasks []*drawnTask) {
	for _, t := range tasks {
		var neighbours Set
		for _, other := range tasks {
			if other != t {
				neighbours = neighbours.With(l.model.Index(l.nowMS, other.kind))
			}
		}
		t.trace.Observe(l.model, Sample{SentMS: l.nowMS, StalledMS: l.nowMS - t.lastChangeMS, Percent: t.percent, Neighbours: neighbours})
	}
}

// Guards against disturbing pairs that stay unnoticed, on workers of different speed that
// hang now and then: pairs of 1.3 and more are known within 200 runs of the victim.
func TestDisturbingPairsAreFound(t *testing.T) {
	const withinRuns = 200
	truth := map[[2]string]float64{{"a", "b"}: 1.3, {"c", "d"}: 1.6, {"d", "d"}: 1.4}
	for seed := range uint64(10) {
		l := newDrawnLoad(seed, truth)
		l.stalls = 0.01
		l.run(20, 300)
		for pair := range truth {
			if after := l.foundAfter[pair]; after == 0 || after > withinRuns {
				t.Errorf("seed %d: %v is known after %d runs (0: never), want at most %d", seed, pair, after, withinRuns)
			}
		}
	}
}

// Guards against tasks that are kept apart for nothing: of the pairs that don't disturb,
// fewer than 1 in 100 are ever taken for disturbing, beside pairs that do and without any.
func TestFalsePairsAreRare(t *testing.T) {
	const mostFalse = 0.01
	for _, truth := range []map[[2]string]float64{nil, {{"a", "b"}: 1.6, {"b", "a"}: 1.3}} {
		examined, wrong := 0, 0
		for seed := range uint64(40) {
			l := newDrawnLoad(100+seed, truth)
			l.stalls = 0.02
			l.run(12, 200)
			for _, p := range l.model.Pairs(l.nowMS) {
				pair := [2]string{p.Victim, p.Neighbour}
				if _, disturbs := truth[pair]; disturbs {
					continue
				}
				if examined++; l.foundAfter[pair] > 0 {
					wrong++
				}
			}
		}
		if share := float64(wrong) / float64(examined); examined < 500 || share >= mostFalse {
			t.Errorf("truth %v: %d of %d pairs are false, want under %.0f%%", truth, wrong, examined, 100*mostFalse)
		}
	}
}

// Guards against evidence that outlives its cause: a pair that stops disturbing, as after a
// new version of the image, is forgotten within two half-lives.
func TestPairThatStopsDisturbingIsForgotten(t *testing.T) {
	l := newDrawnLoad(3, map[[2]string]float64{{"a", "b"}: 1.5})
	l.run(20, 200)
	if l.model.KnownPairs() != 1 {
		t.Fatalf("%d pairs are known, want 1", l.model.KnownPairs())
	}
	l.truth = nil
	l.nowMS += 2 * halfLifeMS
	l.run(20, 200)
	if l.model.AnyKnown() {
		t.Errorf("still known: %+v", l.model.Pairs(l.nowMS)[0])
	}
}

// Guards against a successor that places otherwise than its predecessor, against rows that
// grow past their bound, and against rows of others that are taken for evidence.
func TestStateOutlivesTheModel(t *testing.T) {
	l := newDrawnLoad(5, map[[2]string]float64{{"a", "b"}: 1.5})
	l.kinds = nil
	for i := range 2 * MaxKinds {
		l.kinds = append(l.kinds, fmt.Sprintf("%c%0*d", 'a'+rune(i%26), maxKindBytes-1, 0))
	}
	l.kinds = append(l.kinds, "a", "b", "a", "b", "a", "b")
	l.model.Index(l.nowMS, "a")
	l.model.Index(l.nowMS, "b")
	l.run(40, 400)
	row := rowcodec.Encode(l.model.State())
	if len(row) > MaxStateBytes {
		t.Errorf("the state takes %d bytes, want at most %d", len(row), MaxStateBytes)
	}
	var read State
	if err := rowcodec.Decode(row, &read); err != nil {
		t.Fatal(err)
	}
	m, err := Restore(l.nowMS, read)
	if err != nil || m.KnownPairs() != l.model.KnownPairs() || m.KnownPairs() == 0 {
		t.Fatalf("restored %d known pairs of %d, error %v", m.KnownPairs(), l.model.KnownPairs(), err)
	}
	if got, want := m.Loss(m.Index(0, "a"), m.Index(0, "b")), l.model.Loss(l.model.indexes["a"], l.model.indexes["b"]); math.Abs(got-want) > 0.001 {
		t.Errorf("loss %v after the restore, want %v", got, want)
	}
	for name, spoil := range map[string]func(*State){
		"too many kinds": func(s *State) { s.Kinds = append(s.Kinds, make([]KindState, MaxKinds)...) },
		"same kind":      func(s *State) { s.Kinds[1].Name = s.Kinds[0].Name },
		"short rates":    func(s *State) { s.Kinds[0].Rates = s.Kinds[0].Rates[1:] },
		"not a number":   func(s *State) { s.Kinds[0].Products[0] = float32(math.NaN()) },
		"negative":       func(s *State) { s.Kinds[0].Freedom = -1 },
	} {
		var s State
		if err := rowcodec.Decode(row, &s); err != nil {
			t.Fatal(err)
		}
		spoil(&s)
		if _, err := Restore(l.nowMS, s); !errors.Is(err, ErrState) {
			t.Errorf("%s: error %v, want ErrState", name, err)
		}
	}
}

// Guards against a restart of work or a hang that is taken for the neighbour's doing.
func TestTraceLeavesOutStallsAndRepeatedWork(t *testing.T) {
	m := New()
	var run Trace
	for i, r := range []Sample{
		{SentMS: 1000, Percent: 10}, {SentMS: 2000, Percent: 20}, {SentMS: 3000, Percent: 30},
		{SentMS: 4000, Percent: 30, StalledMS: 1000, Neighbours: 1}, {SentMS: 9000, Percent: 30, StalledMS: 6000, Neighbours: 1},
		{SentMS: 10_000, Percent: 40, Neighbours: 1}, {SentMS: 11_000, Percent: 50, Neighbours: 1},
		{SentMS: 12_000, Percent: 5, Neighbours: 1}, {SentMS: 13_000, Percent: 15, Neighbours: 1}, {SentMS: 14_000, Percent: 25, Neighbours: 1},
	} {
		if run.Observe(m, r); i == 4 && run.open {
			t.Error("the interval is still open after a stall of 6 s")
		}
	}
	for _, g := range run.usable(m.generation) {
		if g.work != 10*g.seconds {
			t.Errorf("beside %b: %v percent in %v s, want 10 a second", g.neighbours, g.work, g.seconds)
		}
	}
	if len(run.groups) != 2 {
		t.Errorf("%d sets of neighbours, want 2", len(run.groups))
	}
}

// Guards against tasks of one image that are told apart by queue or shape, and against
// names that fill the row.
func TestKindOf(t *testing.T) {
	shape := workload.Resources{MilliCores: 1000, MemoryMB: 2, Accelerators: 3}
	if got := KindOf("image", "queue", shape); got != "image" {
		t.Errorf("kind %q of a step with an image", got)
	}
	if got := KindOf("", "queue", shape); got != "queue:1000/2/3" {
		t.Errorf("kind %q of a step without an image", got)
	}
	if got := KindOf(string(make([]byte, 500)), "", shape); len(got) != maxKindBytes {
		t.Errorf("a kind of %d bytes", len(got))
	}
}
