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
	// sampleSize is how many backend servers are compared for one request when
	// there are more.
	sampleSize = 24
	// crossZonePenalty is added to the load of a backend server in another zone.
	crossZonePenalty = 0.15
	// homeBonus is taken off the load of the request's home, since no separate
	// claim is needed there.
	homeBonus = 0.5
	// probeBonus makes a backend server that has to be probed the first choice.
	probeBonus = 1
)

// The backend chart of internal/statechart/charts/backend.yaml.
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
	zone     model.AvailabilityZoneName
	servers  map[model.BackendServerID]*server
	order    []*server
	zonesOut map[model.AvailabilityZoneName]bool
	random   *rand.Rand
	naive    bool
	events   []event.Event
	// total and free are the sums of Slots, unless stale is set.
	total, free int
	stale       bool
	ejected     int
	reserved    int
	trace       func(id model.BackendServerID, from, event string)
}

// NewTable returns an empty table of an entry host in the given zone. With
// naive set it chooses at random and ejects nothing, as a baseline for
// measurements.
func NewTable(zone model.AvailabilityZoneName, seed uint64, naive bool) *Table {
	return &Table{
		zone: zone, servers: map[model.BackendServerID]*server{},
		zonesOut: map[model.AvailabilityZoneName]bool{}, random: rand.New(rand.NewPCG(seed, seed)), naive: naive,
	}
}

// PickInfo is what Pick needs to know of a request.
type PickInfo struct {
	Request    model.RequestID
	Slots      int
	Idempotent bool
	// Home is the request's home, if it is known.
	Home model.BackendServerID
	// Excluded are backend servers that rejected or failed this request.
	Excluded []model.BackendServerID
}

// SetTrace sets a function that is told each transition of the backend chart.
func (t *Table) SetTrace(trace func(id model.BackendServerID, from, event string)) { t.trace = trace }

// fire applies an event of the backend chart. It reports whether the state moved.
func (t *Table) fire(s *server, e statechart.Event) bool {
	step, outcome := s.machine.Fire(e)
	if outcome != statechart.Moved {
		return false
	}
	t.stale = true
	if step.From == stateEjected {
		t.ejected--
	}
	if step.To == stateEjected {
		t.ejected++
	}
	if t.trace != nil {
		t.trace(s.backend.ID, backendChart.StateName(step.From), backendChart.EventName(step.Event))
	}
	return true
}

// LinkUp adds a backend server without credit. A new connection begins a new life.
func (t *Table) LinkUp(b model.BackendServer, leaving bool) {
	t.LinkDown(b.ID)
	s := &server{backend: b, machine: backendChart.NewMachine()}
	t.servers[b.ID] = s
	t.order = append(t.order, s)
	sort.Slice(t.order, func(i, j int) bool { return t.order[i].backend.ID < t.order[j].backend.ID })
	if leaving {
		t.fire(s, eventLeavingAnnounced)
	}
}

// LinkDown forgets a backend server.
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
	for i := range t.order {
		if t.order[i] == s {
			t.order = append(t.order[:i], t.order[i+1:]...)
			break
		}
	}
	t.reserve(s, "")
	t.stale = true
	delete(t.servers, id)
}

// MarkLeaving marks a backend server that takes no new work.
func (t *Table) MarkLeaving(id model.BackendServerID) {
	if s := t.servers[id]; s != nil {
		t.fire(s, eventLeavingAnnounced)
		t.reserve(s, "")
	}
}

// SetCredit sets the credit of a backend server. Older messages are ignored.
func (t *Table) SetCredit(id model.BackendServerID, seq uint64, slots, connections int) {
	s := t.servers[id]
	if s == nil || seq <= s.creditSeq {
		return
	}
	s.creditSeq, s.slotCredit, s.connCredit = seq, slots, connections
	t.stale = true
	t.fire(s, eventCreditReceived)
}

// SetSuspect marks a backend server whose agent does not answer: it gets no new
// requests meanwhile.
func (t *Table) SetSuspect(id model.BackendServerID, suspect bool) {
	if s := t.servers[id]; s != nil {
		s.suspect = suspect
		t.stale = true
	}
}

// SetZonesOut replaces the set of availability zones that take no work.
func (t *Table) SetZonesOut(zones map[model.AvailabilityZoneName]bool) {
	t.zonesOut = zones
	t.stale = true
}

// State returns the state of a backend server.
func (t *Table) State(id model.BackendServerID) ServerState {
	if s := t.servers[id]; s != nil {
		return ServerState(s.machine.StateName())
	}
	return StateLost
}

