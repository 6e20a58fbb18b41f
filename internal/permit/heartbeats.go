package permit

import (
	"slices"
	"time"
)

// maxUnanswered bounds the unanswered heartbeats kept per connection.
const maxUnanswered = 16

// sentHeartbeat is a heartbeat whose answer may still arrive.
type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// sentHeartbeats holds the latest heartbeats sent on one connection, oldest first.
type sentHeartbeats []sentHeartbeat

// add appends a heartbeat and drops the oldest ones beyond maxUnanswered.
func (s sentHeartbeats) add(sentAt time.Time, seq uint64) sentHeartbeats {
	s = append(s, sentHeartbeat{seq: seq, at: sentAt})
	if len(s) > maxUnanswered {
		s = s[len(s)-maxUnanswered:]
	}
	return s
}

// index returns the index of the heartbeat with the given sequence number, or -1.
func (s sentHeartbeats) index(seq uint64) int {
	return slices.IndexFunc(s, func(sent sentHeartbeat) bool { return sent.seq == seq })
}
