package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// Deployment is one of the users' fleets with its configuration.
type Deployment struct {
	Name    string
	Latency time.Duration
	Workers []model.Worker
	Config  model.ConfigDocument
	// DeadlineShare is the share of jobs with a deadline.
	DeadlineShare float64
}

// Sizes of both fleets.
const (
	workerCount      = 11
	workersPerRack   = 3
	acceleratorsEach = 8
	coresEach        = 64
)

// Size of a list.
const (
	// offeredLoad is the work of the list as a share of the fleet's capacity.
	offeredLoad = 0.85
	// listLength is how long jobs arrive.
	listLength = 3 * time.Hour
	// declaredFactorMax is the greatest ratio of a declared run time to the true
	// one, and of the true one to the declared.
	declaredFactorMax = 10
)

// Events of a list, as times since its begin.
const (
	zoneOutAt  = 80 * time.Minute
	zoneBackAt = 110 * time.Minute
	// zoneWindowEnd ends the window, begun by zoneOutAt, in which work is counted.
	zoneWindowEnd  = 125 * time.Minute
	badWorkerFrom  = 20 * time.Minute
	badWorkerUntil = 50 * time.Minute
	cancelWaveAt   = 60 * time.Minute
	// cancelWaveSize is how many jobs are drawn to be cancelled at cancelWaveAt.
	cancelWaveSize = 20
)

// Deployments returns both fleets.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "Consórcio", Latency: 500 * time.Microsecond, DeadlineShare: 0.3,
			Workers: workers([]string{"caruaru", "garanhuns", "quixada"}, 128<<10),
			Config:  document([]string{"caruaru", "garanhuns", "quixada"}, model.PolicyWeights{CompletionTime: 1, Fragmentation: 0.5, WorkInZoneChange: 0.3}),
		},
		{
			Name: "Tsukushi", Latency: 1400 * time.Microsecond, DeadlineShare: 0.15,
			Workers: workers([]string{"fukuoka", "kagoshima", "kumamoto"}, 256<<10),
			Config:  document([]string{"fukuoka", "kagoshima", "kumamoto"}, model.PolicyWeights{CompletionTime: 0.3, Fragmentation: 0.5, WorkInZoneChange: 1}),
		},
	}
}

// workers returns 11 workers, three to a rack, racks spread over three zones.
func workers(zones []string, memoryMB int) []model.Worker {
	var out []model.Worker
	for i := range workerCount {
		rack := i / workersPerRack
		out = append(out, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%02d", i)), Rack: model.RackID(fmt.Sprintf("r%d", rack)),
			Zone:     model.AvailabilityZoneName(zones[rack%len(zones)]),
			Capacity: model.Resources{Accelerators: acceleratorsEach, Cores: coresEach, MemoryMB: memoryMB},
		})
	}
	return out
}

func document(zones []string, weights model.PolicyWeights) model.ConfigDocument {
	doc := model.ConfigDocument{
		Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{}, Guarantees: map[string]model.GuaranteedShape{},
		Zones: map[model.AvailabilityZoneName]model.ZoneState{}, Weights: weights,
	}
	for _, z := range zones {
		doc.Zones[model.AvailabilityZoneName(z)] = model.ZoneIn
	}
	for i, id := range accountIDs() {
		doc.Accounts[id] = model.ClientAccount{ID: id, Weight: 4 - i}
		g := guarantees()[i]
		g.Account = id
		doc.Guarantees[g.Name] = g
	}
	return doc
}

func accountIDs() []model.ClientAccountID {
	return []model.ClientAccountID{"one", "two", "three", "four"}
}

// guarantees are the shapes of the four accounts: 40 of 88 accelerators.
func guarantees() []model.GuaranteedShape {
	return []model.GuaranteedShape{
		{Name: "one-rack", Shape: taskShape(2, 8, model.TopologyRack), Count: 1},
		{Name: "two-zone", Shape: taskShape(4, 2, model.TopologyZone), Count: 1},
		{Name: "three-worker", Shape: taskShape(1, 8, model.TopologyAny), Count: 1},
		{Name: "four-pair", Shape: taskShape(2, 2, model.TopologyAny), Count: 2},
	}
}

func taskShape(tasks, accelerators int, topology model.Topology) model.Shape {
	return model.Shape{
		Tasks: tasks, Topology: topology,
		PerTask: model.Resources{Accelerators: accelerators, Cores: 4 * accelerators, MemoryMB: 1024 * accelerators},
	}
}

// kind is one kind of job of a list.
type kind struct {
	name  string
	shape model.Shape
	// share of the offered accelerator time, and mean run time.
	share float64
	mean  time.Duration
	// checkpoint is the share of jobs that can checkpoint.
	checkpoint float64
}

func kinds() []kind {
	return []kind{
		{"tiny", taskShape(1, 1, model.TopologyAny), 0.15, 8 * time.Minute, 0.5},
		{"small", taskShape(1, 2, model.TopologyAny), 0.15, 10 * time.Minute, 0.5},
		{"medium", taskShape(2, 4, model.TopologyAny), 0.20, 12 * time.Minute, 0.7},
		{"wide", taskShape(8, 2, model.TopologyZone), 0.15, 12 * time.Minute, 0.7},
		{"rack", taskShape(2, 8, model.TopologyRack), 0.20, 18 * time.Minute, 0.9},
		{"large", taskShape(3, 8, model.TopologyAny), 0.15, 20 * time.Minute, 0.9},
	}
}

// largeAccelerators is the size from which a job counts as large in the figures.
const largeAccelerators = 16

