package entry

import (
	"sort"
	"time"

	"dragonflyyard/internal/link"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// connectedAgent is one agent as this entry host knows it.
type connectedAgent struct {
	conn        *link.Conn
	zone        model.AvailabilityZoneName
	incarnation model.Incarnation
	leaving     bool
	// acknowledged is the configuration version that the agent acts on.
	acknowledged model.ConfigVersion
	configSentAt time.Time
	// assignment is the version of the home assignment that the agent
	// acknowledged, zero for one that reads no deltas, and assignmentSent the
	// last version that it was sent.
	assignment     uint64
	assignmentSent uint64
	// heartbeat is the agent's last heartbeat, received at heartbeatAt.
	heartbeat   uint64
	heartbeatAt time.Time
}

// lacks reports whether the agent did not acknowledge these versions of the
// configuration and, where it acknowledges any, of the home assignment.
func (a *connectedAgent) lacks(config model.ConfigVersion, assignment uint64) bool {
	return a.acknowledged < config || a.assignment != 0 && a.assignment < assignment
}

// holds returns the version of the home assignment that the agent has once all
// that it was sent has arrived, zero for an agent that reads no deltas.
func (a *connectedAgent) holds() uint64 {
	if a.assignment == 0 {
		return 0
	}
	return max(a.assignment, a.assignmentSent)
}

// agentBook holds the agents that are or lately were connected.
type agentBook struct {
	detector *membership.Detector
	agents   map[string]*connectedAgent
	// workers are the workers announced so far, by the agent's process name.
	workers map[string]model.Worker
}

func newAgentBook() *agentBook {
	return &agentBook{
		detector: membership.NewDetector(membership.DefaultDetectorLimits()),
		agents:   map[string]*connectedAgent{},
		workers:  map[string]model.Worker{},
	}
}

func (b *agentBook) connect(now time.Time, c *link.Conn) {
	hello := c.Peer().Hello
	b.agents[hello.Process] = &connectedAgent{
		conn: c, zone: hello.Zone, incarnation: hello.Incarnation, leaving: hello.Leaving,
		acknowledged: hello.Config, assignment: hello.Assignment,
	}
	if hello.Worker != nil {
		b.workers[hello.Process] = *hello.Worker
	}
	b.detector.RecordMessage(now, hello.Process, hello.Incarnation)
}

// on returns the agent whose present connection is c, nil when another one took
// its place or it was lost.
func (b *agentBook) on(c *link.Conn) *connectedAgent {
	if a := b.agents[c.Peer().Process]; a != nil && a.conn == c {
		return a
	}
	return nil
}

// disconnect forgets a connection. Whether the agent is alive is left to the
// detector, since a new connection usually follows.
func (b *agentBook) disconnect(c *link.Conn) {
	if b.on(c) != nil {
		delete(b.agents, c.Peer().Process)
	}
}

// heard notes a heartbeat and returns its agent, nil when the connection is not
// the agent's present one.
func (b *agentBook) heard(now time.Time, c *link.Conn) *connectedAgent {
	a := b.on(c)
	if a == nil {
		return nil
	}
	b.detector.RecordMessage(now, c.Peer().Process, a.incarnation)
	return a
}

func (b *agentBook) leave(now time.Time, c *link.Conn) {
	a := b.on(c)
	if a == nil {
		return
	}
	a.leaving = true
	b.detector.RecordLeave(now, c.Peer().Process, a.incarnation)
}

func (b *agentBook) acknowledge(c *link.Conn, ack wire.ConfigAck) {
	if a := b.on(c); a != nil {
		a.acknowledged = max(a.acknowledged, ack.Version)
		a.assignment = max(a.assignment, ack.Assignment)
	}
}

// sentAssignment notes the version of the home assignment that was sent on a
// connection.
func (b *agentBook) sentAssignment(c *link.Conn, version uint64) {
	if a := b.on(c); a != nil {
		a.assignmentSent = version
	}
}

// tick lets time pass. The worker of an agent that is forgotten no longer
// counts as part of the fleet.
func (b *agentBook) tick(now time.Time) {
	for _, change := range b.detector.Tick(now) {
		if change.To == membership.HealthForgotten {
			delete(b.workers, change.Process)
		}
	}
}

// homes returns the agents that can be homes of request ranges: those that
// are alive or merely suspect. Leaving ones that are still connected are marked:
// they get no ranges, but keep the claims of requests that were minted before
// their ranges moved.
func (b *agentBook) homes() []membership.HomeAgent {
	var out []membership.HomeAgent
	for name, a := range b.agents {
		if a.leaving {
			out = append(out, membership.HomeAgent{ID: model.BackendServerID(name), Incarnation: a.incarnation, Leaving: true})
			continue
		}
		health, incarnation := b.detector.Health(name)
		if health == membership.HealthAlive || health == membership.HealthSuspect {
			out = append(out, membership.HomeAgent{ID: model.BackendServerID(name), Incarnation: incarnation})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// fleet returns the workers announced so far, in the order of their IDs.
func (b *agentBook) fleet() []model.Worker {
	var out []model.Worker
	for _, w := range b.workers {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
