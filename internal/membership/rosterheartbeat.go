package membership

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// heartbeat is the value of a heartbeat row. RelyOn names the members on whose
// status the host may rely while it cannot read the table service. A host relies
// on no member until a heartbeat that names members is confirmed. From then on it
// relies on all members that any of its heartbeats since the last confirmed one
// named. So the host needs the status of every member that its row names,
// whichever of its heartbeats took effect.
type heartbeat struct {
	// Number counts the heartbeats of one membership.
	Number uint64          `json:"number"`
	RelyOn []model.EntryID `json:"rely_on"`
}

func encodeHeartbeat(hb heartbeat) []byte {
	value, err := json.Marshal(hb)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode heartbeat row"))
	}
	return value
}

func decodeHeartbeat(row storeapi.Row) (heartbeat, error) {
	var hb heartbeat
	if err := json.Unmarshal(row.Value, &hb); err != nil {
		return heartbeat{}, errors.CombineErrors(ErrMalformedRow, err)
	}
	return hb, nil
}

// reliance tracks the members that this host's heartbeats named as relied on.
type reliance struct {
	// heartbeatVersion is the version of this host's heartbeat row. Each heartbeat
	// checks it, so that a seal makes all heartbeats in flight fail.
	heartbeatVersion storeapi.RowVersion
	lastNumber       uint64
	// confirmed holds the members that the last confirmed heartbeat named.
	confirmed []model.EntryID
	// unconfirmed holds the members that any later heartbeat named, and lastSent
	// those that the last one named. sentEmpty is set if one of them named none.
	unconfirmed []model.EntryID
	lastSent    []model.EntryID
	sentEmpty   bool
}

// recordSent returns the heartbeat to send. It may take effect from now on.
func (r *reliance) recordSent(members []model.EntryID) heartbeat {
	r.lastNumber++
	r.lastSent = members
	r.unconfirmed = union(r.unconfirmed, members)
	r.sentEmpty = r.sentEmpty || len(members) == 0
	return heartbeat{Number: r.lastNumber, RelyOn: members}
}

// recordConfirmed records that the last heartbeat took effect. Earlier unconfirmed
// ones never will, since they check an earlier version of the row.
func (r *reliance) recordConfirmed(version storeapi.RowVersion) {
	r.heartbeatVersion = version
	r.confirmed, r.unconfirmed, r.sentEmpty = r.lastSent, nil, false
}

func union(a, b []model.EntryID) []model.EntryID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// isListed reports whether this host is a member that is not stopping and has read
// the roster since it joined.
func (r *Roster) isListed() bool {
	return r.view.Member && !r.stopping && !r.lastListStart.Before(r.joinedAt)
}

// updateReliance updates the view from the heartbeats sent and confirmed. A host
// whose settings name no other entry host may rely on itself alone.
func (r *Roster) updateReliance() {
	r.view.Listed = r.isListed()
	mayRelyOnOthers := len(r.reliance.confirmed) > 0 && !r.reliance.sentEmpty
	r.view.MayRely = r.view.Listed && (mayRelyOnOthers || !r.self.HasPeers)
	r.view.RelyOn = nil
	if r.view.MayRely {
		r.view.RelyOn = union(union(r.reliance.confirmed, r.reliance.unconfirmed), r.otherIDs())
	}
}

func (r *Roster) otherIDs() []model.EntryID {
	var ids []model.EntryID
	for _, other := range r.view.Others {
		ids = append(ids, other.ID)
	}
	return ids
}

// nextRelyOn returns the members that the next heartbeat names. A host that is not
// established relies on no member, so that no other host waits for it if it dies.
func (r *Roster) nextRelyOn() []model.EntryID {
	if !r.view.Established {
		return nil
	}
	return r.otherIDs()
}

// heartbeatDue reports whether a heartbeat is due: at its interval, at once when
// the host may name members for the first time, and after a change of those
// members once ReadInterval has passed since the last write.
func (r *Roster) heartbeatDue(now time.Time) bool {
	if !now.Before(r.nextHeartbeatAt) {
		return true
	}
	if !r.isListed() || slices.Equal(r.nextRelyOn(), r.reliance.lastSent) {
		return false
	}
	isFirst := len(r.reliance.confirmed) == 0
	return isFirst || now.Sub(r.lastCommit.sentAt) >= r.limits.ReadInterval
}

func (r *Roster) sendHeartbeat(now time.Time) []RosterAction {
	r.nextHeartbeatAt = now.Add(r.limits.HeartbeatInterval)
	key := rosterHeartbeatPrefix + string(r.self.ID)
	return r.sendCommit(now, commitHeartbeat, storeapi.Transaction{
		Checks: []storeapi.Check{r.view.Check, {Key: key, Version: r.reliance.heartbeatVersion}},
		Puts:   []storeapi.Put{{Key: key, Value: encodeHeartbeat(r.reliance.recordSent(r.nextRelyOn()))}},
	})
}

// detectSeal updates the version of this host's heartbeat row from the last read.
// The version differs from the known one after a seal, or after a heartbeat whose
// result was lost. The next heartbeat is then due at once, under the new version.
func (r *Roster) detectSeal(now time.Time) {
	own := r.members[r.self.ID]
	if own == nil || !r.view.Member || own.memberVersion != r.view.Check.Version || r.commitCall != 0 || r.listSentAt.Before(r.lastCommitEnd) {
		return
	}
	if own.heartbeat.Version == r.reliance.heartbeatVersion {
		return
	}
	r.reliance.heartbeatVersion = own.heartbeat.Version
	r.nextHeartbeatAt = now
}
