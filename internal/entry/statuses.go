package entry

import (
	"reflect"
	"time"

	"dragonflyyard/internal/wire"
)

// StatusInterval is the longest time between two statuses to an entry host
// that asks for none. Links lose nothing, and a changed status is sent at once,
// so this only bounds how long two hosts can misjudge each other's state.
const StatusInterval = 5 * time.Second

// statusAskAge is how old the last read of the head rows may be while this host
// asks the others for no status. A permit rests on their statuses once the read
// is older than half its validity (1.25 s); the next heartbeat (500 ms) and its
// answer come before that.
const statusAskAge = 500 * time.Millisecond

// statusAskBefore is how long before the end of its lease an owner asks the
// others for their statuses: extendBefore and two heartbeats.
const statusAskBefore = extendBefore + time.Second

// restsOnStatus reports whether this host may soon rest a permit, its
// membership or its ownership on the statuses of the other entry hosts.
func (s *State) restsOnStatus(now time.Time) bool {
	view := s.config.View()
	if !view.Ready || !s.roster.View().Established || now.Sub(view.CurrentSince) > statusAskAge {
		return true
	}
	return s.ownEpoch != 0 && !now.Before(s.lastOwner().ValidUntil.Add(-statusAskBefore))
}

// sentStatus is the last status that was sent to an entry host.
type sentStatus struct {
	status wire.StoreStatus
	at     time.Time
}

// statusBook holds the last status sent on each connection to an entry host, by
// the peer's process name.
type statusBook map[string]sentStatus

// isDue reports whether a status is to be sent in answer to a heartbeat, and
// then counts it as sent. One that the peer did not ask for is due when it
// differs from the last one, and after StatusInterval.
func (b statusBook) isDue(now time.Time, peer string, status wire.StoreStatus, unasked bool) bool {
	last, sent := b[peer]
	if unasked && sent && now.Sub(last.at) < StatusInterval && sameState(last.status, status) {
		return false
	}
	b[peer] = sentStatus{status, now}
	return true
}

// forget drops what was sent on a connection that was lost.
func (b statusBook) forget(peer string) { delete(b, peer) }

// sameState reports whether two statuses differ in nothing but the heartbeat
// that they answer.
func sameState(a, b wire.StoreStatus) bool {
	a.Seq, b.Seq = 0, 0
	return reflect.DeepEqual(a, b)
}
