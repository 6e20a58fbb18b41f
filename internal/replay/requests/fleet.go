package requests

import (
	"fmt"
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/simclock"
	"dragonflyyard/internal/wire"
)

// Times of the replayed network and its processes.
const (
	sameZoneLatency  = 100 * time.Microsecond
	crossZoneLatency = 500 * time.Microsecond
	heartbeatTimeout = time.Second
	// reassignDelay is how long after its loss a home's ranges are moved.
	reassignDelay  = 2 * time.Second
	permitValidity = 2 * time.Second
	permitInterval = 500 * time.Millisecond
	tickInterval   = 20 * time.Millisecond
	// slowFactor multiplies the service times of the slow backend server.
	slowFactor = 5
	// failureTime is how long the failing backend server takes to fail.
	failureTime = 5 * time.Millisecond
	// faultAt is when a scenario's backend servers fail, after the first arrival.
	faultAt = 2 * time.Second
)

// policy is one way to configure the entry hosts.
type policy struct {
	name   string
	config requestflow.Config
}

// policies are the product's own and the two baselines.
func policies() []policy {
	return []policy{
		{"policy", requestflow.Config{}},
		{"fifo-random", requestflow.Config{FIFO: true, RandomRouting: true, DisableAdmission: true, DisableRetryBudget: true}},
		{"no-admission", requestflow.Config{DisableAdmission: true, DisableRetryBudget: true}},
	}
}

// fleet is the replayed deployment.
type fleet struct {
	clock    *simclock.Clock
	scenario scenario
	entries  []*requestflow.Core
	agents   []*executor.Core
	lost     []bool
	faulty   bool
	arrivals map[model.RequestID]*arrival
	starts   int
	claims   int
	onFinish func(requestflow.Finish)
}

func newFleet(s scenario, p policy, seed uint64) *fleet {
	f := &fleet{
		clock: simclock.New(replayEpoch), scenario: s, lost: make([]bool, serverCount),
		arrivals: map[model.RequestID]*arrival{},
	}
	assignment := firstAssignment()
	for i := range serverCount {
		f.agents = append(f.agents, executor.New(executor.Config{
			ID: serverID(i), Incarnation: 1, Started: replayEpoch.Add(-time.Minute), Slots: serverSlots, Connections: serverConns,
		}))
		f.stepAgent(i, executor.AssignmentUpdate{Assignment: assignment})
	}
	document := configuration()
	for i := range entryCount {
		config := p.config
		config.Entry, config.Incarnation, config.Zone, config.Seed = entryID(i), 1, zone(i), seed+uint64(i)
		f.entries = append(f.entries, requestflow.New(config))
		f.stepEntry(i, requestflow.AssignmentUpdate{Assignment: assignment})
		f.stepEntry(i, requestflow.ConfigUpdate{Document: document})
	}
	for e := range entryCount {
		for a := range serverCount {
			f.stepAgent(a, executor.LinkUp{Entry: entryID(e), Incarnation: 1, Connection: 1})
			f.stepEntry(e, requestflow.LinkUp{Backend: backend(a), Incarnation: 1, Connection: 1})
		}
	}
	f.tick()
	f.permit()
	f.clock.Run(warmUp)
	return f
}

func configuration() *model.ConfigDocument {
	document := &model.ConfigDocument{Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{}}
	for _, p := range profiles() {
		document.Accounts[p.account] = model.ClientAccount{ID: p.account, Weight: p.weight, MaxQueued: 2000}
	}
	return document
}

func serverID(i int) model.BackendServerID {
	return model.BackendServerID(fmt.Sprintf("backend-%02d", i))
}
func entryID(i int) model.EntryID { return model.EntryID(fmt.Sprintf("entry-%d", i)) }

func zone(i int) model.AvailabilityZoneName {
	return model.AvailabilityZoneName(fmt.Sprintf("zone-%d", i%zoneCount))
}

func backend(i int) model.BackendServer {
	return model.BackendServer{ID: serverID(i), Zone: zone(i), Slots: serverSlots, Connections: serverConns}
}

func (f *fleet) members() []membership.HomeAgent {
	var members []membership.HomeAgent
	for i := range serverCount {
		if !f.lost[i] {
			members = append(members, membership.HomeAgent{ID: serverID(i), Incarnation: 1})
		}
	}
	return members
}

