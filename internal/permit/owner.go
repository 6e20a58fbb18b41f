package permit

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// OwnerAgreement returns the instant up to which no member of the roster knew
// an owner of the region's scheduler with a later epoch than the given one. It
// returns false when a member has not confirmed this recently, knows a later
// owner, or knows a member that this host does not. Only established members of
// the roster take over the lease, so no other owner started before that instant.
func (i *Issuer) OwnerAgreement(now time.Time, epoch model.Epoch) (time.Time, bool) {
	oldest, reason := i.oldestStatus(now, func(status wire.StoreStatus) Reason {
		switch {
		case !status.Counts:
			return ReasonStale
		case status.OwnerEpoch > epoch, !i.knowsMembers(status.Roster):
			return ReasonBehind
		default:
			return ReasonNone
		}
	})
	return oldest, reason == ReasonNone
}
