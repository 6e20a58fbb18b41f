package entry

import (
	"slices"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/wire"
)

// takeLink takes in a connection that came up or was lost.
func (s *State) takeLink(now time.Time, change linkChange) {
	peer := change.conn.Peer()
	if peer.Role == wire.RoleEntry {
		if change.lost {
			s.issuer.Disconnected(model.EntryID(peer.Process))
			s.statuses.forget(peer.Process)
			delete(s.peerHomes, peer.Process)
			return
		}
		s.sendConfig(change.conn, 0, 0)
		return
	}
	if change.lost {
		s.agents.disconnect(change.conn)
		return
	}
	s.agents.connect(now, change.conn)
	s.sendConfig(change.conn, peer.Hello.Config, peer.Hello.Assignment)
	s.agents.sentAssignment(change.conn, s.homes.Version())
	s.sendRoster(change.conn)
	s.sendOwner(change.conn)
}

func (s *State) takeMessage(now time.Time, m linkMessage) {
	peer := m.conn.Peer()
	switch body := m.body.(type) {
	case *wire.Heartbeat:
		if peer.Role == wire.RoleAgent {
			s.answerAgent(now, m.conn, m.at, body.Seq)
			return
		}
		s.answerEntry(now, m.conn, body)
	case *wire.ConfigAck:
		s.agents.acknowledge(m.conn, *body)
	case *wire.Leaving:
		s.agents.leave(now, m.conn)
	case *wire.StoreStatus:
		s.takeStatus(now, m.conn, body)
	case *wire.OwnershipNotice:
		s.noteOwner(body.Owner, body.Epoch)
	case *wire.ConfigUpdate:
		if peer.Role == wire.RoleEntry {
			s.learnConfig(now, body)
		}
	}
}

// takeStatus takes in what another entry host said in answer to a heartbeat.
func (s *State) takeStatus(now time.Time, c *link.Conn, status *wire.StoreStatus) {
	sentAt, known := c.HeartbeatSentAt(status.Seq)
	if !known {
		return
	}
	id := model.EntryID(c.Peer().Process)
	s.issuer.Asked(sentAt, id, status.Seq)
	s.issuer.Answered(id, *status)
	s.stepRoster(now, membership.PeerStatus{
		Peer: id, AskedAt: sentAt, Roster: status.Roster, Established: status.Established,
	})
	s.noteOwner("", status.OwnerEpoch)
	s.extendOwnership(now)
	s.peerHomes[c.Peer().Process] = status.Assignment
	switch {
	case status.Assignment < s.homes.Version():
		// The peer was sent the delta already and could not use it.
		s.sendConfig(c, status.Config, 0)
	case status.Config < s.config.Document().Version:
		s.sendConfig(c, status.Config, status.Assignment)
	}
}

// learnConfig takes in what another entry host knows to be accepted.
func (s *State) learnConfig(now time.Time, update *wire.ConfigUpdate) {
	learned := *update
	learned.Assignment, learned.Delta = nil, nil
	if next, later := dedup.Follow(s.config.Assignment(), update); later {
		learned.Assignment = &next
	}
	s.stepConfig(now, configstore.PeerUpdate{Update: learned})
}

// answerEntry answers another entry host's heartbeat with this host's status,
// unless that host has it already and rests nothing on it.
func (s *State) answerEntry(now time.Time, c *link.Conn, beat *wire.Heartbeat) {
	s.refreshIssuer()
	status := s.issuer.Status(now, beat.Seq)
	if s.statuses.isDue(now, c.Peer().Process, status, beat.NoStatus) {
		c.Send(&status)
	}
}

// answerAgent answers an agent's heartbeat with a start permit, and with the
// configuration that the agent lacks.
func (s *State) answerAgent(now time.Time, c *link.Conn, receivedAt time.Time, seq uint64) {
	agent := s.agents.heard(now, c)
	if agent == nil {
		return
	}
	if agent.lacks(s.config.Document().Version, s.homes.Version()) && now.Sub(agent.configSentAt) >= configResend {
		agent.configSentAt = now
		agent.assignmentSent = s.homes.Version()
		s.sendConfig(c, agent.acknowledged, agent.assignment)
	}
	agent.heartbeat, agent.heartbeatAt = seq, receivedAt
	s.refreshIssuer()
	s.issue(now, agent)
}

// issue sends an agent a permit that answers its last heartbeat.
func (s *State) issue(now time.Time, agent *connectedAgent) {
	granted, reason := s.issuer.Issue(now, agent.heartbeatAt, agent.heartbeat, agent.zone)
	if reason != permit.ReasonNone {
		s.notePermitRefused(reason)
		return
	}
	s.permitRefused = permit.ReasonNone
	agent.conn.Send(&granted)
}

// reissue answers the last heartbeat of each agent once more, under the state
// that was just put into force. Agents drop permits that name an older state,
// and would otherwise wait for their next heartbeat.
func (s *State) reissue(now time.Time) {
	s.refreshIssuer()
	for _, agent := range s.agents.agents {
		if agent.heartbeat != 0 {
			s.issue(now, agent)
		}
	}
}

// configResend is how long an agent has to acknowledge a configuration before
// it is sent again.
const configResend = time.Second

