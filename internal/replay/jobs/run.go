package jobs

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
)

// Variant is one policy of a comparison.
type Variant struct {
	Name   string
	Policy scheduler.Policy
}

// Variants returns the product's policy and the two baselines.
//
// The first baseline keeps the order of submission strictly and takes the first
// workers that fit; guaranteed shapes are reclaimed by stopping the newest
// borrowed work. The second starts whatever fits in the order of submission and
// neither reclaims nor holds anything back. Both trust the declared run times
// and keep using workers that fail.
func Variants() []Variant {
	return []Variant{
		{Name: "dragonflyyard"},
		{Name: "FIFO, first fit", Policy: scheduler.Policy{
			FirstInFirstOut: true, StrictOrder: true, FirstFit: true, EvictNewest: true, NoReservations: true,
			DeclaredRunTimes: true, NoQuarantine: true,
		}},
		{Name: "the same without reclaim or reservations", Policy: scheduler.Policy{
			FirstInFirstOut: true, FirstFit: true, NoReclaim: true, NoReservations: true,
			DeclaredRunTimes: true, NoQuarantine: true,
		}},
	}
}

// Case is one replay.
type Case struct {
	Deployment Deployment
	Seed       uint64
	Policy     scheduler.Policy
	// Weights replace the deployment's own when set.
	Weights *model.PolicyWeights
	// ZoneStays leaves the zone in service, for comparison.
	ZoneStays bool
}

// runLimit ends a replay in which jobs never end.
const runLimit = 4 * listLength

// Run replays a case.
func Run(c Case) Figures {
	options := ReplayOptions()
	options.Latency = c.Deployment.Latency
	options.Scheduler.Policy = c.Policy
	config := c.Deployment.Config
	if c.Weights != nil {
		config.Weights = *c.Weights
	}
	d := NewDriver(options, c.Deployment.Workers, &config, replayStart)
	list := NewList(c.Deployment, c.Seed)
	m := newMeter(d, list)
	for _, a := range list.Arrivals {
		truth := a.Truth
		d.After(a.At, func() {
			m.submitted(&truth)
			d.Submit(&truth)
		})
	}
	d.events(list, c.ZoneStays)
	d.Start()
	d.RunUntil(replayStart.Add(listLength))
	for d.Now.Before(replayStart.Add(runLimit)) && d.Owner.Core.Unfinished() > 0 {
		d.RunUntil(d.Now.Add(time.Minute))
	}
	return m.figures()
}

// events puts the list's faults on the clock.
func (d *Driver) events(list List, zoneStays bool) {
	bad := d.Hosts[list.BadWorker]
	d.After(badWorkerFrom, func() { bad.Bad = true })
	d.After(badWorkerUntil, func() { bad.Bad = false })
	d.After(cancelWaveAt, func() { d.StepOwner(d.Owner, scheduler.Cancel{IDs: list.Cancelled}) })
	if zoneStays {
		return
	}
	d.After(zoneOutAt, func() {
		d.Configure(func(doc *model.ConfigDocument) { doc.Zones[list.Zone] = model.ZoneOut })
	})
	d.After(zoneOutAt+d.Options.Scheduler.ZoneDrainTime+5*time.Second, func() {
		for _, id := range d.order {
			if h := d.Hosts[id]; h.Worker.Zone == list.Zone {
				h.Crash()
				d.StepOwner(d.Owner, scheduler.WorkerLost{Worker: id})
			}
		}
	})
	d.After(zoneBackAt, func() {
		for _, id := range d.order {
			if h := d.Hosts[id]; !h.Alive {
				h.Restart()
			}
		}
		d.Configure(func(doc *model.ConfigDocument) { doc.Zones[list.Zone] = model.ZoneIn })
	})
}
