package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
)

const (
	// maxCandidates bounds the backend servers that are compared for one request.
	maxCandidates = 24
	// crossZonePenalty is added to the score of a backend server in another zone.
	// Scores are in fractions of the slot credit; the lowest wins.
	crossZonePenalty = 0.15
	// homeBonus is subtracted from the score of the request's home, where no
	// separate claim is needed.
	homeBonus = 0.5
	// probeBonus is subtracted from the score of a probing backend server, so that
	// it is chosen first.
	probeBonus = 1
)

// State and events of the chart in internal/statechart/charts/backend.yaml.
var (
	backendChart = statechart.MustLoad("backend")

	stateEjected = backendChart.MustState(string(StateEjected))

	eventCreditReceived   = backendChart.MustEvent("credit_received")
	eventFailureStreak    = backendChart.MustEvent("failure_streak")
	eventProbeDue         = backendChart.MustEvent("probe_due")
	eventProbeSucceeded   = backendChart.MustEvent("probe_succeeded")
	eventProbeFailed      = backendChart.MustEvent("probe_failed")
	eventLeavingAnnounced = backendChart.MustEvent("leaving_announced")
	eventDrained          = backendChart.MustEvent("drained")
	eventConnectionLost   = backendChart.MustEvent("connection_lost")
)

// Table holds all backend servers that an entry host is connected to.
type Table struct {
	zone    model.AvailabilityZoneName
	servers map[model.BackendServerID]*server
	// sorted holds the servers in order of ID.
	sorted   []*server
	zonesOut map[model.AvailabilityZoneName]bool
	random   *rand.Rand
	naive    bool
	events   []event.Event
	// totalSlots and freeSlots cache the results of Slots unless slotSumsStale is
	// set.
	totalSlots, freeSlots int
	slotSumsStale         bool
	ejectedCount          int
	reservedCount         int
	trace                 func(id model.BackendServerID, from, event string)
}

// NewTable returns the empty table of an entry host in the given zone. With naive
// set, it chooses at random and ejects no backend server, as a baseline for
// comparisons.
func NewTable(zone model.AvailabilityZoneName, seed uint64, naive bool) *Table {
	return &Table{
		zone: zone, servers: map[model.BackendServerID]*server{},
		zonesOut: map[model.AvailabilityZoneName]bool{}, random: rand.New(rand.NewPCG(seed, seed)), naive: naive,
	}
}

// PickInfo describes a request to Pick, Reserve and HasCandidate.
type PickInfo struct {
	Request    model.RequestID
	Slots      int
	Idempotent bool
	// Home is the request's home, empty if unknown.
	Home model.BackendServerID
	// Excluded lists the backend servers that rejected or failed this request.
	Excluded []model.BackendServerID
}

// SetTrace sets a function that is called for each transition of the backend
// chart.
func (t *Table) SetTrace(trace func(id model.BackendServerID, from, event string)) { t.trace = trace }

// fire applies an event of the backend chart. It reports whether the state
// changed.
func (t *Table) fire(s *server, e statechart.Event) bool {
	step, outcome := s.machine.Fire(e)
	if outcome != statechart.Moved {
		return false
	}
	t.slotSumsStale = true
	if step.From == stateEjected {
		t.ejectedCount--
	}
	if step.To == stateEjected {
		t.ejectedCount++
	}
	if t.trace != nil {
		t.trace(s.backend.ID, backendChart.StateName(step.From), backendChart.EventName(step.Event))
	}
	return true
}

// LinkUp adds a backend server without credit. A new connection replaces the
// entry of an earlier one and starts with new health records.
func (t *Table) LinkUp(b model.BackendServer, leaving bool) {
	t.LinkDown(b.ID)
	s := &server{backend: b, machine: backendChart.NewMachine()}
	t.servers[b.ID] = s
	t.sorted = append(t.sorted, s)
	sort.Slice(t.sorted, func(i, j int) bool { return t.sorted[i].backend.ID < t.sorted[j].backend.ID })
	if leaving {
		t.fire(s, eventLeavingAnnounced)
	}
}

