package questionnaire

import "dragonflyyard/internal/model"

// room checks that all guarantees fit at once, also without the largest zone
// where the answers ask for that.
func (c *checker) room() {
	workers := c.answers.Fleet.Workers
	if !c.hasRoom(workers) {
		c.report("accounts", "", "the guarantees of all accounts together need more than the fleet of %d workers has", workers)
		return
	}
	rest := workers - workersInZone(workers, len(c.answers.Zones), 0)
	if c.answers.SurviveZoneLoss && !c.hasRoom(rest) {
		c.report("survive_zone_loss", "", "without the largest zone %d workers are left, and the guarantees of all accounts need more", rest)
	}
}

// hasRoom compares the sum of all guarantees with the sum of a number of workers.
func (c *checker) hasRoom(workers int) bool {
	worker := c.answers.Fleet.Worker
	var need model.Resources
	for _, account := range c.answers.Accounts {
		for _, w := range account.Work {
			tasks := w.Tasks * w.GuaranteedAtOnce
			need = need.Add(model.Resources{Accelerators: tasks * w.Accelerators, Cores: tasks * w.Cores, MemoryMB: tasks * w.MemoryMB})
		}
	}
	return need.Fits(model.Resources{
		Accelerators: workers * worker.Accelerators, Cores: workers * worker.Cores, MemoryMB: workers * worker.MemoryMB})
}
