package scheduler

import (
	"time"

	"dragonflyyard/internal/quarantine"
)

// Settings are the owner's timeouts and limits.
type Settings struct {
	// ReservationHold is how long an agent keeps a reservation that is not
	// followed by a Launch.
	ReservationHold time.Duration
	// Lease is how long a task may run after the lease request that was
	// granted.
	Lease time.Duration
	// LapseMargin is the time after the expiry of its lease by which a task
	// has certainly ended, even if its agent is paused.
	LapseMargin time.Duration
	// SilenceLimit is how long a worker with running tasks may send no lease
	// request.
	SilenceLimit time.Duration
	// ResendInterval is the time between two sends of an unconfirmed message.
	ResendInterval time.Duration
	// ReserveTimeout and LaunchTimeout limit the time that an attempt spends
	// in PhaseReserving and PhaseLaunching.
	ReserveTimeout time.Duration
	LaunchTimeout  time.Duration
	// MemberLostGrace is the time allowed for a checkpoint when a gang has
	// lost a member.
	MemberLostGrace time.Duration
	// CheckpointGrace is the time allowed for a checkpoint when a gang is
	// preempted.
	CheckpointGrace time.Duration
	// RecoveryWindow is how long a new owner waits for the agents' reports.
	RecoveryWindow time.Duration
	// InitialBackoff is the delay after the first refused attempt; it doubles
	// up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// AvoidTime is how long a worker gets no new reservations after it refused
	// one.
	AvoidTime time.Duration
	// MaxStartsPerTick limits the attempts on borrowed capacity that begin
	// between two ticks, so that capacity that returns to service does not
	// cause more decision rows than the table service can accept.
	MaxStartsPerTick int
	// ZoneDrainTime is how long running tasks may remain in a zone that is
	// out.
	ZoneDrainTime time.Duration
	// MaxLargeReservations limits the number of jobs with a reservation.
	MaxLargeReservations int
	// LargeAccelerators is the size in accelerators from which a job counts as
	// large and gets reservations.
	LargeAccelerators int
	// LargePreemptionDelay is how long a large job waits before it may preempt
	// borrowed work.
	LargePreemptionDelay time.Duration
	// AgedSlowdown is the expected slowdown above which a large job is placed
	// before the account order applies. YieldSlowdown is the factor between
	// the slowdowns of two large jobs above which the one with the lower
	// slowdown yields.
	AgedSlowdown  float64
	YieldSlowdown float64
	// RestartCost is the time that a stopped gang loses in addition to its
	// lost work.
	RestartCost time.Duration
	// MaxPreemptions is how often a gang may be preempted by other borrowed
	// work.
	MaxPreemptions int
	// MinRunBeforeYield is how long a gang runs before it yields to a large
	// job. ExtraRunBeforeYield is added to it, scaled by the completion-time
	// weight.
	MinRunBeforeYield   time.Duration
	ExtraRunBeforeYield time.Duration
	// MinRunBeforeMove is how long a gang runs before it may be moved to
	// separate it from work that cannot checkpoint.
	MinRunBeforeMove time.Duration
	Quarantine       quarantine.Settings
	// MaxEndedJobs is how many ended jobs are kept for Explain.
	MaxEndedJobs int
	Policy       Policy
}

// Policy disables parts of the scheduling policy, to measure baselines.
type Policy struct {
	// FirstInFirstOut orders jobs only by submission time.
	FirstInFirstOut bool
	// StrictOrder starts no job while one submitted earlier waits.
	StrictOrder bool
	// FirstFit places tasks on the first workers on which they fit.
	FirstFit bool
	// NoReclaim disables eviction for guaranteed shapes.
	NoReclaim bool
	// NoReservations disables reservations for large jobs.
	NoReservations bool
	// DeclaredRunTimes uses the declared run times in place of predictions.
	DeclaredRunTimes bool
	// EvictNewest evicts the most recently started gangs instead of those that
	// lose the least work.
	EvictNewest bool
	// MixPinned disables the separation of jobs that cannot checkpoint from
	// others.
	MixPinned bool
	// NoQuarantine continues to place tasks on workers that fail.
	NoQuarantine bool
}

// DefaultSettings returns the settings from which the product's documented time
// limits are derived.
func DefaultSettings() Settings {
	return Settings{
		ReservationHold:      3 * time.Second,
		Lease:                2 * time.Second,
		LapseMargin:          700 * time.Millisecond,
		SilenceLimit:         1500 * time.Millisecond,
		ResendInterval:       300 * time.Millisecond,
		ReserveTimeout:       time.Second,
		LaunchTimeout:        1500 * time.Millisecond,
		MemberLostGrace:      time.Second,
		CheckpointGrace:      10 * time.Second,
		RecoveryWindow:       3 * time.Second,
		InitialBackoff:       100 * time.Millisecond,
		MaxBackoff:           30 * time.Second,
		AvoidTime:            500 * time.Millisecond,
		MaxStartsPerTick:     8,
		LargeAccelerators:    16,
		LargePreemptionDelay: 15 * time.Second,
		AgedSlowdown:         2,
		YieldSlowdown:        2,
		RestartCost:          30 * time.Second,
		MaxPreemptions:       8,
		MinRunBeforeYield:    40 * time.Second,
		ExtraRunBeforeYield:  20 * time.Second,
		MinRunBeforeMove:     4 * time.Minute,
		Quarantine:           quarantine.DefaultSettings(),
		ZoneDrainTime:        time.Minute,
		MaxLargeReservations: 4,
		MaxEndedJobs:         4096,
	}
}
