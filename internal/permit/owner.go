package permit

import (
	"time"

	"dragonflyyard/internal/model"
)

// OwnerAgreement returns the instant since which the whole roster stated that
// it knows no later owner of the region's scheduler than the given epoch. It
// returns false when a member did not say so lately, knows a later owner, or
// knows a member that this host does not. Only established members of the
// roster take the lease over, so until that instant no other owner began.
func (i *Issuer) OwnerAgreement(now time.Time, epoch model.Epoch) (time.Time, bool) {
	if !i.roster.MayRely || !i.rosterIsRecent(now) {
		return time.Time{}, false
	}
	oldest := now
	for _, peer := range i.roster.RelyOn {
		stated, given := i.statements[peer]
		if !given || !stated.status.Counts || stated.status.OwnerEpoch > epoch || !i.knowsMembers(stated.status.Roster) {
			return time.Time{}, false
		}
		if stated.askedAt.Before(oldest) {
			oldest = stated.askedAt
		}
	}
	return oldest, true
}