func (f *fleet) tick() {
	f.clock.At(tickInterval, f.tick)
	for i := range f.entries {
		f.stepEntry(i, requestflow.Tick{})
	}
	for i := range f.agents {
		f.stepAgent(i, executor.Tick{})
	}
}

// permit gives each agent a start permit under the home assignment in force: the
// first, or the second once the ranges of lost servers were moved.
func (f *fleet) permit() {
	f.clock.At(permitInterval, f.permit)
	for i := range f.agents {
		version := uint64(1)
		if f.lost[0] && f.clock.Now().After(replayEpoch.Add(warmUp+faultAt+reassignDelay)) {
			version = 2
		}
		f.stepAgent(i, executor.PermitGranted{Assignment: version, ValidUntil: f.clock.Now().Add(permitValidity)})
	}
}

func latency(entry, agent int) time.Duration {
	if zone(entry) == zone(agent) {
		return sameZoneLatency
	}
	return crossZoneLatency
}

func (f *fleet) stepEntry(i int, in requestflow.Input) {
	for _, action := range f.entries[i].Step(f.clock.Now(), in) {
		switch action := action.(type) {
		case requestflow.Send:
			f.toAgent(i, action)
		case requestflow.Finish:
			f.onFinish(action)
		}
	}
}

func (f *fleet) toAgent(entry int, send requestflow.Send) {
	agent := serverIndex(send.To)
	if _, ok := send.Message.(*wire.Claim); ok {
		f.claims++
	}
	f.clock.At(latency(entry, agent), func() {
		f.stepAgent(agent, executor.Receive{From: entryID(entry), Connection: send.Connection, Message: send.Message})
	})
}

func serverIndex(id model.BackendServerID) int {
	return int(id[len(id)-2]-'0')*10 + int(id[len(id)-1]-'0')
}

func entryIndex(id model.EntryID) int { return int(id[len(id)-1] - '0') }

func (f *fleet) stepAgent(i int, in executor.Input) {
	if f.lost[i] {
		return
	}
	for _, action := range f.agents[i].Step(f.clock.Now(), in) {
		switch action := action.(type) {
		case executor.Send:
			f.toEntry(i, action.To, action.Connection, action.Message)
		case executor.StartBackend:
			f.serve(i, action.Request)
		}
	}
}

func (f *fleet) toEntry(agent int, to model.EntryID, connection uint64, m wire.Message) {
	entry := entryIndex(to)
	f.clock.At(latency(entry, agent), func() {
		f.stepEntry(entry, requestflow.Receive{From: serverID(agent), Connection: connection, Message: m})
	})
}

// serve answers a request as the backend server of an agent.
func (f *fleet) serve(agent int, r model.Request) {
	f.starts++
	service := f.arrivals[r.ID].service
	result := executor.BackendAnswered
	if agent == 0 && f.faulty {
		if f.scenario.slow {
			service *= slowFactor
		}
		if f.scenario.failed {
			service, result = failureTime, executor.BackendFailed
		}
	}
	f.clock.At(service, func() {
		f.stepAgent(agent, executor.BackendDone{Request: r.ID, Result: result, Status: 200, Body: []byte("answer")})
	})
}

// lostServers is how many backend servers a scenario with lost set loses.
const lostServers = 3

// fail makes the scenario's fault happen.
func (f *fleet) fail() {
	f.faulty = true
	if !f.scenario.lost {
		return
	}
	for i := range lostServers {
		f.lost[i] = true
		for e := range f.entries {
			f.clock.At(heartbeatTimeout, func() {
				f.stepEntry(e, requestflow.LinkDown{Backend: serverID(i), Connection: 1})
			})
		}
	}
	f.clock.At(reassignDelay, f.reassign)
}

func (f *fleet) reassign() {
	next, _ := membership.PlanHomes(firstAssignment(), f.members(), f.clock.Now().UnixMilli(), permitValidity+time.Second)
	for i := range f.entries {
		f.stepEntry(i, requestflow.AssignmentUpdate{Assignment: next})
	}
	for i := range f.agents {
		f.stepAgent(i, executor.AssignmentUpdate{Assignment: next})
		f.stepAgent(i, executor.PermitGranted{Assignment: next.Version, ValidUntil: f.clock.Now().Add(permitValidity)})
	}
}

func firstAssignment() wire.Assignment {
	all := (&fleet{lost: make([]bool, serverCount)}).members()
	first, _ := membership.PlanHomes(wire.Assignment{}, all, replayEpoch.Add(-time.Minute).UnixMilli(), 0)
	return first
}
