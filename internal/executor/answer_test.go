package executor

import (
	"strconv"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// TestDroppedAnswersTakeNoRoom fetches and drops many answers behind one that
// stays. The list by age must not grow with the dropped ones.
func TestDroppedAnswersTakeNoRoom(t *testing.T) {
	now := time.UnixMilli(1)
	s := answerStore{maxBytes: 1 << 20, ttl: time.Minute}
	s.put(now, &answer{id: "kept", body: []byte("x")})
	for i := range 10_000 {
		id := model.RequestID(strconv.Itoa(i))
		s.put(now, &answer{id: id, body: []byte("x")})
		s.drop(id)
	}
	if got := len(s.queue); got > 100 {
		t.Errorf("%d entries for %d answers", got, s.count())
	}
	if s.get(now, "kept") == nil || s.bytes != answerOverhead+1 {
		t.Errorf("kept answer is gone or the size is wrong: %d bytes", s.bytes)
	}
}
