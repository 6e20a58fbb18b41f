package standin

import "time"

// Rate is the load of one kind of call.
type Rate struct {
	// Total counts all calls so far.
	Total int64 `json:"total"`
	// Peak is the highest count within any one second.
	Peak int `json:"peak"`
	// Current is the count within the last second.
	Current int `json:"current"`
}

// Stats is the load that a store has seen. Writes counts each transaction of a
// batch and each object; WriteCalls counts a batch once.
type Stats struct {
	Reads      Rate `json:"reads"`
	Writes     Rate `json:"writes"`
	WriteCalls Rate `json:"write_calls"`
}

// Stats returns the load that the store has seen, calls that a fault refused
// included.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return Stats{Reads: s.reads.rate(now), Writes: s.writes.rate(now), WriteCalls: s.writeCalls.rate(now)}
}

// ResetStats forgets the load seen so far.
func (s *Store) ResetStats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.reads, *s.writes, *s.writeCalls = rateCounter{}, rateCounter{}, rateCounter{}
}

// rateCounter counts calls in a sliding window of one second.
type rateCounter struct {
	window []time.Time
	total  int64
	peak   int
}

func (c *rateCounter) add(now time.Time, n int) {
	c.prune(now)
	for range n {
		c.window = append(c.window, now)
	}
	c.total += int64(n)
	c.peak = max(c.peak, len(c.window))
}

func (c *rateCounter) prune(now time.Time) {
	first := 0
	for first < len(c.window) && now.Sub(c.window[first]) >= time.Second {
		first++
	}
	c.window = c.window[first:]
}

func (c *rateCounter) rate(now time.Time) Rate {
	c.prune(now)
	return Rate{Total: c.total, Peak: c.peak, Current: len(c.window)}
}
