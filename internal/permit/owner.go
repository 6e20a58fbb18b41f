package permit

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// OwnerAgreement returns the instant since which the whole roster stated that
// it knows no later owner of the region's scheduler than the given epoch. It
// returns false when a member did not say so lately, knows a later owner, or
// knows a member that this host does not. Only established members of the
// roster take the lease over, so until that instant no other owner began.
func (i *Issuer) OwnerAgreement(now time.Time, epoch model.Epoch) (time.Time, bool) {
	oldest, reason := i.oldestStatement(now, func(status wire.StoreStatus) Reason {
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
