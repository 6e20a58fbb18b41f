// Package agent is the shell of dragonfly-agent: the links to the entry hosts,
// the caller of the backend server beside it, and the duties around the pure
// decision packages.
//
// # How to add to the process
//
// A subsystem of the agent lives in its own files of this package and is
// connected in extensions.go, which New calls before the process runs. There:
//
//   - p.HandleHTTP(method, pathPrefix, handler) serves HTTP.
//   - p.Hub.Handle(wire.RoleEntry, messageType, handler) takes messages of a
//     type from entry hosts. A handler must not wait: it pushes onto the ring
//     of its duty and returns false when the ring is full.
//   - p.Hub.OnState(wire.RoleEntry, handler) learns of connections that came up
//     (cause nil) or were lost.
//   - Conn.HeartbeatSentAt(permit.AnsweredHeartbeat) gives the instant from
//     which a wire.Permit counts.
//   - p.Send(process, message) queues a message for an entry host by its
//     process name; p.SendAll(message) does so for each connected one.
//   - p.AddDuty(name, run) adds a goroutine; p.OnStop(stage, name, step) adds a
//     step of the graceful stop.
//   - p.Log, p.Metrics, p.Logger and p.Now are the time line, the metrics
//     registry, the logger and the clock.
package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/process"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/wire"
)

// Config is what an agent is started with.
type Config struct {
	Settings settings.Agent
	Logger   *zap.Logger
	Now      func() time.Time
}

// Process is one agent.
type Process struct {
	*process.Base
	Config   Config
	Hub      *link.Hub
	Requests *Requests
	Permits  *Permits
	// Worker is nil when there is no worker beside the agent.
	Worker *Worker

	rosters chan []string
}

// New returns an agent that listens on its HTTP address but does not run yet.
func New(config Config) (*Process, error) {
	s := config.Settings
	base, err := process.New(process.Options{
		Name: string(s.ID), HTTPAddress: s.HTTPAddress,
		EventCapacity: s.Process.TimelineEvents, StopTimeout: s.Process.StopTimeout,
		Logger: config.Logger, Now: config.Now,
	})
	if err != nil {
		return nil, err
	}
	p := &Process{Base: base, Config: config, rosters: make(chan []string, maxEntryHosts)}
	identity := link.Identity{Process: base.Name, Incarnation: base.Incarnation, Hello: p.hello}
	p.Hub = link.NewHub(identity, process.LinkOptions(&s.Links), base.Log, base.Metrics, base.Now)
	backend := newBackendCaller(p)
	p.Requests = newRequests(p, p.executorConfig(), backend)
	p.AddDuty("backend server caller", backend.run)
	p.AddDuty("executor core", p.Requests.run)
	p.OnStop(process.StageDrain, "requests", p.Requests.drain)
	p.OnStop(process.StageHandOver, "flush links", p.Hub.Flush)
	p.Hub.OnState(wire.RoleEntry, p.noteRoster)
	p.AddDuty("link dialler", p.runDials)
	if err := p.registerExtensions(); err != nil {
		return nil, err
	}
	return p, nil
}

// Send queues a message for an entry host. It returns false when there is no
// connection to it or its queue is full.
func (p *Process) Send(to string, m wire.Message) bool { return p.Hub.Send(to, m) }

// SendAll queues a message for each connected entry host.
func (p *Process) SendAll(m wire.Message) {
	for _, c := range p.Hub.Conns(wire.RoleEntry) {
		c.Send(m)
	}
}

// maxEntryHosts bounds the entry hosts that an agent keeps links to.
const maxEntryHosts = 64

// noteRoster passes the addresses that an entry host told to the dialler. A
// roster that finds no room is told again with the next connection.
func (p *Process) noteRoster(c *link.Conn, cause error) bool {
	if cause == nil && len(c.Peer().Roster) > 0 {
		select {
		case p.rosters <- c.Peer().Roster:
		default:
		}
	}
	return true
}

// noteRosterNotice passes the addresses of a changed roster to the dialler.
func (p *Process) noteRosterNotice(_ *link.Conn, m wire.Message) bool {
	select {
	case p.rosters <- m.(*wire.RosterNotice).Addresses:
		return true
	default:
		return false
	}
}

func (p *Process) runDials(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	known := map[string]bool{}
	dial := func(addresses []string) {
		for _, address := range addresses {
			if known[address] || len(known) >= maxEntryHosts {
				continue
			}
			known[address] = true
			running.Go(func() { p.Hub.Dial(ctx, address) })
		}
	}
	dial(p.Config.Settings.Entries)
	for {
		select {
		case <-ctx.Done():
			return nil
		case addresses := <-p.rosters:
			dial(addresses)
		}
	}
}

func (p *Process) hello() wire.Hello {
	s := &p.Config.Settings
	return wire.Hello{
		Role: wire.RoleAgent, Process: p.Name, Incarnation: p.Incarnation, Region: s.Region, Zone: s.Zone,
		Backend: &model.BackendServer{
			ID: s.ID, Zone: s.Zone, Slots: s.BackendServer.Slots, Connections: s.BackendServer.Connections,
		},
		Worker: p.worker(), Leaving: p.IsStopping(), HTTPAddress: p.HTTPAddress(),
		Config: p.Permits.configVersion(), Assignment: p.Permits.assignmentVersion.Load(),
	}
}

// worker describes the host's worker, or returns nil when there is none.
func (p *Process) worker() *model.Worker {
	s := &p.Config.Settings
	if s.Worker.Address == "" {
		return nil
	}
	return &model.Worker{ID: s.Worker.ID, Zone: s.Zone, Rack: s.Rack, Capacity: s.Worker.Capacity}
}

func (p *Process) executorConfig() executor.Config {
	s := &p.Config.Settings
	return executor.Config{
		ID: s.ID, Incarnation: p.Incarnation, Started: p.Now(),
		Slots: s.BackendServer.Slots, Connections: s.BackendServer.Connections,
		ClockSkewBound: s.Process.ClockSkewBound, LongestPermit: permit.LongestValidity, Horizon: s.Limits.Horizon, MaxRecords: s.Limits.MaxRecords,
		AnswerTTL: s.Limits.AnswerTTL, MaxAnswerBytes: s.Limits.MaxAnswerBytes,
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxPartialBytes: s.Limits.MaxPartialBytes,
	}
}