// LinkDown removes a backend server and its reservation.
func (t *Table) LinkDown(id model.BackendServerID) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if s.is(StateLeaving) && s.slotsInUse == 0 {
		t.fire(s, eventDrained)
	} else {
		t.fire(s, eventConnectionLost)
	}
	for i := range t.sorted {
		if t.sorted[i] == s {
			t.sorted = append(t.sorted[:i], t.sorted[i+1:]...)
			break
		}
	}
	t.setReservation(s, "")
	t.slotSumsStale = true
	delete(t.servers, id)
}

// MarkLeaving marks a backend server as leaving: it gets no new work and loses
// its reservation.
func (t *Table) MarkLeaving(id model.BackendServerID) {
	if s := t.servers[id]; s != nil {
		t.fire(s, eventLeavingAnnounced)
		t.setReservation(s, "")
	}
}

// SetCredit sets the credit of a backend server. A message whose sequence number
// is not higher than the last one's is ignored.
func (t *Table) SetCredit(id model.BackendServerID, seq uint64, slots, connections int) {
	s := t.servers[id]
	if s == nil || seq <= s.creditSeq {
		return
	}
	s.creditSeq, s.slotCredit, s.connCredit = seq, slots, connections
	t.slotSumsStale = true
	t.fire(s, eventCreditReceived)
}

// SetSuspect marks a backend server whose agent does not answer. It gets no new
// requests while it is suspect.
func (t *Table) SetSuspect(id model.BackendServerID, suspect bool) {
	if s := t.servers[id]; s != nil {
		s.suspect = suspect
		t.slotSumsStale = true
	}
}

// SetZonesOut replaces the set of availability zones that are out and get no new
// requests.
func (t *Table) SetZonesOut(zones map[model.AvailabilityZoneName]bool) {
	t.zonesOut = zones
	t.slotSumsStale = true
}

// State returns the state of a backend server, StateLost for an unknown one.
func (t *Table) State(id model.BackendServerID) ServerState {
	if s := t.servers[id]; s != nil {
		return ServerState(s.machine.StateName())
	}
	return StateLost
}

// Slots returns the slot credit of all servers that accept requests and how much
// of it is free.
func (t *Table) Slots() (total, free int) {
	if !t.slotSumsStale {
		return t.totalSlots, t.freeSlots
	}
	t.slotSumsStale, t.totalSlots, t.freeSlots = false, 0, 0
	for _, s := range t.sorted {
		if t.acceptsRequests(s) {
			t.totalSlots += s.slotCredit
			t.freeSlots += max(0, s.freeSlots())
		}
	}
	return t.totalSlots, t.freeSlots
}

// acceptsRequests reports whether a server takes new requests, whether or not it
// has room for one now.
func (t *Table) acceptsRequests(s *server) bool {
	return s.isUsable() && !s.suspect && !t.zonesOut[s.backend.Zone]
}

// addUsage adds to a server's slots and connections in use. Negative values
// release them.
func (t *Table) addUsage(s *server, slots, connections int) {
	before := max(0, s.freeSlots())
	s.slotsInUse = max(0, s.slotsInUse+slots)
	s.connsInUse = max(0, s.connsInUse+connections)
	if !t.slotSumsStale && t.acceptsRequests(s) {
		t.freeSlots += max(0, s.freeSlots()) - before
	}
}

// Pick returns the backend server with the lowest score for a request. It
// returns false when no eligible one has room now.
func (t *Table) Pick(now time.Time, info PickInfo) (model.BackendServerID, bool) {
	t.startDueProbing(now)
	var best *server
	bestScore := 0.0
	for _, s := range t.candidates(info) {
		if !t.isEligible(s, info) {
			continue
		}
		score := t.score(s, info)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return "", false
	}
	return best.backend.ID, true
}

