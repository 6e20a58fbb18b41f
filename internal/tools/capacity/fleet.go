package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/capacity"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/tools/localregion"
	"dragonflyyard/internal/wire"
)

// fleetUpLimit bounds the wait until all links of a fleet are up.
const fleetUpLimit = 30 * time.Second

// homesSettleTime lets the homes of a new fleet be planned and delivered, which
// takes a version of the assignment for each second in which links came up.
const homesSettleTime = 10 * time.Second

// fleet is a number of agents that do nothing but keep a link to one entry host
// and follow its configuration. They live in this process.
type fleet struct {
	hubs    []*link.Hub
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startFleet(agents int, region model.RegionName, address string) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel}
	for i := range agents {
		hub := newFleetHub(model.BackendServerID(fmt.Sprintf("fleet-%05d", i)), region)
		f.hubs = append(f.hubs, hub)
		f.running.Go(func() { hub.Dial(ctx, address) })
	}
	return f
}

func newFleetHub(id model.BackendServerID, region model.RegionName) *link.Hub {
	identity := link.Identity{Process: string(id), Incarnation: 1, Hello: func() wire.Hello {
		return wire.Hello{
			Role: wire.RoleAgent, Process: string(id), Incarnation: 1, Region: region,
			Backend: &model.BackendServer{ID: id, Slots: 8, Connections: 64},
		}
	}}
	const events = 16
	hub := link.NewHub(identity, link.Options{}, event.NewLog(string(id), events, time.Now), nil, time.Now)
	assignment := uint64(0)
	hub.Handle(wire.RoleEntry, wire.TypeConfigUpdate, func(c *link.Conn, m wire.Message) bool {
		update := m.(*wire.ConfigUpdate)
		if update.Assignment != nil {
			assignment = max(assignment, update.Assignment.Version)
		}
		if update.Delta != nil {
			assignment = max(assignment, update.Delta.To)
		}
		return c.Send(&wire.ConfigAck{Version: update.To, Assignment: assignment})
	})
	return hub
}

// awaitUp waits until all links are up.
func (f *fleet) awaitUp() error {
	const poll = 20 * time.Millisecond
	for limit := time.Now().Add(fleetUpLimit); ; time.Sleep(poll) {
		up := 0
		for _, hub := range f.hubs {
			up += len(hub.Conns(wire.RoleEntry))
		}
		if up == len(f.hubs) {
			return nil
		}
		if time.Now().After(limit) {
			return errors.Newf("%d of %d links are up", up, len(f.hubs))
		}
	}
}

func (f *fleet) stop() {
	f.cancel()
	f.running.Wait()
}

// measureFleets measures one entry host of an idle region with many links.
func measureFleets(w io.Writer, d settings.Deployment, binaries string, sizes []int) error {
	if len(sizes) == 0 {
		return nil
	}
	fmt.Fprintln(w, "\n## One entry host of 3 with links to many agents")
	fmt.Fprintln(w, "\n| links | core share | resident bytes | link bytes a second | frames a second |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	var core, resident, bytes []capacity.Point
	d.Agents = 1
	for _, size := range sizes {
		r, err := measureFleet(d, binaries, size)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "| %d | %.4f | %.0f | %.0f | %.1f |\n", size, r.coreShare, r.rssBytes, r.bytesPerSecond, r.frames)
		core = append(core, capacity.Point{Size: float64(size), Cost: r.coreShare})
		resident = append(resident, capacity.Point{Size: float64(size), Cost: r.rssBytes})
		bytes = append(bytes, capacity.Point{Size: float64(size), Cost: r.bytesPerSecond})
	}
	fmt.Fprintf(w, "\nSlopes for each link: core share %.3g, resident %.0f bytes, %.0f bytes a second.\n",
		capacity.Fit(core).Slope, capacity.Fit(resident).Slope, capacity.Fit(bytes).Slope)
	return nil
}

func measureFleet(d settings.Deployment, binaries string, agents int) (rate, error) {
	var measured rate
	err := withRegion(d, binaries, func(r *localregion.Region) error {
		f := startFleet(agents, d.Region, r.Deployment.EntryLinkAddress(0))
		defer f.stop()
		if err := f.awaitUp(); err != nil {
			return err
		}
		time.Sleep(homesSettleTime)
		before, after, err := sample(r)
		if err != nil {
			return err
		}
		measured = meanRate("entry", before[:1], after[:1])
		return nil
	})
	return measured, err
}
