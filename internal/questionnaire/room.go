package questionnaire

import (
	"fmt"
	"strings"

	"dragonflyyard/internal/guarantee"
	"dragonflyyard/internal/model"
)

// maxCells is the largest number of guaranteed jobs over all accounts.
const maxCells = 20_000

// room checks that all guarantees can be placed at once, also without any one
// zone where the answers ask for that. It uses the placement that the scheduler
// uses, on an empty fleet.
func (c *checker) room() {
	cells := 0
	for _, account := range c.answers.Accounts {
		for _, w := range account.Work {
			cells += w.GuaranteedAtOnce
		}
	}
	if cells > maxCells {
		c.report("accounts", fmt.Sprintf("at most %d", maxCells), "%d jobs are guaranteed in all", cells)
		return
	}
	ledger := guarantee.NewLedger()
	for _, worker := range c.answers.Fleet.workers(c.answers.Zones) {
		ledger.SetWorker(worker, true)
	}
	ledger.SetGuarantees(Generate(c.answers).Guarantees)
	ledger.Cover()
	if uncovered := ledger.Uncovered(); len(uncovered) > 0 {
		c.report("accounts", "", "the guarantees do not fit on the fleet together: %s", ledger.UncoveredReason(uncovered[0]))
		return
	}
	if c.answers.SurviveZoneLoss {
		c.zoneLoss(ledger)
	}
}

func (c *checker) zoneLoss(ledger *guarantee.Ledger) {
	for _, loss := range ledger.CheckZoneLoss() {
		if len(loss.Uncovered) > 0 {
			c.report("survive_zone_loss", "", "without zone %s there is no room for %s", loss.Zone, firstOf(loss.Uncovered))
		}
	}
}

// firstOf names a few items and says how many there are.
func firstOf(items []string) string {
	const named = 3
	if len(items) <= named {
		return strings.Join(items, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(items[:named], ", "), len(items)-named)
}

// workers returns the fleet's workers, dealt to the zones in turn.
func (f Fleet) workers(zones []model.AvailabilityZoneName) []model.Worker {
	workers := make([]model.Worker, f.Workers)
	for i := range workers {
		zone := zones[i%len(zones)]
		workers[i] = model.Worker{
			ID:       model.WorkerID(fmt.Sprintf("worker-%d", i)),
			Zone:     zone,
			Rack:     model.RackID(fmt.Sprintf("%s-rack-%d", zone, i/len(zones)/f.WorkersPerRack)),
			Capacity: f.Worker,
		}
	}
	return workers
}
