package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflyyard/internal/interference"
	"dragonflyyard/internal/workload"
)

// mixedLoad replays jobs of three programs on workers of different speed. It knows how much
// the programs truly slow each other down.
type mixedLoad struct {
	*replay
	rng   *rand.Rand
	truth map[[2]string]float64
	hosts []string
	speed map[string]float64
	jobs  int
	// ordered lists all orders, and excess the extra run time of the ended runs of each
	// program, as a share of what they take alone on their worker.
	ordered []string
	excess  map[string][]float64
}

func newMixedLoad(t *testing.T, seed uint64, truth map[[2]string]float64, separate bool) *mixedLoad {
	l := &mixedLoad{rng: rand.New(rand.NewPCG(seed, 2)), truth: truth, speed: map[string]float64{}, excess: map[string][]float64{}}
	l.replay = &replay{rig: newRig(t), pace: l.pace, ended: func(r *replayRun) {
		l.excess[l.programOf(r)] = append(l.excess[l.programOf(r)], float64(l.now.StoreMS-r.startedMS)/1000/r.work-1)
	}}
	l.core.settings.SeparateDisturbing = separate
	for i := range 20 {
		host := "h" + string(rune('a'+i))
		l.hosts = append(l.hosts, host)
		l.speed[host] = []float64{0.8, 1, 1.25}[i%3]
	}
	return l
}

func (l *mixedLoad) programOf(r *replayRun) string {
	return l.core.jobs[r.id.Task.Job].Steps[0].Program
}

// pace returns the pace of a run beside its neighbours, as a share of that alone.
func (l *mixedLoad) pace(r *replayRun) float64 {
	for _, other := range l.runs {
		if factor, disturbs := l.truth[[2]string{l.programOf(r), l.programOf(other)}]; disturbs && other.Host == r.Host {
			return 1 / factor
		}
	}
	return 1
}

// sizeOf draws a task's size from its name, so that runs with and without separation have
// the same tasks.
func sizeOf(task string) float64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(task) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return 6 * math.Exp(0.4*rand.New(rand.NewPCG(h, 3)).NormFloat64())
}

func (l *mixedLoad) run(d time.Duration) {
	const tick = 250 * time.Millisecond
	for i := range int(d / tick) {
		l.advance(tick)
		if l.rng.Float64() < 0.3 {
			l.submit()
		}
		l.pass(tick)
		for at, host := range l.hosts {
			if i%4 == at%4 {
				l.report(host, "r1")
			}
		}
		for _, o := range l.begin(func(o workload.Order) float64 { return sizeOf(o.Task) / l.speed[o.Host] }) {
			l.ordered = append(l.ordered, o.Task+"@"+o.Host)
		}
	}
}

func (l *mixedLoad) submit() {
	l.jobs++
	program, tasks := []string{"index", "scan", "mail"}[l.rng.IntN(3)], 2+l.rng.IntN(7)
	l.job(jobID(l.jobs), func(j *workload.Job) {
		j.Steps[0].Program, j.Steps[0].Tasks, j.Steps[0].Estimate = program, tasks, time.Second
	})
}

func (l *mixedLoad) meanExcess(program string) float64 {
	var sum float64
	for _, e := range l.excess[program] {
		sum += e
	}
	return sum / float64(len(l.excess[program]))
}

// Guards against disturbance that is noticed but not acted on: with room on the workers,
// callers of the disturbed program lose at most half of what they lost before.
func TestDisturbingTasksAreKeptApart(t *testing.T) {
	const mostLeft = 0.5
	truth := map[[2]string]float64{{"index", "scan"}: 1.5}
	var before, after float64
	for seed := range uint64(6) {
		off, on := newMixedLoad(t, seed, truth, false), newMixedLoad(t, seed, truth, true)
		for _, l := range []*mixedLoad{off, on} {
			l.run(90 * time.Second)
			l.excess = map[string][]float64{}
			l.run(3 * time.Minute)
		}
		if known := on.core.DisturbanceStats(); known.KnownPairs != 1 || known.Separated == 0 {
			t.Errorf("seed %d: %+v, want one known pair and tasks placed apart", seed, known)
		}
		before, after = before+off.meanExcess("index"), after+on.meanExcess("index")
	}
	t.Logf("mean extra run time beside others: %.3f before, %.3f after", before/6, after/6)
	if after > mostLeft*before {
		t.Errorf("extra run time %.3f, was %.3f; want at most %.0f%% of it", after/6, before/6, 100*mostLeft)
	}
}

// Guards against placements that change without evidence: where nothing disturbs, every
// task goes where it goes with the setting off.
func TestPlacementIsTheSameWhereNothingDisturbs(t *testing.T) {
	for seed := range uint64(4) {
		off, on := newMixedLoad(t, seed, nil, false), newMixedLoad(t, seed, nil, true)
		off.run(3 * time.Minute)
		on.run(3 * time.Minute)
		if !slices.Equal(off.ordered, on.ordered) {
			t.Errorf("seed %d: the orders differ", seed)
		}
	}
}

