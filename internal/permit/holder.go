package permit

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// heldPermit is the last permit received from one entry host.
type heldPermit struct {
	permit wire.Permit
	until  time.Time
}

// Holder keeps an agent's permits. Its times are those of the agent's own
// monotonic clock.
//
// A permit is valid until it expires, whatever changes are accepted meanwhile,
// because it expires at most Validity after its basis. The holder refuses
// starts earlier where it can: a task does not start once the agent knows that
// its zone is out, and a request does not start once the agent knows of a later
// home assignment. A later configuration in which the zone is in revokes no
// permit.
type Holder struct {
	limits Limits
	// sent holds the heartbeats sent on the current connection to each entry host.
	sent map[model.EntryID]sentHeartbeats
	// permits holds the last permit from each entry host.
	permits map[model.EntryID]heldPermit

	// config is the highest configuration version that the agent knows of;
	// zoneOut is whether its zone is out in that version.
	config     model.ConfigVersion
	zoneOut    bool
	epoch      model.Epoch
	assignment uint64
}

// NewHolder returns a holder without permits.
func NewHolder(limits Limits) *Holder {
	return &Holder{limits: limits, sent: map[model.EntryID]sentHeartbeats{}, permits: map[model.EntryID]heldPermit{}}
}

// HeartbeatSent records when a heartbeat was sent on the current connection to
// an entry host. It must be called before Received is given the permit that
// answers the heartbeat.
func (h *Holder) HeartbeatSent(sentAt time.Time, entry model.EntryID, seq uint64) {
	h.sent[entry] = h.sent[entry].add(sentAt, seq)
}

// Disconnected discards the heartbeats sent on a lost connection. The permit
// received on it stays valid until it expires. Any permit received on the next
// connection replaces it, whatever its sequence number: the entry host may have
// restarted and numbers its permits from the start again.
func (h *Holder) Disconnected(entry model.EntryID) {
	delete(h.sent, entry)
	if kept, known := h.permits[entry]; known {
		kept.permit.Seq = 0
		h.permits[entry] = kept
	}
}

// Received stores a permit from an entry host. It returns false if the permit
// answers no heartbeat of this connection, has expired, or is older than the
// stored one. The configuration, epoch and assignment that the permit carries
// are recorded in either case.
func (h *Holder) Received(now time.Time, entry model.EntryID, permit wire.Permit) bool {
	h.ObserveConfig(permit.Config, permit.ZoneOut)
	h.ObserveEpoch(permit.OwnerEpoch)
	h.ObserveAssignment(permit.Assignment)
	sent := h.sent[entry]
	answered := sent.index(permit.AnsweredHeartbeat)
	if answered < 0 {
		return false
	}
	valid := min(time.Duration(permit.ValidMS)*time.Millisecond, h.limits.Validity)
	until := sent[answered].at.Add(valid)
	if before, kept := h.permits[entry]; kept && before.permit.Seq >= permit.Seq && now.Before(before.until) {
		return false
	}
	h.dropEnded(now)
	h.permits[entry] = heldPermit{permit: permit, until: until}
	return now.Before(until)
}

// dropEnded removes expired permits. Without it, permits of entry hosts that
// never return would be kept for as long as the agent runs.
func (h *Holder) dropEnded(now time.Time) {
	for entry, kept := range h.permits {
		if !now.Before(kept.until) {
			delete(h.permits, entry)
		}
	}
}

// ObserveConfig records the state of the agent's zone in a configuration
// version, read from the agent's own document or from a permit. An entry host
// whose write of a take-out is in doubt reports the zone as out in the current
// version, which holds while its permit is valid. A report that the zone is in
// is certain for its version, since no entry host sends it once a take-out was
// accepted in that version.
func (h *Holder) ObserveConfig(version model.ConfigVersion, zoneOut bool) {
	switch {
	case version > h.config:
		h.config, h.zoneOut = version, zoneOut
	case version == h.config && !zoneOut:
		h.zoneOut = false
	}
}

// ObserveEpoch records an epoch of the scheduler's owner; lower epochs than the
// highest one seen have no effect.
func (h *Holder) ObserveEpoch(epoch model.Epoch) { h.epoch = max(h.epoch, epoch) }

// ObserveAssignment records a version of the home assignment; lower versions
// than the highest one seen have no effect.
func (h *Holder) ObserveAssignment(version uint64) { h.assignment = max(h.assignment, version) }

// Epoch returns the highest epoch seen.
func (h *Holder) Epoch() model.Epoch { return h.epoch }

// CheckTaskStart returns ReasonNone if a task may start now under a command of
// the given owner epoch, and otherwise why it must not.
func (h *Holder) CheckTaskStart(now time.Time, epoch model.Epoch) Reason {
	until, zoneOut := h.TaskPermit(now)
	switch {
	case epoch < h.epoch:
		return ReasonOldEpoch
	case zoneOut:
		return ReasonZoneOut
	case !now.Before(until):
		return ReasonNoPermit
	default:
		return ReasonNone
	}
}

// CheckRequestStart returns ReasonNone if a non-idempotent request may start now
// under a claim of the given home assignment, and otherwise why it must not.
func (h *Holder) CheckRequestStart(now time.Time, assignment uint64) Reason {
	permitted, until := h.RequestPermit(now)
	switch {
	case !now.Before(until):
		return ReasonNoPermit
	case assignment != permitted:
		return ReasonOtherAssignment
	default:
		return ReasonNone
	}
}

// TaskPermit returns until when tasks may start, or the zero time, and whether
// the agent's zone is out. The zone is out if it is so in the highest known
// configuration version, or if an unexpired permit of that or a later version
// says so, which it also does while a take-out is in doubt.
func (h *Holder) TaskPermit(now time.Time) (until time.Time, zoneOut bool) {
	zoneOut = h.zoneOut
	for _, kept := range h.permits {
		switch {
		case !now.Before(kept.until):
		case kept.permit.ZoneOut:
			zoneOut = zoneOut || kept.permit.Config >= h.config
		case kept.until.After(until):
			until = kept.until
		}
	}
	return until, zoneOut
}

// RequestPermit returns the only home assignment under which non-idempotent
// requests may start, and until when. The time is zero while no unexpired
// permit is for the latest assignment that the agent knows of.
func (h *Holder) RequestPermit(now time.Time) (assignment uint64, until time.Time) {
	for _, kept := range h.permits {
		current := now.Before(kept.until) && kept.permit.Assignment == h.assignment
		if current && kept.until.After(until) {
			until = kept.until
		}
	}
	return h.assignment, until
}
