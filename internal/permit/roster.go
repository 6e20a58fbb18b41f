package permit

import (
	"time"

	"dragonflyyard/internal/model"
)

// Roster is what an entry host knows of the roster of entry hosts.
type Roster struct {
	// Others are the other members, as last read.
	Others []model.EntryID
	// ConfirmedAt is when the last confirmed write of this host's row was sent.
	ConfirmedAt time.Time
	// Established is set while this host may write configuration.
	Established bool
	// Listed is set while others may rely on this host's statements.
	Listed bool
	// MayRely is set while this host may rely on the statements of all members in
	// RelyOn, in place of a read of the table service. RelyOn holds all Others.
	MayRely bool
	RelyOn  []model.EntryID
}