// Slots returns the sum of the slot credits of usable servers and how many are free.
func (t *Table) Slots() (total, free int) {
	if !t.stale {
		return t.total, t.free
	}
	t.stale, t.total, t.free = false, 0, 0
	for _, s := range t.order {
		if t.isOpen(s) {
			t.total += s.slotCredit
			t.free += max(0, s.freeSlots())
		}
	}
	return t.total, t.free
}

// isOpen reports whether a server takes new requests, given room.
func (t *Table) isOpen(s *server) bool {
	return s.isUsable() && !s.suspect && !t.zonesOut[s.backend.Zone]
}

// use changes a server's slots and connections in use.
func (t *Table) use(s *server, slots, connections int) {
	before := max(0, s.freeSlots())
	s.slotsInUse = max(0, s.slotsInUse+slots)
	s.connsInUse = max(0, s.connsInUse+connections)
	if !t.stale && t.isOpen(s) {
		t.free += max(0, s.freeSlots()) - before
	}
}

// Pick returns the backend server for a request. It returns false when none
// has room now.
func (t *Table) Pick(now time.Time, c PickInfo) (model.BackendServerID, bool) {
	t.refresh(now)
	var best *server
	bestScore := 0.0
	for _, s := range t.candidates(c) {
		if !t.allows(s, c) {
			continue
		}
		score := t.score(s, c)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return "", false
	}
	return best.backend.ID, true
}

func (t *Table) candidates(c PickInfo) []*server {
	if len(t.order) <= sampleSize {
		return t.order
	}
	sample := make([]*server, 0, sampleSize+1)
	if home := t.servers[c.Home]; home != nil {
		sample = append(sample, home)
	}
	begin := t.random.IntN(len(t.order))
	for i := 0; i < len(t.order) && len(sample) < sampleSize; i++ {
		s := t.order[(begin+i)%len(t.order)]
		if t.allows(s, c) {
			sample = append(sample, s)
		}
	}
	return sample
}

func (t *Table) allows(s *server, c PickInfo) bool {
	if !t.isOpen(s) || !s.fits(c.Slots) {
		return false
	}
	if s.reservedFor != "" && s.reservedFor != c.Request {
		return false
	}
	if s.is(StateProbing) && (!c.Idempotent || s.probeBusy) {
		return false
	}
	return !isExcluded(c, s.backend.ID)
}

func (t *Table) score(s *server, c PickInfo) float64 {
	if t.naive {
		return t.random.Float64()
	}
	load := float64(s.slotsInUse+c.Slots) / float64(max(1, s.slotCredit))
	if s.samples > 0 {
		load *= max(0.5, s.slowness)
	}
	if s.backend.Zone != t.zone {
		load += crossZonePenalty
	}
	if s.backend.ID == c.Home {
		load -= homeBonus
	}
	if s.is(StateProbing) {
		load -= probeBonus
	}
	return load
}

// Acquire puts a server's slots and one connection into use. In the probing state
// it makes the request the probe.
func (t *Table) Acquire(id model.BackendServerID, slots int) {
	s := t.servers[id]
	if s == nil {
		return
	}
	t.use(s, slots, 1)
	if s.is(StateProbing) {
		s.probeBusy = true
		t.note(event.BackendProbed, s, "")
	}
}

// Release returns what Acquire took.
func (t *Table) Release(id model.BackendServerID, slots int) {
	s := t.servers[id]
	if s == nil {
		return
	}
	t.use(s, -slots, -1)
	s.probeBusy = s.probeBusy && s.connsInUse > 0
}

// Servers calls f for each server in order of ID, with its slots in use and
// the largest request that it is reserved for.
func (t *Table) Servers(f func(id model.BackendServerID, slotsInUse int, reservedFor model.RequestID)) {
	for _, s := range t.order {
		f(s.backend.ID, s.slotsInUse, s.reservedFor)
	}
}

// Events returns, and forgets, the events since the last call.
func (t *Table) Events() []event.Event {
	events := t.events
	t.events = nil
	return events
}

func (t *Table) note(code event.Code, s *server, detail string) {
	t.events = append(t.events, event.Event{Code: code, Subject: string(s.backend.ID), Zone: s.backend.Zone, Detail: detail})
}

// HasCandidate reports whether some backend server could take a request, now
// or once it has room again.
func (t *Table) HasCandidate(c PickInfo) bool {
	for _, s := range t.order {
		if s.is(StateLeaving) || s.backend.Slots < c.Slots || t.zonesOut[s.backend.Zone] {
			continue
		}
		if !isExcluded(c, s.backend.ID) {
			return true
		}
	}
	return false
}

// AcceptsRequests reports whether a backend server still takes new requests.
func (t *Table) AcceptsRequests(id model.BackendServerID) bool {
	s := t.servers[id]
	return s != nil && t.isOpen(s)
}

func isExcluded(c PickInfo, id model.BackendServerID) bool {
	for _, excluded := range c.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}
