package executor

import (
	"strconv"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// TestDroppedAnswersLeaveQueue guards against unbounded growth of the queue: many
// answers are added and dropped while an older one is kept, which prevents their
// removal from the front.
func TestDroppedAnswersLeaveQueue(t *testing.T) {
	now := time.UnixMilli(1)
	s := answerStore{maxBytes: 1 << 20, ttl: time.Minute}
	s.put(now, &answer{id: "kept", body: []byte("x")})
	for i := range 10_000 {
		id := model.RequestID(strconv.Itoa(i))
		s.put(now, &answer{id: id, body: []byte("x")})
		s.drop(id)
	}
	if got := len(s.queue); got > 100 {
		t.Errorf("queue has %d entries for %d kept answers", got, s.count())
	}
	if s.get(now, "kept") == nil || s.bytes != answerOverhead+1 {
		t.Errorf("kept answer is missing or the total size is wrong: %d bytes", s.bytes)
	}
}
