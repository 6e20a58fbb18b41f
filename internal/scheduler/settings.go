package scheduler

import (
	"time"

	"dragonflyyard/internal/quarantine"
)

// Settings are the owner's time limits and bounds.
type Settings struct {
	// ReservationHold is how long an agent keeps a reservation without a Launch.
	ReservationHold time.Duration
	// Lease is how long a task runs after the lease request that was granted.
	Lease time.Duration
	// LapseMargin is how long after its lease a task has ended for certain,
	// also when its agent is paused.
	LapseMargin time.Duration
	// SilenceLimit is how long a worker with running tasks may ask for no lease.
	SilenceLimit time.Duration
	// ResendInterval is the time between two sends of a message that is not confirmed.
	ResendInterval time.Duration
	// ReserveTimeout and LaunchTimeout end an attempt that does not get on.
	ReserveTimeout time.Duration
	LaunchTimeout  time.Duration
	// MemberLostGrace is the time for a checkpoint when a gang lost a member.
	MemberLostGrace time.Duration
	// CheckpointGrace is the time for a checkpoint when a gang is preempted.
	CheckpointGrace time.Duration
	// RecoveryWindow is how long a new owner waits for the agents' reports.
	RecoveryWindow time.Duration
	// InitialBackoff is the first delay after a refused attempt; it doubles up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// AvoidTime is how long a worker that refused a reservation gets no new ones.
	AvoidTime time.Duration
	// MaxStartsPerTick bounds the attempts on borrowed capacity that begin
	// between two ticks, so that capacity that comes back is not filled with
	// more decision rows than the table service takes.
	MaxStartsPerTick int
	// ZoneDrainTime is how long running tasks may stay in a zone that is out.
	ZoneDrainTime time.Duration
	// MaxLargeReservations bounds the jobs that capacity is held back for.
	MaxLargeReservations int
	// LargeAccelerators is the size from which capacity is held back for a job.
	LargeAccelerators int
	// LargePreemptionDelay is how long a large job waits before borrowed work has to yield
	// to it.
	LargePreemptionDelay time.Duration
	// AgedSlowdown is the expected slowdown above which a large job goes before
	// the order of the accounts, and YieldSlowdown the factor between the
	// slowdowns of two large jobs above which the one with the lower slowdown yields.
	AgedSlowdown  float64
	YieldSlowdown float64
	// RestartCost is the time that a stopped gang loses besides its work.
	RestartCost time.Duration
	// MaxPreemptions is how often a gang yields to other borrowed work.
	MaxPreemptions int
	// MinRunBeforeYield is how long a gang runs before it yields to a large job,
	// and ExtraRunBeforeYield how much longer at the full weight of completion time.
	MinRunBeforeYield   time.Duration
	ExtraRunBeforeYield time.Duration
	// MinRunBeforeMove is how long a gang runs before it moves away from work
	// that cannot checkpoint.
	MinRunBeforeMove time.Duration
	Quarantine       quarantine.Settings
	// MaxEndedJobs is how many ended jobs are kept for Explain.
	MaxEndedJobs int
	Policy       Policy
}

// Policy switches parts of the policy off, for the baselines of measurements.
type Policy struct {
	// FirstInFirstOut orders jobs by submission alone.
	FirstInFirstOut bool
	// StrictOrder starts no job while an earlier one waits.
	StrictOrder bool
	// FirstFit places tasks on the first workers that fit.
	FirstFit bool
	// NoReclaim evicts nothing for guaranteed shapes.
	NoReclaim bool
	// NoReservations holds back no capacity for large jobs.
	NoReservations bool
	// DeclaredRunTimes trusts the declared run times.
	DeclaredRunTimes bool
	// EvictNewest evicts the gangs that started last in place of those that
	// lose least work.
	EvictNewest bool
	// MixPinned places jobs that cannot checkpoint like all others.
	MixPinned bool
	// NoQuarantine keeps placing tasks on workers that fail.
	NoQuarantine bool
}

// DefaultSettings returns the limits that the bounds of the product follow from.
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
