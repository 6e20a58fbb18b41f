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

// process is the common part of simulated entry hosts and agents: pauses,
// crashes, and an incarnation that changes with each restart.
type process struct {
	w           *world
	incarnation int
	dead        bool
	pausedUntil time.Time
}

// do calls run in the current incarnation of the process, after any pause.
func (p *process) do(run func()) { p.doIn(p.incarnation, run) }

func (p *process) doIn(incarnation int, run func()) {
	if p.dead || p.incarnation != incarnation {
		return
	}
	if p.w.clock.Now().Before(p.pausedUntil) {
		p.w.after(p.pausedUntil.Sub(p.w.clock.Now()), func() { p.doIn(incarnation, run) })
		return
	}
	run()
}

// every calls run at an interval during the current incarnation.
func (p *process) every(interval time.Duration, run func()) {
	incarnation := p.incarnation
	p.w.after(interval, func() {
		if p.dead || p.incarnation != incarnation {
			return
		}
		p.doIn(incarnation, run)
		p.every(interval, run)
	})
}

// entryHost is a simulated entry host: its cores, connected as in the entry
// host's shell.
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

	// connection numbers the connections to this host across its incarnations.
	connection int
}

func (e *entryHost) name() string { return string(e.id) }

func (w *world) addEntry(id model.EntryID) *entryHost {
	e := &entryHost{process: process{w: w}, id: id}
	w.entries = append(w.entries, e)
	e.start()
	return e
}

// start begins a new incarnation, which keeps no state of the previous one.
func (e *entryHost) start() {
	e.incarnation++
	e.connection++
	e.dead = false
	e.core = configstore.New(configstore.DefaultLimits(), "r", nil)
	host := membership.EntryHost{ID: e.id, Incarnation: model.Incarnation(e.incarnation), Address: "a", HasPeers: true}
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

// syncState passes the current state of the cores to the issuer.
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

// askPeers sends a heartbeat to each other entry host. The answer is the peer's
// status and the configuration changes that the sender does not have.
func (e *entryHost) askPeers() {
	for _, peer := range e.w.entries {
		if peer == e {
			continue
		}
		e.seq++
		seq, askedAt, view := e.seq, e.w.clock.Now(), e.core.View()
		e.issuer.HeartbeatSent(e.w.clock.Now(), peer.id, seq)
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
	e.issuer.StatusReceived(peer, status)
	e.observeEpoch(status.OwnerEpoch)
	e.configStep(configstore.PeerUpdate{Update: update})
	e.rosterStep(membership.PeerStatus{Peer: peer, AskedAt: askedAt, Roster: status.Roster, Established: status.Established})
}

// submitZoneChange submits an operator's change of the zone to this host.
func (e *entryHost) submitZoneChange(state model.ZoneState) {
	e.token++
	change := model.ConfigChange{
		ID: model.ChangeID(fmt.Sprint(e.id, "/", e.incarnation, "/", e.token)), Object: "zone/" + string(zone),
		ExpectedVersion: e.core.Document().ObjectVersions["zone/"+string(zone)], Zone: state,
	}
	e.configStep(configstore.Submit{Token: e.token, Change: change})
}

// agentHost is a simulated agent in the zone.
type agentHost struct {
	process
	id     string
	holder *permit.Holder
	seq    uint64
	// only is the single entry host that the agent connects to, or empty for all.
	only model.EntryID
	// connection numbers the agent's connections to each entry host; messages of
	// an earlier connection are dropped.
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
		seq, connection, incarnation := a.seq, a.connection[e.id], e.incarnation
		a.holder.HeartbeatSent(a.w.clock.Now(), e.id, seq)
		a.w.send(a.id, e.name(), func() {
			e.doIn(incarnation, func() {
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
					a.do(func() { a.holder.ObserveConfig(document.Version, document.Zones[zone] == model.ZoneOut) })
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

// start attempts to start a task, and requests under the latest assignments.
func (a *agentHost) start() {
	a.w.attempts++
	if a.holder.CheckTaskStart(a.w.clock.Now(), a.holder.Epoch()) == permit.ReasonNone {
		a.w.checkTaskStart(a)
	}
	highest := uint64(len(a.w.assignmentKnown))
	for version := highest; version+2 > highest && version < 1<<62; version-- {
		if a.holder.CheckRequestStart(a.w.clock.Now(), version) == permit.ReasonNone {
			a.w.checkRequestStart(a, version)
		}
	}
}
