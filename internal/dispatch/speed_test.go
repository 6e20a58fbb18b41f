package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/workload"
)

// unevenDay replays two minutes on 48 workers of the given speeds: wide steps of short
// tasks and gangs of whole workers, with estimates that are off by up to 0.9. Tasks of a
// step differ by 30 percent. It keeps the times of jobs and all placements.
type unevenDay struct {
	*replay
	rng    *rand.Rand
	speeds []float64
	placed []string
	// accepted holds the times of acceptance of the jobs that are under way.
	accepted map[string]int64
	total    float64
	jobs     int
}

func replayUnevenDay(t *testing.T, seed uint64, learn bool, speeds ...float64) *unevenDay {
	d := &unevenDay{rng: rand.New(rand.NewPCG(seed, 5)), speeds: speeds, accepted: map[string]int64{}}
	d.replay = &replay{rig: newRig(t), pace: d.pace, ended: d.countJob}
	d.core.settings.LearnSpeeds = learn
	for tick := range 1200 {
		if tick%10 == 0 {
			d.announce()
		}
		if tick%7 == 0 && tick < 900 {
			d.submit(tick)
		}
		for _, o := range d.begin(func(o workload.Order) float64 { return d.work(o.Task) }) {
			d.placed = append(d.placed, fmt.Sprint(tick, " ", o.Task, " ", o.Host))
		}
		d.pass(100 * time.Millisecond)
		d.advance(100 * time.Millisecond)
	}
	return d
}

func (d *unevenDay) submit(tick int) {
	id := jobID(tick + 1)
	d.accepted[id] = d.now.StoreMS
	d.job(id, func(j *workload.Job) {
		s := &j.Steps[0]
		s.Estimate = time.Duration((1 + 1.8*(d.rng.Float64()-0.5)) * float64(6*time.Second))
		s.Tasks, s.PerTask.Accelerators = 24, 1
		if tick%3 == 0 {
			s.Gang, s.Tasks, s.PerTask.Accelerators = true, 2+d.rng.IntN(6), 8
			s.PerTask.MilliCores = 50_000
			j.Priority = d.rng.IntN(2)
		}
	})
}

// work returns the work of a task in seconds on an average worker. It depends on the task
// only.
func (d *unevenDay) work(task string) float64 {
	ref, _ := workload.ParseTaskRef(task)
	if d.core.jobs[ref.Job].Steps[0].Gang {
		ref.Index = 0
	}
	var seed uint64
	for _, b := range ref.String() {
		seed = 31*seed + uint64(b)
	}
	return 6 * (0.7 + 0.6*rand.New(rand.NewPCG(seed, 6)).Float64())
}

func (d *unevenDay) speed(host string) float64 {
	var i int
	_, _ = fmt.Sscanf(host, "h%d", &i)
	return d.speeds[i%len(d.speeds)]
}

// pace returns the speed of a run; a gang is as fast as its slowest member.
func (d *unevenDay) pace(run *replayRun) float64 {
	out, job := d.speed(run.Host), d.core.jobs[run.id.Task.Job]
	if job.Steps[0].Gang {
		for _, o := range job.orders {
			out = min(out, d.speed(o.Host))
		}
	}
	return out
}

// countJob counts the time of a job that is completed with a run.
func (d *unevenDay) countJob(run *replayRun) {
	if job := string(run.id.Task.Job); d.core.jobs[run.id.Task.Job].progress.State.Final() && d.accepted[job] > 0 {
		d.total += float64(d.now.StoreMS-d.accepted[job]) / 1000
		d.jobs++
		d.accepted[job] = 0
	}
}

func (d *unevenDay) announce() {
	for i := range 48 {
		d.report(fmt.Sprint("h", i), fmt.Sprint("r", i/12))
	}
}

