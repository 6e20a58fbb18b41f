package storerelay

import "time"

// How long a try of a transaction waits for its answer. Load pattern: a store
// that loses a third of its answers for seconds, whose transactions are sent
// again soon; and one that answers sixty times as slowly, which is not to be
// crowded by second tries.
const (
	// shortestTry is above a transaction of 8 ms on a store that is sixty times
	// slower than usual, so that the first ones of a slow spell are not repeated.
	shortestTry = 600 * time.Millisecond
	// longestTry is the bound of a transaction in package platform.
	longestTry = writeWithin
	// slowerBy is how many times the usual latency an answer may take.
	slowerBy = 4
	// maxDoubts is how many transactions in a row may stay without an answer
	// before the way to the store counts as failing.
	maxDoubts = 3
)

// patience learns how soon transactions of one part are answered.
type patience struct {
	// usual is the smoothed latency of answers.
	usual time.Duration
	// doubts counts the tries without an answer since the last one with one.
	doubts int
}

// next returns how long the next try waits, twice as long after each try that
// was not answered. usualRead is the smoothed latency of reads: they tell that
// the store has turned slow before a transaction does.
func (p *patience) next(usualRead time.Duration) time.Duration {
	usual := max(p.usual, usualRead)
	return min(max(shortestTry, slowerBy*usual)<<p.doubts, longestTry)
}

// answered takes in the latency of an answer.
func (p *patience) answered(latency time.Duration) {
	p.doubts = 0
	if p.usual == 0 {
		p.usual = latency
		return
	}
	p.usual = (p.usual + latency) / 2
}

// unanswered takes in a try without an answer. It returns true once there were
// too many to be lost answers alone.
func (p *patience) unanswered() bool {
	p.doubts = min(p.doubts+1, maxDoubts)
	return p.doubts == maxDoubts
}
