// Package permit decides for how long an agent may start tasks and
// non-idempotent requests. A permit is a short lease on the right to start
// work: an entry host issues permits with an Issuer, an agent holds them in a
// Holder. Both types are deterministic and do no I/O.
//
// Every permit has a basis: the instant up to which the issuer knows of every
// accepted zone take-out and home assignment. The permit carries the latest of
// them. The basis is the start of a read of the head rows or, during a store
// outage, the earliest time at which the issuer sent the heartbeats that the
// other entry hosts answered with their status. A permit expires at most
// Validity after its basis, however late the agent's heartbeat was received,
// and the agent measures the validity from when it sent that heartbeat.
// Therefore no start under a permit happens more than Validity after the
// acceptance of a change that the permit does not reflect.
package permit

import "time"

// Limits holds the durations that bound permits.
type Limits struct {
	// Validity is the longest time from a permit's basis to its end.
	Validity time.Duration
	// MinValidity is the shortest validity with which a permit is issued.
	MinValidity time.Duration
	// OutageLimit is how long after the last confirmed write of its roster row
	// an entry host may base permits on the status of other entry hosts.
	OutageLimit time.Duration
}

// LongestValidity bounds the validity of every permit. Entry hosts can be
// configured to issue shorter ones; agents and homes that wait for all permits
// of another process to expire wait this long.
const LongestValidity = 2500 * time.Millisecond

// DefaultLimits returns the production limits: with heartbeats every 500 ms,
// the last start in a zone happens less than 3 s after the zone was taken out.
func DefaultLimits() Limits {
	return Limits{
		Validity:    LongestValidity,
		MinValidity: 200 * time.Millisecond,
		OutageLimit: 10 * time.Minute,
	}
}

// Reason says why a permit was not issued or a start was refused.
type Reason string

// Reasons for not issuing a permit or refusing a start.
const (
	ReasonNone Reason = ""
	// ReasonNotReady means that the issuer has no configuration yet.
	ReasonNotReady Reason = "not_ready"
	// ReasonStale means that the issuer has no sufficiently recent basis.
	ReasonStale Reason = "basis_too_old"
	// ReasonInDoubt means that an entry host does not know whether its write of
	// a home assignment took effect.
	ReasonInDoubt Reason = "write_in_doubt"
	// ReasonBehind means that another entry host has a later configuration,
	// assignment or roster than the issuer.
	ReasonBehind Reason = "state_behind"
	// ReasonNoPermit means that the agent holds no unexpired permit.
	ReasonNoPermit Reason = "no_permit"
	// ReasonZoneOut means that the agent's availability zone is out.
	ReasonZoneOut Reason = "zone_out"
	// ReasonOldEpoch means that the agent knows a later epoch of the scheduler's
	// owner than the command's.
	ReasonOldEpoch Reason = "old_epoch"
	// ReasonOtherAssignment means that the claim's home assignment is not the
	// permitted one.
	ReasonOtherAssignment Reason = "other_assignment"
)
