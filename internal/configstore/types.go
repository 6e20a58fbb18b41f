// Package configstore keeps the versioned configuration of an entry host in
// step with the table service, and writes operators' changes there. A Core is
// deterministic and without I/O: its caller passes the time and an input, does
// the returned actions, and feeds their results back.
//
// The configuration is a head row, one immutable row for each change, and
// snapshots in the object store for processes that join late. A change is
// written under a check of the head row's version, together with a row under
// its change ID, so that a write whose answer was lost is resolved by reading,
// and a change that is sent again has no further effect.
package configstore

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// Limits are the times and sizes of a Core.
type Limits struct {
	// PollEvery is the interval of reads of the head rows.
	PollEvery time.Duration
	// RetryEvery is the interval at which a write in doubt is pursued.
	RetryEvery time.Duration
	// AnswerTimeout is when an operator whose change is still unresolved is told so.
	AnswerTimeout time.Duration
	// SnapshotEvery is how many changes lie between two snapshots.
	SnapshotEvery int
	// Retention is how many change rows are kept, at least twice SnapshotEvery.
	Retention int
	// MaxQueued bounds the changes that wait to be written.
	MaxQueued int
	// PageRows is how many change rows are listed in one call.
	PageRows int
}

// DefaultLimits returns the limits of the product.
func DefaultLimits() Limits {
	return Limits{
		PollEvery:     300 * time.Millisecond,
		RetryEvery:    300 * time.Millisecond,
		AnswerTimeout:   2 * time.Second,
		SnapshotEvery: 200,
		Retention:     4000,
		MaxQueued:     64,
		PageRows:      500,
	}
}

// Validator checks a change against the document that it would make. It
// returns a *ValidationError for a change that must be refused.
type Validator func(next *model.ConfigDocument, change model.ConfigChange) error

// Input is one of Tick, Submit, Propose, Admit, Learned, RowsListed, RowRead,
// Committed, ObjectRead and ObjectWritten.
type Input interface{ isInput() }

// Tick tells the core that time has passed.
type Tick struct{}

// Submit is an operator's change. Token names the submission in its Answer.
type Submit struct {
	Token  uint64
	Change model.ConfigChange
}

// ProposeAssignment is a new home assignment. Fence is the check that its writer still
// owns the region.
type ProposeAssignment struct {
	Assignment wire.Assignment
	Fence      storeapi.Check
}

// WriteAccess tells whether this entry host may write configuration, and the check
// that it still is a member of the roster, which goes with each write.
type WriteAccess struct {
	Allowed bool
	Member  storeapi.Check
}

// PeerUpdate is configuration that another entry host knows to be accepted.
type PeerUpdate struct{ Update wire.ConfigUpdate }

// RowsListed is the result of ListRows.
type RowsListed struct {
	Call   uint64
	Result storeapi.Result
	Rows   []storeapi.Row
}

// RowRead is the result of ReadRow.
type RowRead struct {
	Call   uint64
	Result storeapi.Result
	Row    storeapi.Row
}

// Committed is the result of Commit.
type Committed struct {
	Call     uint64
	Result   storeapi.Result
	Versions []storeapi.RowVersion
}

// ObjectRead is the result of ReadObject.
type ObjectRead struct {
	Call   uint64
	Result storeapi.Result
	Value  []byte
}

// ObjectWritten is the result of WriteObject.
type ObjectWritten struct {
	Call   uint64
	Result storeapi.Result
}

func (Tick) isInput()          {}
func (Submit) isInput()        {}
func (ProposeAssignment) isInput()       {}
func (WriteAccess) isInput()         {}
func (PeerUpdate) isInput()       {}
func (RowsListed) isInput()    {}
func (RowRead) isInput()       {}
func (Committed) isInput()     {}
func (ObjectRead) isInput()    {}
func (ObjectWritten) isInput() {}

// Action is one of ListRows, ReadRow, Commit, ReadObject, WriteObject,
// Publish, PublishAssignment, Answer and Resolved.
type Action interface{ isAction() }

// ListRows asks for rows of the table service; the answer is RowsListed.
type ListRows struct {
	Call   uint64
	Prefix string
	After  string
	Limit  int
}

// ReadRow asks for one row; the answer is RowRead.
type ReadRow struct {
	Call uint64
	Key  string
}

// Commit asks for a transaction; the answer is Committed.
type Commit struct {
	Call        uint64
	Transaction storeapi.Transaction
}

// ReadObject asks for an object; the answer is ObjectRead.
type ReadObject struct {
	Call uint64
	Key  string
}

// WriteObject asks to store an object; the answer is ObjectWritten.
type WriteObject struct {
	Call  uint64
	Key   string
	Value []byte
}

// Publish tells that the document is now at a higher version. Changes lead
// from the former version to it; they are empty when a snapshot was taken over.
type Publish struct {
	From    model.ConfigVersion
	To      model.ConfigVersion
	Changes []model.ConfigChange
}

// PublishAssignment tells of a new home assignment.
type PublishAssignment struct{ Assignment wire.Assignment }

// Verdict is the answer to an operator's change.
type Verdict string

// Verdicts on a change.
const (
	// VerdictAccepted means that the change is part of the configuration.
	VerdictAccepted Verdict = "accepted"
	// VerdictConflict means that another change won; nothing changed.
	VerdictConflict Verdict = "conflict"
	// VerdictInvalid means that the change was refused; nothing changed.
	VerdictInvalid Verdict = "invalid"
	// VerdictUnavailable means that the change could not be written; nothing changed.
	VerdictUnavailable Verdict = "unavailable"
	// VerdictInDoubt means that it is not known yet whether the change was
	// written. Sending it again under the same ID tells.
	VerdictInDoubt Verdict = "in_doubt"
	// VerdictBusy means that too many changes wait; nothing changed.
	VerdictBusy Verdict = "busy"
)

// Answer is the answer to a Submit.
type Answer struct {
	Token   uint64
	Verdict Verdict
	// Version is the configuration version that the change made, for VerdictAccepted.
	Version model.ConfigVersion
	// Winner is the change that last wrote the object, for VerdictConflict. It
	// is nil when that change is no longer kept.
	Winner *model.ConfigChange
	// Invalid says why, for VerdictInvalid.
	Invalid *ValidationError
	// RetryAfter is when to ask again, for a change that was not decided.
	RetryAfter time.Duration
}

// Resolved tells the final result of a change whose operator was answered
// VerdictInDoubt.
type Resolved struct {
	Change  model.ChangeID
	Verdict Verdict
	Version model.ConfigVersion
}

func (ListRows) isAction()          {}
func (ReadRow) isAction()           {}
func (Commit) isAction()            {}
func (ReadObject) isAction()        {}
func (WriteObject) isAction()       {}
func (Publish) isAction()           {}
func (PublishAssignment) isAction() {}
func (Answer) isAction()            {}
func (Resolved) isAction()          {}

// View is what the core knows at a time, for start permits and for peers.
type View struct {
	// Ready is false until the core has read a configuration from the table service.
	Ready      bool
	Config     model.ConfigVersion
	Assignment uint64
	// CurrentSince is the start of the last read that showed Config and
	// Assignment to be the latest. It is zero before the first one.
	CurrentSince time.Time
	// ZonesOut lists the zones that are out or whose take-out is being written
	// or is in doubt, sorted.
	ZonesOut []model.AvailabilityZoneName
	// AssignmentInDoubt is set while a home assignment is being written or is in doubt.
	AssignmentInDoubt bool
}
