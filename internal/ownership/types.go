// Package ownership elects the entry host that holds the lease of a region's
// scheduler. A Candidate is a deterministic core without I/O: its caller passes
// the time and an input, performs the returned actions, and passes their results
// back as inputs.
//
// The lease is one row of the table service, written only under a check of
// its version. The holder measures the lease from when it sent the write; a
// follower measures it from when it received the row's current version. Both
// use their own monotonic clocks, so the hosts' wall clocks do not matter. The
// epoch of the row is the fencing token of the holder's commands.
package ownership

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// Limits are the durations and bounds of a lease.
type Limits struct {
	// Duration is how long a lease is valid after the holder sent its last
	// confirmed write.
	Duration time.Duration
	// ClockDriftMargin is how much longer than Duration a follower waits. It covers
	// the difference in rate between two hosts' clocks.
	ClockDriftMargin time.Duration
	// RenewInterval is the interval of a holder's renewals.
	RenewInterval time.Duration
	// PollInterval is the interval of a follower's reads.
	PollInterval time.Duration
	// MaxReleaseAttempts bounds how often a stopping holder writes the release.
	MaxReleaseAttempts int
}

// DefaultLimits returns limits under which a follower takes over within
// Duration + ClockDriftMargin + PollInterval and two calls after a holder's death.
func DefaultLimits() Limits {
	return Limits{
		Duration:           3 * time.Second,
		ClockDriftMargin:   200 * time.Millisecond,
		RenewInterval:      750 * time.Millisecond,
		PollInterval:       300 * time.Millisecond,
		MaxReleaseAttempts: 5,
	}
}

// Lease is the value of the lease row.
type Lease struct {
	Owner       model.EntryID     `json:"owner"`
	Incarnation model.Incarnation `json:"incarnation"`
	Epoch       model.Epoch       `json:"epoch"`
	// Write numbers the writes of one incarnation of an owner.
	Write uint64 `json:"write"`
	// Released is set when the owner released the lease before it expired.
	Released bool `json:"released"`
}

// State is a candidate's state, without the stages of a renewal.
type State string

// States of a candidate.
const (
	StateFollowing   State = "following"
	StateAcquiring   State = "acquiring"
	StateHolding     State = "holding"
	StateHandingOver State = "handing_over"
	StateStopped     State = "stopped"
)

// Input is one of Tick, RowRead, RowCommitted and Stop.
type Input interface{ isInput() }

// Tick lets the candidate act on the time that has passed.
type Tick struct{}

// RowRead is the result of ReadRow. A row with version zero does not exist.
type RowRead struct {
	Call   uint64
	Result storeapi.Result
	Row    storeapi.Row
}

// RowCommitted is the result of CommitRow. Versions holds the new row versions of
// the transaction's puts, in order; it is set for storeapi.ResultOK only.
type RowCommitted struct {
	Call     uint64
	Result   storeapi.Result
	Versions []storeapi.RowVersion
}

// Stop makes the candidate hand over its lease because its process is stopping.
type Stop struct{}

func (Tick) isInput()         {}
func (RowRead) isInput()      {}
func (RowCommitted) isInput() {}
func (Stop) isInput()         {}

// Action is one of ReadRow, CommitRow, Acquired, Renewed, Lost, Observed and
// HandedOver.
type Action interface{ isAction() }

// ReadRow requests a read of the lease row; its result is RowRead.
type ReadRow struct {
	Call uint64
	Key  string
}

// CommitRow requests a transaction; its result is RowCommitted.
type CommitRow struct {
	Call        uint64
	Transaction storeapi.Transaction
}

// Acquired reports that the candidate is now the owner, until ValidUntil unless
// the lease is renewed.
type Acquired struct {
	Epoch      model.Epoch
	ValidUntil time.Time
}

// Renewed reports that a renewal extended the lease to ValidUntil.
type Renewed struct {
	Epoch      model.Epoch
	ValidUntil time.Time
}

// LossReason is the reason for which a holder stopped being the owner.
type LossReason string

// Reasons of Lost: the lease expired, another owner's write was seen, or the
// process is stopping.
const (
	LossExpired    LossReason = "lease_lapsed"
	LossDeposed    LossReason = "deposed"
	LossHandedOver LossReason = "handing_over"
)

// Lost reports that the candidate must no longer act as the owner.
type Lost struct {
	Epoch  model.Epoch
	Reason LossReason
}

// Observed reports the lease as first read, and each change of its owner, epoch or
// release by another host.
type Observed struct{ Lease Lease }

// HandedOver reports that a stopping candidate has finished. Confirmed is false if
// it gave up while the row still showed it as the owner: a successor then waits
// until the lease expires.
type HandedOver struct{ Confirmed bool }

func (ReadRow) isAction()    {}
func (CommitRow) isAction()  {}
func (Acquired) isAction()   {}
func (Renewed) isAction()    {}
func (Lost) isAction()       {}
func (Observed) isAction()   {}
func (HandedOver) isAction() {}
