package permit

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// held is the last permit of one entry host.
type held struct {
	permit wire.Permit
	until  time.Time
}

// Holder keeps an agent's permits. Its times are those of the agent's own
// monotonic clock.
//
// A permit is good until its end whatever was accepted meanwhile, since its end
// is at most Validity after its basis. The holder ends it earlier where it can:
// a task does not start once the agent knows that its zone is out, and a
// request does not start once it knows of a later home assignment. A later
// configuration in which the zone is in ends no permit.
type Holder struct {
	limits Limits
	// sent holds the heartbeats of the present connection to each entry host.
	sent map[model.EntryID]sentHeartbeats
	// permits holds the last permit of each entry host.
	permits map[model.EntryID]held

	// config is the highest configuration version that the agent knows of, and
	// zoneOut whether its zone is out there.
	config     model.ConfigVersion
	zoneOut    bool
	epoch      model.Epoch
	assignment uint64
}

// NewHolder returns a holder without permits.
func NewHolder(limits Limits) *Holder {
	return &Holder{limits: limits, sent: map[model.EntryID]sentHeartbeats{}, permits: map[model.EntryID]held{}}
}

// HeartbeatSent records when a heartbeat was sent on the present connection to
// an entry host. It is called before Received takes in the permit that answers it.
func (h *Holder) HeartbeatSent(sentAt time.Time, entry model.EntryID, seq uint64) {
	h.sent[entry] = h.sent[entry].add(sentAt, seq)
}

// Disconnected forgets the heartbeats sent on a lost connection. The permit
// that was received on it stays until it ends; any permit of the next
// connection replaces it, as the entry host may have started anew.
func (h *Holder) Disconnected(entry model.EntryID) {
	delete(h.sent, entry)
	if kept, known := h.permits[entry]; known {
		kept.permit.Seq = 0
		h.permits[entry] = kept
	}
}

// Received takes in a permit. It returns false for one that is of no use: it
// answers no heartbeat of this connection, has ended, or is not the latest.
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
	h.permits[entry] = held{permit: permit, until: until}
	return now.Before(until)
}

// dropEnded forgets the permits that have ended. Without it, those of entry
// hosts that are gone for good would be kept as long as the agent runs.
func (h *Holder) dropEnded(now time.Time) {
	for entry, kept := range h.permits {
		if !now.Before(kept.until) {
			delete(h.permits, entry)
		}
	}
}

// ObserveConfig takes in the state of the agent's zone at a configuration version,
// from the agent's own document or from a permit. An entry host with a
// take-out in doubt says at the present version that the zone is out; this
// counts while its permit lasts. That the zone is in at the present version is
// certain, since no entry host says so of an accepted take-out.
func (h *Holder) ObserveConfig(version model.ConfigVersion, zoneOut bool) {
	switch {
	case version > h.config:
		h.config, h.zoneOut = version, zoneOut
	case version == h.config && !zoneOut:
		h.zoneOut = false
	}
}

// ObserveEpoch takes in an epoch of the scheduler's owner.
func (h *Holder) ObserveEpoch(epoch model.Epoch) { h.epoch = max(h.epoch, epoch) }

// ObserveAssignment takes in a version of the home assignment.
func (h *Holder) ObserveAssignment(version uint64) { h.assignment = max(h.assignment, version) }

// Epoch returns the highest epoch seen.
func (h *Holder) Epoch() model.Epoch { return h.epoch }

// CheckTaskStart reports why a task must not start at this moment under a command
// of the given epoch, or ReasonNone.
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

// CheckRequestStart reports why a non-idempotent request must not start at this
// moment under a claim of the given home assignment, or ReasonNone.
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
// the agent's zone is out: at the highest configuration version known, or by
// an unexpired permit of that version or a later one, which may tell of a
// take-out in doubt.
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

// RequestPermit returns the one home assignment under which non-idempotent
// requests may start, and until when. The time is zero while no permit names
// the latest assignment that the agent knows of.
func (h *Holder) RequestPermit(now time.Time) (assignment uint64, until time.Time) {
	for _, kept := range h.permits {
		current := now.Before(kept.until) && kept.permit.Assignment == h.assignment
		if current && kept.until.After(until) {
			until = kept.until
		}
	}
	return h.assignment, until
}
