package permit

import (
	"slices"
	"time"
)

// maxUnanswered bounds the heartbeats on one connection that wait for an answer.
const maxUnanswered = 16

// sentHeartbeat is a heartbeat that may still be answered.
type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// sentHeartbeats are the latest heartbeats sent on one connection, oldest first.
type sentHeartbeats []sentHeartbeat

// add appends a heartbeat, and drops the oldest above maxUnanswered.
func (s sentHeartbeats) add(sentAt time.Time, seq uint64) sentHeartbeats {
	s = append(s, sentHeartbeat{seq: seq, at: sentAt})
	if len(s) > maxUnanswered {
		s = s[len(s)-maxUnanswered:]
	}
	return s
}

// index returns the index of the heartbeat with a number, or -1.
func (s sentHeartbeats) index(seq uint64) int {
	return slices.IndexFunc(s, func(sent sentHeartbeat) bool { return sent.seq == seq })
}
