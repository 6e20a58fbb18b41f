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
type Holder struct {
	limits  Limits
	sent    map[model.EntryID][]asked
	permits map[model.EntryID]held

	config     model.ConfigVersion
	epoch      model.Epoch
	assignment uint64
}

// NewHolder returns a holder without permits.
func NewHolder(limits Limits) *Holder {
	return &Holder{limits: limits, sent: map[model.EntryID][]asked{}, permits: map[model.EntryID]held{}}
}

// HeartbeatSent records when a heartbeat was sent. It is called before the
// heartbeat is handed to the connection.
func (h *Holder) HeartbeatSent(now time.Time, entry model.EntryID, seq uint64) {
	waiting := append(h.sent[entry], asked{seq: seq, at: now})
	if len(waiting) > maxAsked {
		waiting = waiting[len(waiting)-maxAsked:]
	}
	h.sent[entry] = waiting
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
// answers no heartbeat of this connection, has ended, or names a state older
// than the agent has seen.
func (h *Holder) Received(now time.Time, entry model.EntryID, permit wire.Permit) bool {
	sentAt, known := h.sentAt(entry, permit.AnsweredHeartbeat)
	h.SeeConfig(permit.Config)
	h.SeeEpoch(permit.OwnerEpoch)
	h.SeeAssignment(permit.Assignment)
	if !known {
		return false
	}
	valid := min(time.Duration(permit.ValidMS)*time.Millisecond, h.limits.Validity)
	until := sentAt.Add(valid)
	if before, kept := h.permits[entry]; kept && before.permit.Seq >= permit.Seq && now.Before(before.until) {
		return false
	}
	h.permits[entry] = held{permit: permit, until: until}
	return h.isUsable(now, h.permits[entry])
}

func (h *Holder) sentAt(entry model.EntryID, seq uint64) (time.Time, bool) {
	for _, a := range h.sent[entry] {
		if a.seq == seq {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// SeeConfig takes in a configuration version that the agent received. Permits
// of a lower version are of no use from then on.
func (h *Holder) SeeConfig(version model.ConfigVersion) { h.config = max(h.config, version) }

// SeeEpoch takes in an epoch of the scheduler's owner.
func (h *Holder) SeeEpoch(epoch model.Epoch) { h.epoch = max(h.epoch, epoch) }

// SeeAssignment takes in a version of the home assignment.
func (h *Holder) SeeAssignment(version uint64) { h.assignment = max(h.assignment, version) }

// Epoch returns the highest epoch seen.
func (h *Holder) Epoch() model.Epoch { return h.epoch }

// StartTask reports why a task must not start at this moment under a command
// of the given epoch, or ReasonNone.
func (h *Holder) StartTask(now time.Time, epoch model.Epoch) Reason {
	if epoch < h.epoch {
		return ReasonOldEpoch
	}
	if h.zoneOut(now) {
		return ReasonZoneOut
	}
	if !now.Before(h.ValidUntil(now)) {
		return ReasonNoPermit
	}
	return ReasonNone
}

// StartRequest reports why a non-idempotent request must not start at this
// moment under a claim of the given home assignment, or ReasonNone.
func (h *Holder) StartRequest(now time.Time, assignment uint64) Reason {
	if !now.Before(h.ValidUntil(now)) {
		return ReasonNoPermit
	}
	if assignment != h.assignment {
		return ReasonOtherAssignment
	}
	return ReasonNone
}

// ValidUntil returns the end of the latest permit that can be used now, or the
// zero time.
func (h *Holder) ValidUntil(now time.Time) time.Time {
	var until time.Time
	for _, kept := range h.permits {
		if h.isUsable(now, kept) && kept.until.After(until) {
			until = kept.until
		}
	}
	return until
}

// zoneOut reports whether any unexpired permit says that the zone is out. One
// entry host may know of a take-out that others cannot see yet.
func (h *Holder) zoneOut(now time.Time) bool {
	for _, kept := range h.permits {
		if kept.permit.ZoneOut && h.isUsable(now, kept) {
			return true
		}
	}
	return false
}

// isUsable reports whether a permit has not ended and names the highest state seen.
func (h *Holder) isUsable(now time.Time, kept held) bool {
	p := kept.permit
	return now.Before(kept.until) && p.Config >= h.config && p.Assignment >= h.assignment
}