// restored returns a rig that took over the evidence of a load on which scan slows down
// index.
func restored(t *testing.T, workers int) *rig {
	t.Helper()
	l := newMixedLoad(t, 0, map[[2]string]float64{{"index", "scan"}: 1.5}, true)
	l.run(90 * time.Second)
	if l.core.DisturbanceStats().KnownPairs != 1 {
		t.Fatal("the pair is not known")
	}
	r := newRig(t)
	r.now = l.now
	for i := range workers {
		r.worker("h"+string(rune('a'+i)), "r1", nil)
	}
	r.core.LearnedSeen(r.now, Learned{Interference: l.core.disturbances.model.State()})
	return r
}

func (r *rig) program(id int, name string, change func(*workload.Step)) []workload.Order {
	r.job(jobID(id), func(j *workload.Job) {
		j.Steps[0].Program = name
		if change != nil {
			change(&j.Steps[0])
		}
	})
	return r.plan()
}

// Guards against a successor that forgets, and against idle workers that are used up: tasks
// are apart while enough workers are idle, and together when the idle ones are needed.
func TestTasksAreApartOnlyWhereThereIsRoom(t *testing.T) {
	for _, c := range []struct {
		name                 string
		workers, wide, small int
		apart                bool
	}{
		{"room", 6, 0, 0, true},
		{"room beside small tasks", 5, 0, 3, true},
		{"the idle workers are needed by a gang", 6, 3, 0, false},
		{"no room", 2, 0, 0, false},
	} {
		r := restored(t, c.workers)
		first := r.program(1, "scan", nil)
		if c.wide > 0 {
			// Waits for one worker more than is idle.
			r.program(2, "wide", func(s *workload.Step) {
				s.Gang, s.Tasks, s.PerTask.Accelerators = true, c.workers, 8
			})
		}
		for i := range c.small {
			r.job(jobID(10+i), func(j *workload.Job) { j.Queue, j.Steps[0].Estimate = "other", time.Minute })
		}
		second := r.program(3, "index", nil)
		if second = second[:min(1, len(second))]; len(first) != 1 || len(second) != 1 {
			t.Fatalf("%s: %d and %d orders, want 1 each", c.name, len(first), len(second))
		}
		if apart := first[0].Host != second[0].Host; apart != c.apart {
			t.Errorf("%s: apart %v, want %v", c.name, apart, c.apart)
		}
	}
}

// Guards against work that waits or fails because of a neighbour, and against outranking
// the rack of the data: a task that fits only beside what disturbs it starts there.
func TestDisturbanceNeverMakesWorkWait(t *testing.T) {
	r := restored(t, 1)
	r.program(1, "scan", func(s *workload.Step) { s.Tasks = 4 })
	if got := r.program(2, "index", func(s *workload.Step) { s.Tasks = 4 }); len(got) != 4 {
		t.Errorf("%d tasks started on the only worker, want 4", len(got))
	}
	r = restored(t, 6)
	r.worker("hx", "data", nil)
	toData := func(s *workload.Step) { s.PreferredRack = "data" }
	r.program(1, "scan", toData)
	if got := r.program(2, "index", toData); len(got) != 1 || got[0].Host != "hx" {
		t.Errorf("orders %v, want one on the rack of the data", got)
	}
}

// Guards against a row that grows or is written with every end of a run, and against a
// malformed one that stops scheduling.
func TestEvidenceIsStoredAtIntervals(t *testing.T) {
	l := newMixedLoad(t, 1, map[[2]string]float64{{"index", "scan"}: 1.5}, true)
	writes := 0
	var last []byte
	l.core.learned(l.now)
	for range 60 {
		l.run(time.Second)
		if row := encode(l.core.learned(l.now).Interference); !slices.Equal(row, last) {
			writes, last = writes+1, row
		}
	}
	if most := 60/int(disturbancesStoredEvery.Seconds()) + 3; writes < 3 || writes > most {
		t.Errorf("%d writes in a minute, want 3 to %d", writes, most)
	}
	harmless := newMixedLoad(t, 1, nil, true)
	harmless.run(harmlessStoredEvery - time.Second)
	if row := harmless.core.learned(harmless.now); len(row.Interference.Kinds) > 0 {
		t.Errorf("evidence of %d kinds is stored, although nothing disturbs", len(row.Interference.Kinds))
	}
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.core.LearnedSeen(r.now, Learned{Interference: interference.State{Kinds: make([]interference.KindState, 99)}})
	if got := r.program(1, "index", nil); len(got) != 1 {
		t.Errorf("%d orders after a malformed row, want 1", len(got))
	}
}