// Arrival is one entry of a list.
type Arrival struct {
	At    time.Duration
	Truth Truth
}

// List is the jobs and the events of one seed.
type List struct {
	Arrivals []Arrival
	// Cancelled are the jobs that the wave cancels.
	Cancelled []model.JobID
	BadWorker model.WorkerID
	Zone      model.AvailabilityZoneName
}

// NewList draws the list of a deployment and a seed.
func NewList(d Deployment, seed uint64) List {
	rng := rand.New(rand.NewPCG(seed, 2))
	b := &builder{rng: rng, d: d, factors: map[string]float64{}}
	capacity := float64(workerCount * acceleratorsEach)
	for _, k := range kinds() {
		each := k.mean.Seconds() * float64(k.shape.Accelerators())
		count := int(math.Round(offeredLoad * capacity * listLength.Seconds() * k.share / each))
		for range count {
			b.add(k)
		}
	}
	b.addClaims()
	b.addImpossible()
	slices.SortStableFunc(b.list.Arrivals, func(x, y Arrival) int { return int(x.At - y.At) })
	for range cancelWaveSize {
		b.list.Cancelled = append(b.list.Cancelled, b.list.Arrivals[rng.IntN(len(b.list.Arrivals))].Truth.Job.ID)
	}
	b.list.BadWorker = d.Workers[rng.IntN(len(d.Workers))].ID
	b.list.Zone = d.Workers[rng.IntN(len(d.Workers))].Zone
	return b.list
}

type builder struct {
	rng     *rand.Rand
	d       Deployment
	list    List
	factors map[string]float64
}

// arrival draws a time: two thirds evenly, one third in four bursts.
func (b *builder) arrival() time.Duration {
	if b.rng.Float64() < 2.0/3 {
		return time.Duration(b.rng.Float64() * float64(listLength))
	}
	burst := time.Duration(b.rng.IntN(4)) * listLength / 4
	return burst + time.Duration(b.rng.Float64()*float64(5*time.Minute))
}

// factor is how far off an account declares run times of a class: the same up
// to ten times either way for all its jobs, and a fifth more or less for each.
func (b *builder) factor(account model.ClientAccountID, class string) float64 {
	key := string(account) + "/" + class
	if _, ok := b.factors[key]; !ok {
		b.factors[key] = math.Exp((2*b.rng.Float64() - 1) * math.Log(declaredFactorMax))
	}
	f := b.factors[key] * (0.8 + 0.4*b.rng.Float64())
	return min(max(f, 1.0/declaredFactorMax), declaredFactorMax)
}

// account draws an account by its weight: some accounts are large.
func (b *builder) account() model.ClientAccountID {
	n := b.rng.IntN(10)
	for _, id := range accountIDs() {
		n -= b.d.Config.Accounts[id].Weight
		if n < 0 {
			return id
		}
	}
	return accountIDs()[0]
}

func (b *builder) add(k kind) {
	account := b.account()
	run := time.Duration(float64(k.mean) * min(4, b.rng.ExpFloat64()*0.5+0.5))
	job := model.Job{
		ID: model.JobID(fmt.Sprintf("j%04d", len(b.list.Arrivals))), Account: account, JobClass: k.name, Shape: k.shape,
		DeclaredRunTime: time.Duration(float64(run) * b.factor(account, k.name)), Capacity: model.CapacityBorrowed,
		Urgent: b.rng.Float64() < 0.02, CanCheckpoint: b.rng.Float64() < k.checkpoint,
	}
	at := b.arrival()
	if b.rng.Float64() < b.d.DeadlineShare {
		job.Deadline = replayStart.Add(at + run*3 + 10*time.Minute)
	}
	b.list.Arrivals = append(b.list.Arrivals, Arrival{At: at, Truth: Truth{Job: job, Run: run, Fails: b.rng.Float64() < 0.004}})
}

// addClaims adds jobs that claim the guaranteed shapes, a few each hour.
func (b *builder) addClaims() {
	for i, id := range accountIDs() {
		g := guarantees()[i]
		for range 8 {
			run := time.Duration((3 + 10*b.rng.Float64()) * float64(time.Minute))
			job := model.Job{
				ID: model.JobID(fmt.Sprintf("j%04d", len(b.list.Arrivals))), Account: id, JobClass: "claim", Shape: g.Shape,
				DeclaredRunTime: time.Duration(float64(run) * b.factor(id, "claim")), Capacity: model.CapacityGuaranteed, CanCheckpoint: true,
			}
			at := time.Duration(b.rng.Float64() * float64(listLength))
			b.list.Arrivals = append(b.list.Arrivals, Arrival{At: at, Truth: Truth{Job: job, Run: run}})
		}
	}
}

// addImpossible adds jobs that nothing in the fleet could ever run.
func (b *builder) addImpossible() {
	for i, s := range []model.Shape{
		taskShape(1, 9, model.TopologyAny), taskShape(4, 8, model.TopologyRack), taskShape(12, 8, model.TopologyAny),
	} {
		job := model.Job{
			ID: model.JobID(fmt.Sprintf("x%04d", i)), Account: accountIDs()[i], JobClass: "impossible", Shape: s,
			DeclaredRunTime: time.Minute, Capacity: model.CapacityBorrowed,
		}
		b.list.Arrivals = append(b.list.Arrivals, Arrival{At: b.arrival(), Truth: Truth{Job: job, Run: time.Minute}})
	}
}

// replayStart is the clock's time at the begin of a replay.
var replayStart = time.Unix(1_800_000_000, 0)