// candidates returns the servers to compare: all, or the home and eligible ones
// from a random position on, up to maxCandidates.
func (t *Table) candidates(info PickInfo) []*server {
	if len(t.sorted) <= maxCandidates {
		return t.sorted
	}
	sample := make([]*server, 0, maxCandidates+1)
	if home := t.servers[info.Home]; home != nil {
		sample = append(sample, home)
	}
	offset := t.random.IntN(len(t.sorted))
	for i := 0; i < len(t.sorted) && len(sample) < maxCandidates; i++ {
		s := t.sorted[(offset+i)%len(t.sorted)]
		if t.isEligible(s, info) {
			sample = append(sample, s)
		}
	}
	return sample
}

// isEligible reports whether a server may be picked for a request now. A probing
// server takes one request at a time, which must be idempotent.
func (t *Table) isEligible(s *server, info PickInfo) bool {
	if !t.acceptsRequests(s) || !s.fits(info.Slots) {
		return false
	}
	if s.reservedFor != "" && s.reservedFor != info.Request {
		return false
	}
	if s.is(StateProbing) && (!info.Idempotent || s.probeInFlight) {
		return false
	}
	return !isExcluded(info, s.backend.ID)
}

// score rates a server for a request; lower is better.
func (t *Table) score(s *server, info PickInfo) float64 {
	if t.naive {
		return t.random.Float64()
	}
	load := float64(s.slotsInUse+info.Slots) / float64(max(1, s.slotCredit))
	if s.slowdownSamples > 0 {
		load *= max(0.5, s.slowdown)
	}
	if s.backend.Zone != t.zone {
		load += crossZonePenalty
	}
	if s.backend.ID == info.Home {
		load -= homeBonus
	}
	if s.is(StateProbing) {
		load -= probeBonus
	}
	return load
}

// Acquire takes slots and one connection of a server's credit for a request. If
// the server is probing, the request becomes the probe.
func (t *Table) Acquire(id model.BackendServerID, slots int) {
	s := t.servers[id]
	if s == nil {
		return
	}
	t.addUsage(s, slots, 1)
	if s.is(StateProbing) {
		s.probeInFlight = true
		t.recordEvent(event.BackendProbed, s, "")
	}
}

// Release returns the slots and the connection that Acquire took.
func (t *Table) Release(id model.BackendServerID, slots int) {
	s := t.servers[id]
	if s == nil {
		return
	}
	t.addUsage(s, -slots, -1)
	s.probeInFlight = s.probeInFlight && s.connsInUse > 0
}

// Servers calls f for each server in order of ID, with its slots in use and the
// request that it is reserved for, if any.
func (t *Table) Servers(f func(id model.BackendServerID, slotsInUse int, reservedFor model.RequestID)) {
	for _, s := range t.sorted {
		f(s.backend.ID, s.slotsInUse, s.reservedFor)
	}
}

// Events returns the events recorded since the last call and clears them.
func (t *Table) Events() []event.Event {
	events := t.events
	t.events = nil
	return events
}

func (t *Table) recordEvent(code event.Code, s *server, detail string) {
	t.events = append(t.events, event.Event{Code: code, Subject: string(s.backend.ID), Zone: s.backend.Zone, Detail: detail})
}

// HasCandidate reports whether some backend server can take a request now or
// later: it is large enough, not leaving, not excluded, and its zone is not out.
func (t *Table) HasCandidate(info PickInfo) bool {
	for _, s := range t.sorted {
		if s.is(StateLeaving) || s.backend.Slots < info.Slots || t.zonesOut[s.backend.Zone] {
			continue
		}
		if !isExcluded(info, s.backend.ID) {
			return true
		}
	}
	return false
}

// AcceptsRequests reports whether a connected backend server takes new requests,
// whether or not it has room for one now.
func (t *Table) AcceptsRequests(id model.BackendServerID) bool {
	s := t.servers[id]
	return s != nil && t.acceptsRequests(s)
}

func isExcluded(info PickInfo, id model.BackendServerID) bool {
	for _, excluded := range info.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}
