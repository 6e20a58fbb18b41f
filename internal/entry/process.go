// Package entry is the shell of dragonfly-entry: the callers' and operators'
// HTTP front, the links to agents and to other entry hosts, and the duties
// around the pure decision packages.
//
// # How to add to the process
//
// A subsystem of the entry host lives in its own files of this package and is
// connected in extensions.go, which New calls before the process runs. There:
//
//   - p.HandleHTTP(method, pathPrefix, handler) serves HTTP; process.WriteJSON
//     and process.WriteError write the answers.
//   - p.Hub.Handle(role, messageType, handler) takes messages of a type from
//     agents (wire.RoleAgent) or entry hosts (wire.RoleEntry). A handler must
//     not wait: it pushes onto the ring of its duty and returns false when the
//     ring is full. wire.TypeHeartbeat is delivered as well, so a Permit can
//     name the heartbeat that it answers.
//   - p.Hub.OnState(role, handler) learns of connections that came up (cause
//     nil) or were lost. Conn.Peer().Hello is an agent's announcement.
//   - p.Send(process, message) queues a message for a peer by its process name.
//   - p.DialEntry(address) keeps a link to another entry host; p.SetRoster
//     changes the addresses that Welcome messages carry.
//   - p.AddDuty(name, run) adds a goroutine; p.OnStop(stage, name, step) adds a
//     step of the graceful stop.
//   - p.Log, p.Metrics, p.Logger and p.Now are the time line, the metrics
//     registry, the logger and the clock.
package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"dragonflyyard/internal/link"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/process"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/wire"
)

// Config is what an entry host is started with.
type Config struct {
	Settings settings.Entry
	// LinkAddress is the address (IP:port) at which others reach the links; the
	// one that is listened on where it is empty.
	LinkAddress string
	Logger      *zap.Logger
	Now         func() time.Time
}

// Process is one entry host.
type Process struct {
	*process.Base
	Config   Config
	Hub      *link.Hub
	Requests *Requests
	// State and Scheduler are the duties behind the operators' interface.
	State     *State
	Scheduler *Scheduler

	linkListener net.Listener
	dials        chan string

	rosterMu sync.Mutex
	roster   []string
}

// New returns an entry host that listens but does not serve yet.
func New(config Config) (*Process, error) {
	s := config.Settings
	base, err := process.New(process.Options{
		Name: string(s.ID), HTTPAddress: s.HTTPAddress,
		EventCapacity: s.Process.TimelineEvents, StopTimeout: s.Process.StopTimeout,
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxConnections: s.Limits.MaxHTTPConnections,
		Logger: config.Logger, Now: config.Now,
	})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.LinkAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on link address %q", s.LinkAddress)
	}
	p := &Process{Base: base, Config: config, linkListener: listener, dials: make(chan string, maxWaitingDials)}
	p.roster = append([]string{p.LinkAddress()}, s.Peers...)
	identity := link.Identity{Process: base.Name, Incarnation: base.Incarnation, Hello: p.hello, Roster: p.Roster,
		HTTPAddress: p.HTTPAddress(), Zone: s.Zone,
		NeedsStatus: func() bool { return p.State.needsStatus.Load() }}
	p.Hub = link.NewHub(identity, process.LinkOptions(&s.Links), base.Log, base.Metrics, base.Now)
	p.Requests = newRequests(p.requestConfig(), s.Process.RingCapacity, base, p.Hub)
	p.registerCallers()
	p.HandleHTTP(fasthttp.MethodGet, operatorapi.PathProcesses, p.serveProcesses)
	p.AddDuty("request core", p.Requests.run)
	p.OnStop(process.StageAnnounce, "drain delay", p.waitForBalancer)
	p.OnStop(process.StageDrain, "requests", p.Requests.drain)
	p.AddDuty("link server", func(ctx context.Context) error { return p.Hub.Accept(ctx, p.linkListener) })
	p.AddDuty("link dialler", p.runDials)
	p.registerExtensions()
	return p, nil
}

// LinkAddress returns the address at which others reach the links, IP:port.
func (p *Process) LinkAddress() string {
	if p.Config.LinkAddress != "" {
		return p.Config.LinkAddress
	}
	return p.ListenAddress()
}

// ListenAddress returns the address that links are accepted on, IP:port.
func (p *Process) ListenAddress() string { return p.linkListener.Addr().String() }

// Send queues a message for a peer process. It returns false when there is no
// connection to it or its queue is full.
func (p *Process) Send(to string, m wire.Message) bool { return p.Hub.Send(to, m) }

// Roster returns the link addresses of all entry hosts known.
func (p *Process) Roster() []string {
	p.rosterMu.Lock()
	defer p.rosterMu.Unlock()
	return slices.Clone(p.roster)
}

// SetRoster replaces the link addresses that agents are told.
func (p *Process) SetRoster(addresses []string) {
	p.rosterMu.Lock()
	defer p.rosterMu.Unlock()
	p.roster = slices.Clone(addresses)
}

// maxWaitingDials bounds the addresses that wait for the dialling duty to take
// them. It does not bound the addresses that are dialled.
const maxWaitingDials = 64

// DialEntry keeps a link to the entry host at an address open from now on, until
// the process stops. It returns false when too many addresses wait already.
func (p *Process) DialEntry(address string) bool {
	select {
	case p.dials <- address:
		return true
	default:
		return false
	}
}

func (p *Process) runDials(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	known := map[string]bool{p.LinkAddress(): true}
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-p.dials:
			if known[address] {
				continue
			}
			known[address] = true
			running.Go(func() { p.Hub.Dial(ctx, address) })
		}
	}
}

func (p *Process) hello() wire.Hello {
	return wire.Hello{
		Role: wire.RoleEntry, Process: p.Name, Incarnation: p.Incarnation,
		Region: p.Config.Settings.Region, Zone: p.Config.Settings.Zone, Leaving: p.IsStopping(),
		HTTPAddress: p.HTTPAddress(),
	}
}

// waitForBalancer keeps serving while the health check already fails, so that
// the balancer takes the host out before requests are refused.
func (p *Process) waitForBalancer(ctx context.Context) {
	select {
	case <-time.After(p.Config.Settings.Process.DrainDelay):
	case <-ctx.Done():
	}
}

func (p *Process) requestConfig() requestflow.Config {
	s := &p.Config.Settings
	return requestflow.Config{
		Entry: s.ID, Incarnation: p.Incarnation, Zone: s.Zone, ClockSkewBound: s.Process.ClockSkewBound,
		MaxRequests: s.Limits.MaxRequests, MaxQueuedPerAccount: s.Limits.MaxQueuedPerAccount,
		MaxCallers: s.Limits.MaxCallersPerRequest, MaxAnswerBytes: s.Limits.MaxAnswerBytes,
		ClaimTimeout: s.Timeouts.Claim, ProbeInterval: s.Timeouts.Probe, ResolveTimeout: s.Timeouts.Resolve,
		MaxAttempts: s.Limits.MaxAttempts,
	}
}
