package storerelay

import "time"

// Bounds of the timeout of one transaction attempt. Load pattern: a store that
// loses a third of its responses for seconds, where attempts must time out early
// so that they are retried soon; and a store that responds sixty times slower than
// usual, which retries must not overload.
const (
	// minAttemptTimeout exceeds the latency of an 8 ms transaction on a store that
	// is sixty times slower than usual, so that the first transactions of a slowdown
	// are not retried.
	minAttemptTimeout = 600 * time.Millisecond
	// maxAttemptTimeout is the timeout of a transaction in package platform.
	maxAttemptTimeout = writeTimeout
	// timeoutPerLatency is the ratio of the timeout to the smoothed latency.
	timeoutPerLatency = 4
	// maxUnansweredAttempts is the number of consecutive attempts without a
	// response at which direct calls count as failing.
	maxUnansweredAttempts = 3
)

// attemptTimeout derives the timeout of the next attempt from the latency of
// earlier ones.
type attemptTimeout struct {
	// smoothedLatency is the smoothed latency of calls with a response.
	smoothedLatency time.Duration
	// unansweredAttempts counts the consecutive attempts without a response, up to
	// maxUnansweredAttempts.
	unansweredAttempts int
}

// next returns the timeout of the next attempt. It doubles with each consecutive
// attempt without a response. usualRead is the smoothed latency of reads, which
// show a slowdown of the store before transactions do.
func (p *attemptTimeout) next(usualRead time.Duration) time.Duration {
	usual := max(p.smoothedLatency, usualRead)
	return min(max(minAttemptTimeout, timeoutPerLatency*usual)<<p.unansweredAttempts, maxAttemptTimeout)
}

// recordLatency records the latency of a call with a response.
func (p *attemptTimeout) recordLatency(latency time.Duration) {
	p.unansweredAttempts = 0
	if p.smoothedLatency == 0 {
		p.smoothedLatency = latency
		return
	}
	p.smoothedLatency = (p.smoothedLatency + latency) / 2
}

// recordUnanswered records an attempt without a response. It returns true once
// there were too many in a row to be explained by lost responses.
func (p *attemptTimeout) recordUnanswered() bool {
	p.unansweredAttempts = min(p.unansweredAttempts+1, maxUnansweredAttempts)
	return p.unansweredAttempts == maxUnansweredAttempts
}
