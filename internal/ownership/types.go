// Package ownership decides who holds the lease of a region's scheduler. A
// Candidate is a deterministic core without I/O: its caller passes the time
// and an input, does the returned actions, and feeds their results back.
//
// The lease is one row of the table service, written only under a check of
// its version. A holder counts its lease from the moment it sent the write; a
// follower counts from the moment it received the row's present version. Both
// use their own monotonic clocks, so the hosts' wall clocks do not matter. The
// epoch of the row is the fencing token of the holder's commands.
package ownership

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// Limits are the times of a lease.
type Limits struct {
	// Duration is how long a holder may act after it sent its last confirmed write.
	Duration time.Duration
	// Margin is how much longer than Duration a follower waits. It covers the
	// difference in speed between two hosts' clocks.
	Margin time.Duration
	// RenewEvery is the interval of a holder's renewals.
	RenewEvery time.Duration
	// PollEvery is the interval of a follower's reads.
	PollEvery time.Duration
	// HandOverTries bounds how often a stopping holder writes its release.
	HandOverTries int
}

// DefaultLimits returns limits under which a follower takes over at most
// Duration + Margin + PollEvery and two calls after a holder's death.
func DefaultLimits() Limits {
	return Limits{
		Duration:      3 * time.Second,
		Margin:        200 * time.Millisecond,
		RenewEvery:    750 * time.Millisecond,
		PollEvery:     300 * time.Millisecond,
		HandOverTries: 5,
	}
}

// Lease is the value of the lease row.
type Lease struct {
	Owner       model.EntryID     `json:"owner"`
	Incarnation model.Incarnation `json:"incarnation"`
	Epoch       model.Epoch       `json:"epoch"`
	// Write numbers the writes of one incarnation of an owner.
	Write uint64 `json:"write"`
	// Released is set when the owner gave the lease up before its end.
	Released bool `json:"released"`
}

// State is a candidate's state.
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

// Tick tells the candidate that time has passed.
type Tick struct{}

// RowRead is the result of ReadRow. A row with version zero does not exist.
type RowRead struct {
	Call   uint64
	Result storeapi.Result
	Row    storeapi.Row
}

// RowCommitted is the result of CommitRow. Versions are those that the table
// service gave for the transaction's puts; they are set for storeapi.ResultOK.
type RowCommitted struct {
	Call     uint64
	Result   storeapi.Result
	Versions []storeapi.RowVersion
}

// Stop tells the candidate that its process is stopping: it hands the lease over.
type Stop struct{}

func (Tick) isInput()         {}
func (RowRead) isInput()      {}
func (RowCommitted) isInput() {}
func (Stop) isInput()         {}

// Action is one of ReadRow, CommitRow, Acquired, Extended, Lost, Observed and
// HandedOver.
type Action interface{ isAction() }

// ReadRow asks for a read of the lease row; the answer is RowRead.
type ReadRow struct {
	Call uint64
	Key  string
}

// CommitRow asks for a transaction; the answer is RowCommitted.
type CommitRow struct {
	Call        uint64
	Transaction storeapi.Transaction
}

// Acquired tells that the candidate is now the owner, until ValidUntil at first.
type Acquired struct {
	Epoch      model.Epoch
	ValidUntil time.Time
}

// Renewed tells that a renewal moved the end of the lease.
type Renewed struct {
	Epoch      model.Epoch
	ValidUntil time.Time
}

// LossReason says why a holder stopped being the owner.
type LossReason string

// Reasons of Lost.
const (
	LossExpired    LossReason = "lease_lapsed"
	LossDeposed    LossReason = "deposed"
	LossHandedOver LossReason = "handing_over"
)

// Lost tells that the candidate must not act as the owner any more.
type Lost struct {
	Epoch  model.Epoch
	Reason LossReason
}

// Observed tells of another owner or epoch in the lease row.
type Observed struct{ Lease Lease }

// HandedOver tells that a stopping candidate is done. Confirmed is false when
// it gave up writing the release, so that a successor waits for the lease's end.
type HandedOver struct{ Confirmed bool }

func (ReadRow) isAction()    {}
func (CommitRow) isAction()  {}
func (Acquired) isAction()   {}
func (Renewed) isAction()    {}
func (Lost) isAction()       {}
func (Observed) isAction()   {}
func (HandedOver) isAction() {}
