// Package configstore keeps an entry host's copy of the versioned configuration
// in sync with the table service and writes operators' changes to it. A Core is
// deterministic and performs no I/O: the caller passes the time and an input,
// performs the returned actions, and passes their results back as inputs.
//
// The stored configuration consists of a head row, one immutable row for each
// change, and snapshots in the object store for processes that join late. A
// change is written conditionally on the head row's version, together with a
// row keyed by its change ID. A write whose answer was lost can therefore be
// resolved by reading, and resubmitting a change has no further effect.
package configstore

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// Limits are the intervals, timeouts and size limits of a Core.
type Limits struct {
	// PollEvery is the interval of reads of the head rows.
	PollEvery time.Duration
	// RetryEvery is the interval between retries of a write in doubt, and the
	// delay before the next read after a failed one.
	RetryEvery time.Duration
	// AnswerTimeout is how long an operator waits at most for the result of a
	// change before being answered that it is unavailable or in doubt.
	AnswerTimeout time.Duration
	// SnapshotEvery is the number of changes between two snapshots.
	SnapshotEvery int
	// Retention is the number of change rows kept, at least twice SnapshotEvery.
	Retention int
	// MaxQueued limits the number of changes waiting to be written.
	MaxQueued int
	// PageRows is the maximum number of rows listed in one call.
	PageRows int
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{
		PollEvery:     300 * time.Millisecond,
		RetryEvery:    300 * time.Millisecond,
		AnswerTimeout: 2 * time.Second,
		SnapshotEvery: 200,
		Retention:     4000,
		MaxQueued:     64,
		PageRows:      500,
	}
}

// Validator checks a change against the document that would result from it. It
// returns a *ValidationError for a change that must be rejected.
type Validator func(next *model.ConfigDocument, change model.ConfigChange) error

// Input is one of Tick, Submit, ProposeAssignment, WriteAccess, PeerUpdate,
// RowsListed, RowRead, Committed, ObjectRead and ObjectWritten.
type Input interface{ isInput() }

// Tick makes the core process timeouts and due reads.
type Tick struct{}

// Submit is an operator's change. Token identifies the submission in its Answer.
type Submit struct {
	Token  uint64
	Change model.ConfigChange
}

// ProposeAssignment asks to write a new home assignment. Fence is the check
// that the proposer still owns the region.
type ProposeAssignment struct {
	Assignment wire.Assignment
	Fence      storeapi.Check
}

// WriteAccess sets whether this entry host may write configuration. Member is
// the check, added to each write, that the host is still in the roster.
type WriteAccess struct {
	Allowed bool
	Member  storeapi.Check
}

// PeerUpdate is accepted configuration received from another entry host.
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

func (Tick) isInput()              {}
func (Submit) isInput()            {}
func (ProposeAssignment) isInput() {}
func (WriteAccess) isInput()       {}
func (PeerUpdate) isInput()        {}
func (RowsListed) isInput()        {}
func (RowRead) isInput()           {}
func (Committed) isInput()         {}
func (ObjectRead) isInput()        {}
func (ObjectWritten) isInput()     {}

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

// Publish announces that the document is now at a higher version. Changes leads
// from version From to version To; it is empty when the document was replaced
// as a whole, for example by a snapshot.
type Publish struct {
	From    model.ConfigVersion
	To      model.ConfigVersion
	Changes []model.ConfigChange
}

// PublishAssignment announces a new home assignment.
type PublishAssignment struct{ Assignment wire.Assignment }

// Verdict is the answer to an operator's change.
type Verdict string

// Verdicts on a submitted change.
const (
	// VerdictAccepted means that the change is part of the configuration.
	VerdictAccepted Verdict = "accepted"
	// VerdictConflict means that the expected version is not the object's
	// version, because another change was written first; nothing changed.
	VerdictConflict Verdict = "conflict"
	// VerdictInvalid means that the change failed validation; nothing changed.
	VerdictInvalid Verdict = "invalid"
	// VerdictUnavailable means that the change could not be written; nothing changed.
	VerdictUnavailable Verdict = "unavailable"
	// VerdictInDoubt means that it is not yet known whether the change was
	// written. Resubmitting it with the same ID returns the result.
	VerdictInDoubt Verdict = "in_doubt"
	// VerdictBusy means that the queue of changes is full; nothing changed.
	VerdictBusy Verdict = "busy"
)

// Answer is the answer to a Submit.
type Answer struct {
	Token   uint64
	Verdict Verdict
	// Version is the configuration version that the change made, for VerdictAccepted.
	Version model.ConfigVersion
	// Winner is the change that last wrote the object, for VerdictConflict. It
	// is nil when that change is no longer in the history.
	Winner *model.ConfigChange
	// Invalid is the reason, for VerdictInvalid.
	Invalid *ValidationError
	// RetryAfter is the delay before a retry, for a change without a final result.
	RetryAfter time.Duration
}

// Resolved is the final result of a change whose operator was answered
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

// View is the state of a core at one time, for start permits and for peers.
type View struct {
	// Ready is false until the core has read a configuration from the table service.
	Ready      bool
	Config     model.ConfigVersion
	Assignment uint64
	// CurrentSince is the start of the last read that confirmed Config and
	// Assignment as the latest versions. It is zero before the first such read.
	CurrentSince time.Time
	// ZonesOut lists, sorted, the zones that are out of service or whose
	// take-out is being written or is in doubt.
	ZonesOut []model.AvailabilityZoneName
	// AssignmentInDoubt is set while a home assignment is being written or is in doubt.
	AssignmentInDoubt bool
}
