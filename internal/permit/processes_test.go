package permit_test

import (
	"context"
	"fmt"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// process is what entry hosts and agents have in common: pauses, and a life that
// ends with each death.
type process struct {
	w           *world
	life        int
	dead        bool
	pausedUntil time.Time
}

// do runs a function in the present life of the process, once it is awake.
func (p *process) do(run func()) { p.doIn(p.life, run) }

func (p *process) doIn(life int, run func()) {
	if p.dead || p.life != life {
		return
	}
	if p.w.clock.Now().Before(p.pausedUntil) {
		p.w.after(p.pausedUntil.Sub(p.w.clock.Now()), func() { p.doIn(life, run) })
		return
	}
	run()
}

// every runs a function at an interval during the present life.
func (p *process) every(interval time.Duration, run func()) {
	life := p.life
	p.w.after(interval, func() {
		if p.dead || p.life != life {
			return
		}
		p.doIn(life, run)
		p.every(interval, run)
	})
}

// entryHost is one entry host: its cores, joined as the entry shell joins them.
type entryHost struct {
	process
	id     model.EntryID
	core   *configstore.Core
	roster *membership.Roster
	issuer *permit.Issuer
	seq    uint64
	token  uint64

	candidate *ownership.Candidate
	owner     ownerView

	// connection numbers the connections to this host over its lives.
	connection int
}

func (e *entryHost) name() string { return string(e.id) }

func (w *world) addEntry(id model.EntryID) *entryHost {
	e := &entryHost{process: process{w: w}, id: id}
	w.entries = append(w.entries, e)
	e.start()
	return e
}

// start begins a life with nothing kept from the former one.
func (e *entryHost) start() {
	e.life++
	e.connection++
	e.dead = false
	e.core = configstore.New(configstore.DefaultLimits(), "r", nil)
	host := membership.EntryHost{ID: e.id, Incarnation: model.Incarnation(e.life), Address: "a", HasPeers: true}
	e.roster = membership.NewRoster(testRosterLimits(e.w.variant), host)
	e.issuer = permit.NewIssuer(e.w.variant.limits, e.id)
	e.every(tickEvery, func() {
		e.rosterStep(membership.RosterTick{})
		e.configStep(configstore.Tick{})
	})
	e.every(heartbeatEvery, e.askPeers)
	e.startCandidate()
}

func (e *entryHost) configStep(in configstore.Input) {
	actions := e.core.Step(e.w.clock.Now(), in)
	if !e.w.variant.lateState {
		e.syncState()
	}
	for _, action := range actions {
		e.w.recordPublish(action)
		e.performConfig(action)
	}
}

// syncState hands the issuer what the cores know.
func (e *entryHost) syncState() {
	view := e.core.View()
	state := permit.State{
		Ready: view.Ready, Config: view.Config, Assignment: view.Assignment, OwnerEpoch: e.owner.epoch,
		CurrentSince: view.CurrentSince, RosterSince: e.roster.LastListStart(), ZonesOut: view.ZonesOut, InDoubt: view.AssignmentInDoubt,
	}
	if e.w.variant.lateState {
		state.ZonesOut = nil
		if e.core.Document().Zones[zone] == model.ZoneOut {
			state.ZonesOut = []model.AvailabilityZoneName{zone}
		}
	}
	e.issuer.SetState(state)
}

func (e *entryHost) performConfig(action configstore.Action) {
	w, ctx := e.w, context.Background()
	switch a := action.(type) {
	case configstore.ListRows:
		e.read(func() configstore.Input {
			rows, _ := w.store.List(ctx, a.Prefix, a.After, a.Limit)
			return configstore.RowsListed{Call: a.Call, Result: storeapi.ResultOK, Rows: rows}
		}, configstore.RowsListed{Call: a.Call, Result: storeapi.ResultUnavailable})
	case configstore.ReadRow:
		e.read(func() configstore.Input {
			row, err := w.store.Get(ctx, a.Key)
			return configstore.RowRead{Call: a.Call, Result: storeapi.ResultOf(err), Row: row}
		}, configstore.RowRead{Call: a.Call, Result: storeapi.ResultUnavailable})
	case configstore.Commit:
		w.call(e, true, func() func(error) {
			versions, err := w.store.Commit(ctx, a.Transaction)
			if err == nil {
				w.recordCommit(a.Transaction, versions)
			}
			return func(error) {
				e.configStep(configstore.Committed{Call: a.Call, Result: storeapi.ResultOf(err), Versions: versions})
			}
		}, func(err error) { e.configStep(configstore.Committed{Call: a.Call, Result: storeapi.ResultOf(err)}) })
	case configstore.ReadObject:
		e.configStep(configstore.ObjectRead{Call: a.Call, Result: storeapi.ResultUnavailable})
	case configstore.WriteObject:
		e.configStep(configstore.ObjectWritten{Call: a.Call, Result: storeapi.ResultUnavailable})
	}
}

func (e *entryHost) read(exec func() configstore.Input, failed configstore.Input) {
	e.w.call(e, false, func() func(error) {
		in := exec()
		return func(error) { e.configStep(in) }
	}, func(error) { e.configStep(failed) })
}

func (e *entryHost) rosterStep(in membership.RosterInput) {
	actions := e.roster.Step(e.w.clock.Now(), in)
	view := e.roster.View()
	var others []model.EntryID
	for _, other := range view.Others {
		others = append(others, other.ID)
	}
	known := permit.Roster{
		Others: others, ConfirmedAt: view.ConfirmedAt, Established: view.Established,
		Listed: view.Listed, MayRely: view.MayRely, RelyOn: view.RelyOn,
	}
	if e.w.variant.reliesUnwritten {
		known.MayRely, known.RelyOn = view.Listed && len(others) > 0, others
	}
	e.issuer.SetRoster(known)
	allowed := view.Established || e.w.variant.noEstablishing && view.Member
	e.configStep(configstore.WriteAccess{Allowed: allowed, Member: view.Check})
	for _, action := range actions {
		e.performRoster(action)
	}
}

func (e *entryHost) performRoster(action membership.RosterAction) {
	w, ctx := e.w, context.Background()
	switch a := action.(type) {
	case membership.ListRoster:
		w.call(e, false, func() func(error) {
			rows, _ := w.store.List(ctx, membership.RosterPrefix, "", 1000)
			return func(error) {
				e.rosterStep(membership.RosterListed{Call: a.Call, Result: storeapi.ResultOK, Rows: rows})
			}
		}, func(error) {
			e.rosterStep(membership.RosterListed{Call: a.Call, Result: storeapi.ResultUnavailable})
		})
	case membership.CommitRoster:
		w.call(e, true, func() func(error) {
			versions, err := w.store.Commit(ctx, a.Transaction)
			return func(error) {
				e.rosterStep(membership.RosterCommitted{
					Call: a.Call, Result: storeapi.ResultOf(err), Versions: versions,
				})
			}
		}, func(err error) {
			e.rosterStep(membership.RosterCommitted{Call: a.Call, Result: storeapi.ResultOf(err)})
		})
	}
}

// askPeers sends a heartbeat to each other entry host. The answer is its
// status, and what the asker lacks of the configuration.
func (e *entryHost) askPeers() {
	for _, peer := range e.w.entries {
		if peer == e {
			continue
		}
		e.seq++
		seq, askedAt, view := e.seq, e.w.clock.Now(), e.core.View()
		e.issuer.Asked(e.w.clock.Now(), peer.id, seq)
		e.w.send(e.name(), peer.name(), func() {
			peer.do(func() {
				peer.syncState()
				status := peer.issuer.Status(peer.w.clock.Now(), seq)
				update := peer.core.UpdateFrom(view.Config, view.Assignment)
				if status.Assignment < view.Assignment {
					update.Assignment = nil
				}
				peer.w.send(peer.name(), e.name(), func() { e.do(func() { e.onStatus(peer.id, askedAt, status, update) }) })
			})
		})
	}
}

func (e *entryHost) onStatus(peer model.EntryID, askedAt time.Time, status wire.StoreStatus, update wire.ConfigUpdate) {
	e.issuer.Answered(peer, status)
	e.noteEpoch(status.OwnerEpoch)
	e.configStep(configstore.PeerUpdate{Update: update})
	e.rosterStep(membership.PeerStatus{Peer: peer, AskedAt: askedAt, Roster: status.Roster, Established: status.Established})
}

// order lets an operator change the zone through this host.
func (e *entryHost) order(state model.ZoneState) {
	e.token++
	change := model.ConfigChange{
		ID: model.ChangeID(fmt.Sprint(e.id, "/", e.life, "/", e.token)), Object: "zone/" + string(zone),
		ExpectedVersion: e.core.Document().ObjectVersions["zone/"+string(zone)], Zone: state,
	}
	e.configStep(configstore.Submit{Token: e.token, Change: change})
}

// agentHost is one agent of the zone.
type agentHost struct {
	process
	id     string
	holder *permit.Holder
	seq    uint64
	// only is the one entry host that the agent reaches, or empty for all.
	only model.EntryID
	// connection numbers the agent's connections; a message of an earlier one
	// is dropped.
	connection map[model.EntryID]int
}

func (w *world) addAgent(id string, only model.EntryID) *agentHost {
	a := &agentHost{process: process{w: w}, id: id, only: only, holder: permit.NewHolder(w.variant.limits), connection: map[model.EntryID]int{}}
	w.agents = append(w.agents, a)
	a.every(heartbeatEvery, a.heartbeat)
	a.every(startEvery, a.start)
	return a
}

func (a *agentHost) heartbeat() {
	for _, e := range a.w.entries {
		if a.only != "" && a.only != e.id {
			continue
		}
		a.seq++
		seq, connection, life := a.seq, a.connection[e.id], e.life
		a.holder.HeartbeatSent(a.w.clock.Now(), e.id, seq)
		a.w.send(a.id, e.name(), func() {
			e.doIn(life, func() {
				e.syncState()
				got, reason := e.issuer.Issue(e.w.clock.Now(), e.w.clock.Now(), seq, zone)
				if reason != permit.ReasonNone {
					return
				}
				if e.w.variant.fullValidity {
					got.ValidMS = permit.DefaultLimits().Validity.Milliseconds()
				}
				e.w.send(e.name(), a.id, func() { a.do(func() { a.onPermit(e.id, connection, got) }) })
				document := e.core.Document()
				e.w.send(e.name(), a.id, func() {
					a.do(func() { a.holder.SeeConfig(document.Version, document.Zones[zone] == model.ZoneOut) })
				})
			})
		})
	}
}

func (a *agentHost) onPermit(entry model.EntryID, connection int, got wire.Permit) {
	if a.connection[entry] == connection {
		a.holder.Received(a.w.clock.Now(), entry, got)
	}
}

func (a *agentHost) reconnect(entry model.EntryID) {
	a.connection[entry]++
	a.holder.Disconnected(entry)
}

// start tries to start a task, and requests under each assignment.
func (a *agentHost) start() {
	a.w.tries++
	if a.holder.StartTask(a.w.clock.Now(), a.holder.Epoch()) == permit.ReasonNone {
		a.w.checkTaskStart(a)
	}
	highest := uint64(len(a.w.assignmentKnown))
	for version := highest; version+2 > highest && version < 1<<62; version-- {
		if a.holder.StartRequest(a.w.clock.Now(), version) == permit.ReasonNone {
			a.w.checkRequestStart(a, version)
		}
	}
}
