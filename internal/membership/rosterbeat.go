package membership

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// beat is the value of a beat row. It names the members on whose statements the
// host may rely while it cannot read the table service. A host relies on
// nobody until a beat that says so was confirmed, and always on all members
// that any of its beats since then named. So whoever reads the row knows at
// least one set of members of which the host needs every statement.
type beat struct {
	// Number counts the beats of one membership.
	Number uint64          `json:"number"`
	RelyOn []model.EntryID `json:"rely_on"`
}

func encodeBeat(b beat) []byte {
	value, err := json.Marshal(b)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode beat row"))
	}
	return value
}

func decodeBeat(row storeapi.Row) (beat, error) {
	var b beat
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return beat{}, errors.CombineErrors(ErrMalformedRow, err)
	}
	return b, nil
}

// reliance is what this host's beats said of the members that it relies on.
type reliance struct {
	// beatRow is the version of the own beat row. Each beat checks it, so that a
	// seal ends all beats that are on their way.
	beatRow storeapi.RowVersion
	beats   uint64
	// confirmed is what the last confirmed beat named.
	confirmed []model.EntryID
	// unconfirmed is what beats named that were sent since, and last the latest
	// of them. namedNobody is set when one of them named nobody.
	unconfirmed []model.EntryID
	last        []model.EntryID
	namedNobody bool
}

// send notes that a beat is sent, which may take effect from now on.
func (r *reliance) send(members []model.EntryID) beat {
	r.beats++
	r.last = members
	r.unconfirmed = union(r.unconfirmed, members)
	r.namedNobody = r.namedNobody || len(members) == 0
	return beat{Number: r.beats, RelyOn: members}
}

// confirm takes in that the last beat took effect. Those before it never will,
// since they checked an earlier version of the row.
func (r *reliance) confirm(version storeapi.RowVersion) {
	r.beatRow = version
	r.confirmed, r.unconfirmed, r.namedNobody = r.last, nil, false
}

func union(a, b []model.EntryID) []model.EntryID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// isListed reports whether this host is a member that has read the roster since
// it joined.
func (r *Roster) isListed() bool {
	return r.view.Member && !r.stopping && !r.listedSince.Before(r.joinedAt)
}

// viewReliance brings the view up to date with the beats. A host whose settings
// name no other entry host may rely on itself alone.
func (r *Roster) viewReliance() {
	r.view.Listed = r.isListed()
	named := len(r.reliance.confirmed) > 0 && !r.reliance.namedNobody
	r.view.MayRely = r.view.Listed && (named || !r.self.HasPeers)
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

// toRelyOn returns the members that the next beat names. A host that is not
// established relies on nobody, so that its end never keeps others waiting.
func (r *Roster) toRelyOn() []model.EntryID {
	if !r.view.Established {
		return nil
	}
	return r.otherIDs()
}

// beatIsDue reports whether the beat row is to be written: at its interval, at
// once when the host may name members for the first time, and soon after those
// members changed.
func (r *Roster) beatIsDue(now time.Time) bool {
	if !now.Before(r.nextBeat) {
		return true
	}
	if !r.isListed() || slices.Equal(r.toRelyOn(), r.reliance.last) {
		return false
	}
	isFirst := len(r.reliance.confirmed) == 0
	return isFirst || now.Sub(r.commit.sentAt) >= r.limits.ReadInterval
}

func (r *Roster) beat(now time.Time) []RosterAction {
	r.nextBeat = now.Add(r.limits.HeartbeatInterval)
	key := rosterBeatPrefix + string(r.self.ID)
	return r.send(now, commitBeat, storeapi.Transaction{
		Checks: []storeapi.Check{r.view.Check, {Key: key, Version: r.reliance.beatRow}},
		Puts:   []storeapi.Put{{Key: key, Value: encodeBeat(r.reliance.send(r.toRelyOn()))}},
	})
}

// noticeSeal takes in the version of the own beat row. It is another one than
// known after a seal, or after a beat whose answer was lost: then the next beat
// is due at once, under the new version.
func (r *Roster) noticeSeal(now time.Time) {
	own := r.members[r.self.ID]
	if own == nil || !r.view.Member || own.row != r.view.Check.Version || r.commitCall != 0 || r.listStarted.Before(r.commitEnded) {
		return
	}
	if own.beat.Version == r.reliance.beatRow {
		return
	}
	r.reliance.beatRow = own.beat.Version
	r.nextBeat = now
}