// notePermitRefused records the first of a run of refusals for one reason.
func (s *State) notePermitRefused(reason permit.Reason) {
	if s.permitRefused == reason {
		return
	}
	s.permitRefused = reason
	s.p.Log.Record(event.Event{Code: event.PermitRefused, Detail: string(reason)})
}

// refreshIssuer hands the issuer what is known now.
func (s *State) refreshIssuer() {
	view := s.config.View()
	s.issuer.SetState(permit.State{
		Ready: view.Ready, Config: view.Config, Assignment: view.Assignment,
		OwnerEpoch: s.lastOwner().Epoch, CurrentSince: view.CurrentSince,
		RosterSince: s.roster.LastListStart(), ZonesOut: view.ZonesOut, InDoubt: view.AssignmentInDoubt,
	})
}

// sendConfig brings a peer from the versions that it has to the present ones. A
// peer whose assignment version is given must read an AssignmentDelta.
func (s *State) sendConfig(c *link.Conn, version model.ConfigVersion, assignment uint64) {
	if s.config.Document().Version == 0 && s.config.Assignment().Version == 0 {
		return
	}
	update := s.config.UpdateFrom(version, s.config.Assignment().Version)
	s.homes.Fill(&update, assignment)
	c.Send(&update)
}

func (s *State) sendRoster(c *link.Conn) {
	c.Send(&wire.RosterNotice{Addresses: s.p.Roster()})
}

// sendOwner tells an agent who owns the region's scheduler, as far as this
// entry host is the owner itself.
func (s *State) sendOwner(c *link.Conn) {
	if epoch, mine := s.holdsLease(s.p.Now()); mine {
		c.Send(&wire.OwnershipNotice{Owner: s.p.Config.Settings.ID, Epoch: epoch})
	}
}

// broadcastOwner tells all agents and entry hosts of this host's ownership.
func (s *State) broadcastOwner() {
	for _, role := range []wire.Role{wire.RoleAgent, wire.RoleEntry} {
		for _, c := range s.p.Hub.Conns(role) {
			s.sendOwner(c)
		}
	}
}

// broadcastAssignment sends the present home assignment to all agents and entry
// hosts: the ranges that moved since the version that each holds, or the whole
// to one of which none is known. A peer that could not use a delta is brought
// up with a later heartbeat or status.
func (s *State) broadcastAssignment() {
	version := s.config.Document().Version
	for _, agent := range s.agents.agents {
		update := wire.ConfigUpdate{From: version, To: version}
		s.homes.Fill(&update, agent.holds())
		agent.assignmentSent = s.homes.Version()
		agent.conn.Send(&update)
	}
	for _, c := range s.p.Hub.Conns(wire.RoleEntry) {
		update := wire.ConfigUpdate{From: version, To: version}
		s.homes.Fill(&update, s.peerHomes[c.Peer().Process])
		c.Send(&update)
	}
}

// broadcastConfig sends a step of the configuration to all agents and entry
// hosts. A peer that lacks an earlier step is brought up with its next heartbeat.
func (s *State) broadcastConfig(update *wire.ConfigUpdate) {
	for _, role := range []wire.Role{wire.RoleAgent, wire.RoleEntry} {
		for _, c := range s.p.Hub.Conns(role) {
			c.Send(update)
		}
	}
}

// setRoster takes a new roster over: its addresses go to the agents, and the
// entry hosts with a higher address are dialled. Of two entry hosts the one
// with the lower link address dials, so that they have one connection.
func (s *State) setRoster(view membership.RosterView) {
	addresses := []string{s.p.LinkAddress()}
	ids := make([]model.EntryID, 0, len(view.Others))
	for _, other := range view.Others {
		ids = append(ids, other.ID)
		if other.Address != "" {
			addresses = append(addresses, other.Address)
		}
	}
	for _, peer := range s.p.Config.Settings.Peers {
		if !slices.Contains(addresses, peer) {
			addresses = append(addresses, peer)
		}
	}
	s.issuer.SetRoster(permit.Roster{
		Others: ids, ConfirmedAt: view.ConfirmedAt, Established: view.Established,
		Listed: view.Listed, MayRely: view.MayRely, RelyOn: view.RelyOn,
	})
	s.dialPeers(addresses)
	if slices.Equal(addresses, s.p.Roster()) {
		return
	}
	s.p.SetRoster(addresses)
	for _, c := range s.p.Hub.Conns(wire.RoleAgent) {
		s.sendRoster(c)
	}
}

func (s *State) dialPeers(addresses []string) {
	for _, address := range addresses {
		if address > s.p.LinkAddress() {
			s.p.DialEntry(address)
		}
	}
}

// pendingUpdates holds what the request core has still to be told.
type pendingUpdates struct {
	document   *model.ConfigDocument
	assignment *wire.Assignment
}

func (u *pendingUpdates) flush(requests *Requests) {
	if u.document != nil && requests.Push(requestflow.ConfigUpdate{Document: u.document}) {
		u.document = nil
	}
	if u.assignment != nil && requests.Push(requestflow.AssignmentUpdate{Assignment: *u.assignment}) {
		u.assignment = nil
	}
}