// TestUnevenWorkersEndJobsSooner guards against gangs that wait for one slow member and
// expected ends that are wrong: with learned speeds a job must take a twentieth less time.
func TestUnevenWorkersEndJobsSooner(t *testing.T) {
	alike, learned := replayUnevenDay(t, 1, false, 0.8, 1, 1.25), replayUnevenDay(t, 1, true, 0.8, 1, 1.25)
	if alike.jobs != learned.jobs || learned.meanSeconds() > 0.95*alike.meanSeconds() {
		t.Errorf("%d jobs take %.2f s with learned speeds, %d take %.2f s without", learned.jobs, learned.meanSeconds(), alike.jobs, alike.meanSeconds())
	}
}

// TestAlikeWorkersAreUsedAsBefore guards against decisions by noise: on alike workers each
// order must be the one that is made without learning.
func TestAlikeWorkersAreUsedAsBefore(t *testing.T) {
	without, with := replayUnevenDay(t, 2, false, 1), replayUnevenDay(t, 2, true, 1)
	if !slices.Equal(without.placed, with.placed) {
		t.Error("learning changes the orders on alike workers")
	}
}

// TestSuccessorDecidesAsItsPredecessor guards against a change of owner that forgets which
// workers are slow and which fail their tasks: its next plan must place all tasks alike, and
// it must know since when runs have gone on. The row must stay far below its limit.
func TestSuccessorDecidesAsItsPredecessor(t *testing.T) {
	d := replayUnevenDay(t, 3, true, 0.8, 1, 1.25)
	for i := range 6 {
		d.worker(fmt.Sprint("h", i), "r0", nil)
		d.job(jobID(5000+i), func(j *workload.Job) { j.Account = "bronze" })
		for _, o := range d.plan() {
			d.end(o, workload.EndFailed, "")
		}
	}
	d.job(jobID(6000), func(j *workload.Job) { j.Steps[0].Tasks, j.Steps[0].Estimate = 20, time.Minute })
	running := d.plan()
	d.advance(3 * time.Second)
	d.core.learnedRow.gradualMS = 0
	value := encode(d.core.learned(d.now))
	if limit := workload.MaxRowBytes / 4 * len(d.core.workers) / 240; len(value) > limit {
		t.Errorf("the row takes %d bytes for %d workers, want at most %d", len(value), len(d.core.workers), limit)
	}
	next := d.successor(value)
	for _, o := range running {
		id, _ := o.ID()
		a, b := d.core.jobs[id.Task.Job].orders[id], next.core.jobs[id.Task.Job].orders[id]
		if was, is := unsavedWork(d.now, a), unsavedWork(d.now, b); was != is {
			t.Errorf("%s has %.1f core seconds to lose, for the successor %.1f", id, was, is)
		}
	}
	for _, r := range []*rig{d.rig, next} {
		for i := range 48 {
			r.worker(fmt.Sprint("h", i), fmt.Sprint("r", i/12), nil)
		}
		r.job(jobID(7000), func(j *workload.Job) { j.Steps[0].Gang, j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = true, 6, 8 })
		r.job(jobID(7001), func(j *workload.Job) { j.Steps[0].Tasks = 30 })
	}
	if was, is := hostsOf(d.plan()), hostsOf(next.plan()); !slices.Equal(was, is) {
		t.Errorf("placed on %v, by the successor on %v", was, is)
	}
}

// successor returns the rig of a new owner that reads the row of what was learned.
func (d *unevenDay) successor(value []byte) *rig {
	next := d.rig.successor()
	var row Learned
	if err := rowcodec.Decode(value, &row); err != nil {
		d.t.Fatal(err)
	}
	row.AsOfMS = d.now.StoreMS
	next.core.LearnedSeen(next.now, row)
	return next
}

func hostsOf(orders []workload.Order) []string {
	var out []string
	for _, o := range orders {
		out = append(out, o.Task+" "+o.Host)
	}
	slices.Sort(out)
	return out
}

func (d *unevenDay) meanSeconds() float64 { return d.total / float64(d.jobs) }
