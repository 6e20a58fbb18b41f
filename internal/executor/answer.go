package executor

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// answer is a complete answer, kept so that it can be sent again to entry hosts
// that repeat a dispatch or lookup.
type answer struct {
	id      model.RequestID
	status  int
	failed  bool
	body    []byte
	expires time.Time
}

// answerStore keeps answers for at most ttl and up to maxBytes in total. It
// evicts the oldest answers first.
type answerStore struct {
	maxBytes int
	ttl      time.Duration
	bytes    int
	byID     map[model.RequestID]*answer
	// queue holds the kept answers, and dropped ones until compactQueue removes
	// them, oldest first.
	queue []*answer
}

// minQueueCompacted is the minimum queue length at which compactQueue removes
// dropped answers before they expire.
const minQueueCompacted = 64

// answerOverhead is the size in bytes charged for an answer in addition to its body.
const answerOverhead = 256

func (s *answerStore) put(now time.Time, a *answer) {
	if s.byID == nil {
		s.byID = map[model.RequestID]*answer{}
	}
	a.expires = now.Add(s.ttl)
	s.byID[a.id] = a
	s.queue = append(s.queue, a)
	s.bytes += len(a.body) + answerOverhead
	for s.bytes > s.maxBytes && len(s.queue) > 1 {
		s.removeOldest()
	}
}

func (s *answerStore) get(now time.Time, id model.RequestID) *answer {
	a := s.byID[id]
	if a == nil || !now.Before(a.expires) {
		return nil
	}
	return a
}

func (s *answerStore) drop(id model.RequestID) {
	if a := s.byID[id]; a != nil {
		s.bytes -= len(a.body) + answerOverhead
		a.body = nil
		delete(s.byID, id)
		s.compactQueue()
	}
}

// compactQueue removes the dropped answers from the queue once they are more than
// half of it, so that its length is bounded by what is kept.
func (s *answerStore) compactQueue() {
	if len(s.queue) < minQueueCompacted || len(s.queue) <= 2*len(s.byID) {
		return
	}
	isDropped := func(a *answer) bool { return s.byID[a.id] != a }
	s.queue = slices.DeleteFunc(s.queue, isDropped)
}

func (s *answerStore) expire(now time.Time) {
	for len(s.queue) > 0 && !now.Before(s.queue[0].expires) {
		s.removeOldest()
	}
}

func (s *answerStore) removeOldest() {
	a := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	if s.byID[a.id] == a {
		s.drop(a.id)
	}
}

func (s *answerStore) count() int { return len(s.byID) }

// sendAnswer sends a complete answer in numbered parts. An empty body is sent as
// one part.
func (c *Core) sendAnswer(l *link, a *answer) {
	parts := max(1, (len(a.body)+wire.MaxPartBytes-1)/wire.MaxPartBytes)
	for i := range parts {
		begin := i * wire.MaxPartBytes
		end := min(begin+wire.MaxPartBytes, len(a.body))
		c.send(l, &wire.AnswerPart{
			Request: a.id, Part: i, Parts: parts, Total: len(a.body), Status: a.status, Failed: a.failed,
			Body: a.body[begin:end],
		})
	}
}
