package agent

import (
	"context"
	"sync/atomic"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/wire"
)

// permitTick is the longest time between two looks at the end of the permits.
const permitTick = 50 * time.Millisecond

// permitInput is one input of the permit duty: a message or a lost connection.
type permitInput struct {
	conn *link.Conn
	at   time.Time
	body wire.Message
	lost bool
}

// Permits is the duty that keeps the agent's start permits and its copy of the
// configuration and of the home assignment.
type Permits struct {
	p        *Process
	inputs   *ring.Ring[permitInput]
	holder   *permit.Holder
	document *model.ConfigDocument
	// assignment is the home assignment in force here.
	assignment wire.Assignment
	// told is what the other duties were told last.
	told    gang.PermitUpdate
	granted executor.PermitGranted
	// held is set while the agent holds a permit that was recorded.
	held bool
	// configInForce and assignmentVersion are the versions acted on, for new
	// connections.
	configInForce     atomic.Uint64
	assignmentVersion atomic.Uint64
	// current is read by the caller of the worker right before a start.
	current atomic.Pointer[gang.PermitUpdate]
	// unsent is set while another duty had no room for the latest state.
	unsentPermit     bool
	unsentAssignment bool
}

func newPermits(p *Process) *Permits {
	d := &Permits{
		p:        p,
		inputs:   ring.New[permitInput]("permits", p.Config.Settings.Process.RingCapacity, p.Metrics),
		holder:   permit.NewHolder(permit.DefaultLimits()),
		document: configstore.NewDocument(),
	}
	d.current.Store(&gang.PermitUpdate{})
	for _, kind := range []wire.Type{wire.TypePermit, wire.TypeConfigUpdate, wire.TypeOwnershipNotice} {
		p.Hub.Handle(wire.RoleEntry, kind, d.noteMessage)
	}
	p.Hub.Handle(wire.RoleEntry, wire.TypeRosterNotice, p.noteRosterNotice)
	p.Hub.OnState(wire.RoleEntry, d.noteLink)
	return d
}

func (d *Permits) noteMessage(c *link.Conn, m wire.Message) bool {
	return d.inputs.TryPush(permitInput{conn: c, at: d.p.Now(), body: m})
}

func (d *Permits) noteLink(c *link.Conn, cause error) bool {
	return cause == nil || d.inputs.TryPush(permitInput{conn: c, lost: true})
}

// mayStartTask returns until when a task may start, and whether it may start
// at this moment.
func (d *Permits) mayStartTask(now time.Time) (time.Time, bool) {
	update := d.current.Load()
	return update.ValidUntil, !update.ZoneOut && now.Before(update.ValidUntil)
}

// configVersion returns the version of the configuration that is acted on.
func (d *Permits) configVersion() model.ConfigVersion {
	return model.ConfigVersion(d.configInForce.Load())
}

// run is the duty.
func (d *Permits) run(ctx context.Context) error {
	ticker := time.NewTicker(permitTick)
	defer ticker.Stop()
	for {
		select {
		case in := <-d.inputs.Out():
			d.take(in)
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		d.tell(d.p.Now())
	}
}

func (d *Permits) take(in permitInput) {
	entry := model.EntryID(in.conn.Peer().Process)
	if in.lost {
		d.holder.Disconnected(entry)
		return
	}
	switch body := in.body.(type) {
	case *wire.Permit:
		if sentAt, known := in.conn.HeartbeatSentAt(body.AnsweredHeartbeat); known {
			d.holder.HeartbeatSent(sentAt, entry, body.AnsweredHeartbeat)
		}
		d.holder.Received(d.p.Now(), entry, *body)
	case *wire.OwnershipNotice:
		d.holder.SeeEpoch(body.Epoch)
	case *wire.ConfigUpdate:
		d.follow(in.conn, body)
	}
}

// follow applies a configuration update and acknowledges the version in force.
func (d *Permits) follow(c *link.Conn, update *wire.ConfigUpdate) {
	before := d.document.Version
	d.document = configstore.ApplyUpdate(d.document, *update)
	zone := d.p.Config.Settings.Zone
	d.holder.SeeConfig(d.document.Version, d.document.Zones[zone] == model.ZoneOut)
	if d.document.Version != before {
		d.p.Log.Record(event.Event{Code: event.ConfigApplied, Subject: d.document.Version.String()})
	}
	if next, later := dedup.Follow(d.assignment, update); later {
		d.assignment = next
		d.holder.SeeAssignment(d.assignment.Version)
		d.unsentAssignment = true
	}
	d.configInForce.Store(uint64(d.document.Version))
	d.assignmentVersion.Store(d.assignment.Version)
	c.Send(&wire.ConfigAck{Version: d.document.Version, Assignment: d.assignment.Version})
}

// tell passes the latest permit and assignment on to the duties that act on
// them. What a full ring refused is told again with the next tick.
func (d *Permits) tell(now time.Time) {
	if d.unsentAssignment && d.p.Requests.Push(executor.AssignmentUpdate{Assignment: d.assignment}) {
		d.unsentAssignment = false
	}
	until, zoneOut := d.holder.TaskPermit(now)
	update := gang.PermitUpdate{ValidUntil: until, ZoneOut: zoneOut, OwnerEpoch: d.holder.Epoch()}
	d.current.Store(&update)
	if update != d.told {
		d.record(now, update)
		d.told, d.unsentPermit = update, true
	}
	// The assignment is the permit's, not the one whose ranges are in force
	// here: a claim under an older one must not start under a newer permit.
	assignment, requestsUntil := d.holder.RequestPermit(now)
	granted := executor.PermitGranted{Assignment: assignment, ValidUntil: requestsUntil, ZoneOut: zoneOut}
	if granted != d.granted {
		d.granted, d.unsentPermit = granted, true
	}
	if !d.unsentPermit {
		return
	}
	pushed := d.p.Requests.Push(granted)
	if d.p.Worker != nil {
		pushed = d.p.Worker.push(update) && pushed
	}
	d.unsentPermit = !pushed
}

// record notes the begin and the end of permits and of a zone's outage.
func (d *Permits) record(now time.Time, update gang.PermitUpdate) {
	zone := d.p.Config.Settings.Zone
	has := now.Before(update.ValidUntil)
	switch {
	case update.ZoneOut && !d.told.ZoneOut:
		d.p.Log.Record(event.Event{Code: event.PermitZoneOut, Zone: zone})
	case has && (!d.held || d.told.ZoneOut && !update.ZoneOut):
		d.held = true
		d.p.Log.Record(event.Event{Code: event.PermitAccepted, Zone: zone})
	case !has && d.held:
		d.held = false
		d.p.Log.Record(event.Event{Code: event.PermitLapsed, Zone: zone})
	}
}
