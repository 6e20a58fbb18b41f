package jobs

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

var testStart = time.Unix(1_800_000_000, 0)

// fleet returns 11 workers of 8 accelerators, three to a rack, in three zones.
func fleet() []model.Worker {
	var out []model.Worker
	for i := range 11 {
		zone := min(i/4, 2)
		out = append(out, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%02d", i)), Zone: model.AvailabilityZoneName(fmt.Sprintf("z%d", zone)),
			Rack: model.RackID(fmt.Sprintf("r%d", i/3)), Capacity: model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 131072},
		})
	}
	return out
}

func shape(tasks, accelerators int, topology model.Topology) model.Shape {
	return model.Shape{
		Tasks: tasks, PerTask: model.Resources{Accelerators: accelerators, Cores: 2 * accelerators, MemoryMB: 1024}, Topology: topology,
	}
}

func testConfig() *model.ConfigDocument {
	doc := &model.ConfigDocument{
		Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{}, Guarantees: map[string]model.GuaranteedShape{},
		Zones: map[model.AvailabilityZoneName]model.ZoneState{"z0": model.ZoneIn, "z1": model.ZoneIn, "z2": model.ZoneIn},
	}
	for i, id := range []model.ClientAccountID{"a", "b", "c", "d"} {
		doc.Accounts[id] = model.ClientAccount{ID: id, Weight: i + 1}
	}
	doc.Guarantees["a-rack"] = model.GuaranteedShape{Name: "a-rack", Account: "a", Shape: shape(2, 8, model.TopologyRack), Count: 1}
	doc.Guarantees["b-four"] = model.GuaranteedShape{Name: "b-four", Account: "b", Shape: shape(4, 2, model.TopologyZone), Count: 2}
	doc.Guarantees["c-one"] = model.GuaranteedShape{Name: "c-one", Account: "c", Shape: shape(1, 4, model.TopologyAny), Count: 1}
	return doc
}

// chaos draws jobs and faults from one seed.
type chaos struct {
	*Watch
	rng  *rand.Rand
	next int
	lose float64
}

func (c *chaos) deliver(bool, model.WorkerID, wire.Message) []time.Duration {
	base := c.d.Options.Latency
	switch p := c.rng.Float64(); {
	case p < c.lose:
		return nil
	case p < 2*c.lose:
		return []time.Duration{base, base + time.Duration(c.rng.IntN(400))*time.Millisecond}
	case p < 4*c.lose:
		return []time.Duration{base + time.Duration(c.rng.IntN(300))*time.Millisecond}
	default:
		return []time.Duration{base}
	}
}

func (c *chaos) decide(scheduler.JobRow) (bool, scheduler.DecisionResult, time.Duration) {
	late := time.Duration(c.rng.IntN(200)) * time.Millisecond
	switch p := c.rng.IntN(20); p {
	case 0:
		return true, scheduler.DecisionInDoubt, late
	case 1:
		return false, scheduler.DecisionInDoubt, late
	case 2:
		return false, scheduler.DecisionUnavailable, late
	default:
		return true, scheduler.DecisionCommitted, late / 20
	}
}

func (c *chaos) job() *Truth {
	c.next++
	shapes := []model.Shape{
		shape(1, 1, model.TopologyAny), shape(1, 4, model.TopologyAny), shape(2, 8, model.TopologyRack),
		shape(4, 2, model.TopologyZone), shape(3, 8, model.TopologyAny), shape(12, 2, model.TopologyAny),
	}
	accounts := []model.ClientAccountID{"a", "b", "c", "d"}
	job := model.Job{
		ID: model.JobID(fmt.Sprintf("j%03d", c.next)), Account: accounts[c.rng.IntN(4)], JobClass: "k",
		Shape: shapes[c.rng.IntN(len(shapes))], DeclaredRunTime: time.Duration(5+c.rng.IntN(60)) * time.Second,
		Capacity: model.CapacityBorrowed, CanCheckpoint: c.rng.IntN(2) == 0, Urgent: c.rng.IntN(10) == 0,
	}
	if c.rng.IntN(3) == 0 {
		job.Capacity = model.CapacityGuaranteed
	}
	return &Truth{Job: job, Run: time.Duration(3+c.rng.IntN(60)) * time.Second, Fails: c.rng.IntN(40) == 0}
}

func (c *chaos) fault() {
	h := c.d.Hosts[c.d.order[c.rng.IntN(len(c.d.order))]]
	switch c.rng.IntN(12) {
	case 0:
		c.crash(h)
	case 1:
		c.freeze(h)
	case 2:
		c.zone()
	case 3:
		c.replaceOwner()
	case 4:
		var ids []model.JobID
		for range 5 {
			ids = append(ids, model.JobID(fmt.Sprintf("j%03d", 1+c.rng.IntN(c.next+1))))
		}
		c.d.StepOwner(c.d.Owner, scheduler.Cancel{IDs: ids})
	default:
		c.d.Submit(c.job())
	}
}

