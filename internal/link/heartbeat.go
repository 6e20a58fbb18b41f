package link

import (
	"sync"
	"time"

	"dragonflyyard/internal/wire"
)

// sentHeartbeats is how many sent heartbeats a tracker remembers.
const sentHeartbeats = 64

type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// heartbeatTracker numbers the heartbeats of one connection and decides
// whether the peer is silent. It reads no clock.
type heartbeatTracker struct {
	mu       sync.Mutex
	silence  time.Duration
	sent     [sentHeartbeats]sentHeartbeat
	lastSeq  uint64
	ackedSeq uint64
	peerSeq  uint64
	heardAt  time.Time
}

func newHeartbeatTracker(silence time.Duration, now time.Time) *heartbeatTracker {
	return &heartbeatTracker{silence: silence, heardAt: now}
}

// next returns the heartbeat to send at now.
func (t *heartbeatTracker) next(now time.Time) *wire.Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSeq++
	t.sent[t.lastSeq%sentHeartbeats] = sentHeartbeat{t.lastSeq, now}
	return &wire.Heartbeat{Seq: t.lastSeq, AckSeq: t.peerSeq}
}

// heard notes that any frame arrived at now.
func (t *heartbeatTracker) heard(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardAt = now
}

// received notes a heartbeat of the peer.
func (t *heartbeatTracker) received(h *wire.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerSeq = max(t.peerSeq, h.Seq)
	t.acknowledge(h.AckSeq)
}

// answered notes that the peer answered the heartbeat with number seq.
func (t *heartbeatTracker) answered(seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acknowledge(seq)
}

func (t *heartbeatTracker) acknowledge(seq uint64) {
	if seq <= t.lastSeq {
		t.ackedSeq = max(t.ackedSeq, seq)
	}
}

// check returns ErrSilent or ErrUnacknowledged once the peer is silent at now.
func (t *heartbeatTracker) check(now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.heardAt) > t.silence {
		return ErrSilent
	}
	if t.ackedSeq == t.lastSeq {
		return nil
	}
	oldest := t.sent[(t.ackedSeq+1)%sentHeartbeats]
	if oldest.seq != t.ackedSeq+1 || now.Sub(oldest.at) > t.silence {
		return ErrUnacknowledged
	}
	return nil
}

// isOverdue reports whether the peer has not been heard for longer than limit.
func (t *heartbeatTracker) isOverdue(now time.Time, limit time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.heardAt) > limit
}

// sentCount returns how many heartbeats were made.
func (t *heartbeatTracker) sentCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastSeq
}

// sentAt returns when the heartbeat with the given number was made, and false
// when it is not remembered.
func (t *heartbeatTracker) sentAt(seq uint64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.sent[seq%sentHeartbeats]
	if seq == 0 || h.seq != seq {
		return time.Time{}, false
	}
	return h.at, true
}
