package permit

import (
	"time"

	"dragonflyyard/internal/model"
)

// Roster is an entry host's view of the roster of entry hosts.
type Roster struct {
	// Others lists the other members as of the last read.
	Others []model.EntryID
	// ConfirmedAt is the send time of the last confirmed write of this host's row.
	ConfirmedAt time.Time
	// Established is set while this host may write configuration.
	Established bool
	// Listed is set while other hosts may rely on this host's status.
	Listed bool
	// MayRely is set while this host may rely on the status of all members in
	// RelyOn instead of a read of the table service. RelyOn includes all Others.
	MayRely bool
	RelyOn  []model.EntryID
}
