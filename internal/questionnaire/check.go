package questionnaire

import (
	"fmt"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
)

// Finding is one reason to refuse answers.
type Finding struct {
	// Key is the path of the answer, such as "accounts[1].work[0].tasks".
	Key     string
	Message string
	// Allowed says which answers are accepted; it may be empty.
	Allowed string
}

// Limits of answers.
const (
	maxZones   = 42
	maxWorkers = 20_000
	maxLists   = 1000
	maxTime    = 30 * 24 * time.Hour
)

// Check returns the reasons to refuse answers: values out of range first, and
// only where there are none, contradictions between answers.
func Check(a Answers) []Finding {
	c := checker{answers: a}
	c.region()
	c.ranking()
	c.accounts()
	if len(c.findings) == 0 {
		c.contradictions()
	}
	if len(c.findings) == 0 {
		c.room()
	}
	return c.findings
}

type checker struct {
	answers  Answers
	findings []Finding
}

func (c *checker) report(key, allowed, format string, args ...any) {
	c.findings = append(c.findings, Finding{Key: key, Allowed: allowed, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) intRange(key string, value, low, high int) {
	if value < low || value > high {
		c.report(key, fmt.Sprintf("%d to %d", low, high), "%d is out of range", value)
	}
}

func (c *checker) name(key, value string, taken map[string]bool) {
	const form = "1 to 64 letters, digits, '-' or '_'"
	ok := value != "" && len(value) <= 64
	for _, r := range value {
		ok = ok && (r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}
	if !ok {
		c.report(key, form, "%q is not a name", value)
	}
	if taken[value] {
		c.report(key, "", "the name %q is used twice", value)
	}
	taken[value] = true
}

func (c *checker) region() {
	a := c.answers
	c.name("region", string(a.Region), map[string]bool{})
	c.intRange("zones", len(a.Zones), 1, maxZones)
	taken := map[string]bool{}
	for i, zone := range a.Zones {
		c.name(fmt.Sprintf("zones[%d]", i), string(zone), taken)
	}
	c.intRange("fleet.workers", a.Fleet.Workers, 1, maxWorkers)
	c.intRange("fleet.workers_per_rack", a.Fleet.WorkersPerRack, 1, 1000)
	one := model.Shape{Tasks: 1, PerTask: a.Fleet.Worker, Topology: model.TopologyAny}
	if err := operatorapi.CheckShape(one); err != nil {
		c.report("fleet.worker", "", "a worker has 0 to 64 accelerators, at least one core and 1 MB of memory")
	}
}

func (c *checker) ranking() {
	ranks := map[Figure]int{}
	for _, figure := range c.answers.Ranking {
		ranks[figure]++
	}
	whole := len(c.answers.Ranking) == len(figures())
	for _, figure := range figures() {
		whole = whole && ranks[figure] == 1
	}
	if !whole {
		c.report("ranking", "completion_time, fragmentation and work_in_zone_change, each once",
			"the ranking does not list each of the three figures once")
	}
}

func (c *checker) accounts() {
	c.intRange("accounts", len(c.answers.Accounts), 1, maxLists)
	taken := map[string]bool{}
	for i, account := range c.answers.Accounts {
		key := fmt.Sprintf("accounts[%d]", i)
		c.name(key+".id", string(account.ID), taken)
		c.intRange(key+".share", account.Share, 1, 1000)
		c.intRange(key+".waiting_requests", account.WaitingRequests, 1, 1_000_000)
		c.intRange(key+".work", len(account.Work), 0, maxLists)
		takenWork := map[string]bool{}
		for j, work := range account.Work {
			c.work(fmt.Sprintf("%s.work[%d]", key, j), work, takenWork)
		}
	}
}

func (c *checker) work(key string, w Work, taken map[string]bool) {
	c.name(key+".name", w.Name, taken)
	c.intRange(key+".tasks", w.Tasks, 1, model.MaxGangSize)
	c.intRange(key+".accelerators", w.Accelerators, 0, 64)
	c.intRange(key+".cores", w.Cores, 1, 4096)
	c.intRange(key+".memory_mb", w.MemoryMB, 1, 64<<20)
	c.intRange(key+".guaranteed_at_once", w.GuaranteedAtOnce, 0, maxWorkers)
	switch w.Adjacent {
	case model.TopologyAny, model.TopologyZone, model.TopologyRack:
	default:
		c.report(key+".adjacent", "rack, zone, any", "%q is not a topology", w.Adjacent)
	}
	if w.RunTime <= 0 || w.RunTime > maxTime {
		c.report(key+".run_time", fmt.Sprintf("more than 0s and at most %s", maxTime), "%s is out of range", w.RunTime)
	}
	if w.NeededWithin < 0 || w.NeededWithin > maxTime {
		c.report(key+".needed_within", fmt.Sprintf("0s to %s, where 0s means no deadline", maxTime), "%s is out of range", w.NeededWithin)
	}
}

// contradictions looks for answers that exclude each other.
func (c *checker) contradictions() {
	a := c.answers
	if a.Fleet.Workers < len(a.Zones) {
		c.report("fleet.workers", "", "%d workers leave some of the %d zones without one", a.Fleet.Workers, len(a.Zones))
	}
	if a.SurviveZoneLoss && len(a.Zones) == 1 {
		c.report("survive_zone_loss", "", "guarantees cannot survive the loss of the only zone")
	}
	for i, account := range a.Accounts {
		for j, work := range account.Work {
			c.workContradictions(fmt.Sprintf("accounts[%d].work[%d]", i, j), work)
		}
	}
}

func (c *checker) workContradictions(key string, w Work) {
	if w.NeededWithin > 0 && w.RunTime > w.NeededWithin {
		c.report(key+".needed_within", "", "work that runs for %s cannot be done within %s", w.RunTime, w.NeededWithin)
	}
	if w.Urgent && w.GuaranteedAtOnce == 0 {
		c.report(key+".urgent", "", "urgent work needs a guarantee, since only guaranteed capacity can always be reclaimed in time")
	}
	if !w.MayBorrow && w.GuaranteedAtOnce == 0 {
		c.report(key+".may_borrow", "", "work that has no guarantee and may not borrow can never run")
	}
	if largest, where := c.largestGang(w); largest < w.Tasks {
		c.report(key+".tasks", "", "%s has room for %d of these tasks at once, the work needs %d", where, largest, w.Tasks)
	}
}

// largestGang returns how many tasks of a work fit at once where its topology
// allows them, on an empty fleet, and the name of that place.
func (c *checker) largestGang(w Work) (int, string) {
	f := c.answers.Fleet
	perWorker := tasksPerWorker(f.Worker, w.Shape().PerTask)
	largestZone := workersInZone(f.Workers, len(c.answers.Zones), 0)
	switch w.Adjacent {
	case model.TopologyRack:
		return perWorker * min(f.WorkersPerRack, largestZone), "the largest rack"
	case model.TopologyZone:
		return perWorker * largestZone, "the largest zone"
	default:
		return perWorker * f.Workers, "the whole fleet"
	}
}

// workersInZone returns how many workers lie in the zone with the given index
// when workers are dealt to the zones in turn.
func workersInZone(workers, zones, index int) int {
	return (workers + zones - 1 - index) / zones
}

// tasksPerWorker returns how many equal tasks fit on one worker.
func tasksPerWorker(worker, task model.Resources) int {
	fit := model.MaxGangSize
	for _, pair := range [][2]int{
		{worker.Accelerators, task.Accelerators}, {worker.Cores, task.Cores}, {worker.MemoryMB, task.MemoryMB},
	} {
		if pair[1] > 0 {
			fit = min(fit, pair[0]/pair[1])
		}
	}
	return fit
}
