// Package permit decides for how long an agent may start tasks and
// non-idempotent requests. An entry host issues permits with an Issuer; an
// agent holds them in a Holder. Both are deterministic and without I/O.
//
// Every permit rests on a basis: an instant after which the issuer knows that
// no take-out and no new home assignment was accepted, other than those that
// the permit names. The basis is the start of a read of the head rows, or, in
// a store outage, the earliest of the instants at which the issuer asked the
// other entry hosts for their present status. A permit ends at most Validity
// after its basis, however late the agent's heartbeat was received, and the
// agent counts it from the moment it sent that heartbeat. So a start under a
// permit lies at most Validity after any acceptance that the permit does not name.
package permit

import "time"

// Limits are the times of permits.
type Limits struct {
	// Validity is the longest time from a permit's basis to its end.
	Validity time.Duration
	// MinValidity is the shortest permit that is worth sending.
	MinValidity time.Duration
	// OutageLimit is how long after its last confirmed roster row an entry
	// host may rest permits on the statements of other entry hosts.
	OutageLimit time.Duration
}

// LongestValidity bounds the validity of every permit. Entry hosts may be set
// to issue shorter ones; agents and homes that wait until all permits of
// another process have lapsed wait for this long.
const LongestValidity = 2500 * time.Millisecond

// DefaultLimits returns the limits of the product: with heartbeats every
// 500 ms, the last start in a zone is less than 3 s after it was taken out.
func DefaultLimits() Limits {
	return Limits{
		Validity:    LongestValidity,
		MinValidity: 200 * time.Millisecond,
		OutageLimit: 10 * time.Minute,
	}
}

// Reason says why a permit is not issued, or why a start is refused.
type Reason string

// Reasons.
const (
	ReasonNone Reason = ""
	// ReasonNotReady means that the issuer has no configuration yet.
	ReasonNotReady Reason = "not_ready"
	// ReasonStale means that no basis is recent enough.
	ReasonStale Reason = "basis_too_old"
	// ReasonInDoubt means that a home assignment is in doubt at some entry host.
	ReasonInDoubt Reason = "write_in_doubt"
	// ReasonBehind means that another entry host knows a later state.
	ReasonBehind Reason = "state_behind"
	// ReasonNoPermit means that the agent holds no unexpired permit.
	ReasonNoPermit Reason = "no_permit"
	// ReasonZoneOut means that the agent's availability zone is out.
	ReasonZoneOut Reason = "zone_out"
	// ReasonOldEpoch means that a later owner of the scheduler is known.
	ReasonOldEpoch Reason = "old_epoch"
	// ReasonOtherAssignment means that the home assignment is not the permit's.
	ReasonOtherAssignment Reason = "other_assignment"
)