func (c *chaos) crash(h *Host) {
	if !h.Alive {
		return
	}
	h.Crash()
	c.d.After(1500*time.Millisecond, func() { c.d.StepOwner(c.d.Owner, scheduler.WorkerLost{Worker: h.Worker.ID}) })
	c.d.After(time.Duration(4+c.rng.IntN(15))*time.Second, h.Restart)
}

func (c *chaos) freeze(h *Host) {
	if !h.Alive || h.Frozen {
		return
	}
	h.Frozen = true
	c.d.After(time.Duration(c.rng.IntN(8000))*time.Millisecond, func() {
		if h.Frozen {
			h.Thaw()
		}
	})
}

func (c *chaos) zone() {
	zone := model.AvailabilityZoneName(fmt.Sprintf("z%d", c.rng.IntN(3)))
	if len(c.OutAt) > 0 {
		return
	}
	c.OutAt[zone] = c.d.Now
	c.d.Configure(func(doc *model.ConfigDocument) { doc.Zones[zone] = model.ZoneOut })
	c.d.After(time.Duration(10+c.rng.IntN(80))*time.Second, func() {
		delete(c.OutAt, zone)
		c.d.Configure(func(doc *model.ConfigDocument) { doc.Zones[zone] = model.ZoneIn })
	})
}

// replaceOwner kills the owner, or pauses it so that it wakes as a deposed one.
func (c *chaos) replaceOwner() {
	old := c.d.Owner
	if c.rng.IntN(2) == 0 {
		c.d.Kill(old)
	} else {
		old.Paused = true
		c.d.After(time.Duration(4+c.rng.IntN(10))*time.Second, func() { c.d.Wake(old) })
	}
	c.d.After(3*time.Second, func() {
		if c.d.Owner == old {
			c.d.Elect()
		}
	})
}

// Sizes of a drawn run: of its steps seven in eight are taken, 105 on average.
const (
	stepsDrawn = 120
	stepLength = 75 * time.Second / stepsDrawn
	// leastJobs is how many jobs a run with most of its steps hands in.
	leastJobs = 20
	// runsDrawn is how many sequences each part of the test draws.
	runsDrawn = 2
	parts     = 6
)

// stepsTaken holds, for each step by its number, whether it is taken. What a
// step does depends on the run's seed, its number and the state it meets, so a
// failing sequence is shrunk by leaving steps out.
type stepsTaken []bool

// GoString lists the numbers of the steps that are taken.
func (s stepsTaken) GoString() string {
	return fmt.Sprintf("%d steps %v", len(s.numbers()), s.numbers())
}

func (s stepsTaken) numbers() []int {
	var numbers []int
	for i, taken := range s {
		if taken {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

func drawSteps(t *rapid.T) stepsTaken {
	steps := make(stepsTaken, stepsDrawn)
	for i := range steps {
		for range 3 {
			steps[i] = rapid.Bool().Draw(t, "bit") || steps[i]
		}
	}
	return steps
}

func runChaos(seed uint64, lose float64, steps stepsTaken) *chaos {
	d := NewDriver(DefaultOptions(), fleet(), testConfig(), testStart)
	c := &chaos{Watch: NewWatch(d), rng: rand.New(rand.NewPCG(seed, 0)), lose: lose}
	d.Hooks.Deliver = c.deliver
	d.Hooks.Decide = c.decide
	d.Start()
	for i, taken := range steps {
		if c.Violation != "" {
			break
		}
		c.rng = rand.New(rand.NewPCG(seed, uint64(i)+1))
		d.RunUntil(testStart.Add(time.Duration(i)*stepLength + time.Duration(c.rng.Int64N(int64(stepLength)))))
		if taken {
			c.fault()
		}
	}
	if c.Violation == "" {
		d.RunUntil(testStart.Add(stepsDrawn * stepLength))
	}
	return c
}

// TestMain fixes the seed of drawn sequences, so that every run draws the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": strconv.Itoa(runsDrawn), "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	for part := range uint64(parts) {
		for _, lose := range []float64{0, 0.03} {
			t.Run(fmt.Sprintf("part %d lose %g", part, lose), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(t *rapid.T) {
					seed := part<<32 | uint64(rapid.Uint32().Draw(t, "seed"))
					steps := rapid.Custom(drawSteps).Draw(t, "steps")
					c := runChaos(seed, lose, steps)
					if c.Violation != "" {
						t.Fatal(c.Violation)
					}
					if len(steps.numbers()) > stepsDrawn/2 && c.next < leastJobs {
						t.Errorf("only %d jobs submitted", c.next)
					}
				})
			})
		}
	}
}
