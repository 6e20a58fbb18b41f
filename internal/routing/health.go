package routing

import (
	"sort"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
)

const (
	// consecutiveFailureThreshold is how many consecutive failures eject a
	// backend server.
	consecutiveFailureThreshold = 4
	// windowFailureThreshold is how many failures among the last windowSize
	// outcomes eject a backend server.
	windowFailureThreshold = 10
	// slowFactor is the multiple of the median slowdown above which a backend
	// server is ejected.
	slowFactor = 3.0
	// minSlowdownSamples is how many samples a backend server needs before it
	// can count as slow.
	minSlowdownSamples = 8
	// slowdownSmoothing is the weight of a new sample in the moving average of
	// the slowdown.
	slowdownSmoothing = 0.2
	// maxEjectedShare bounds the share of backend servers that are ejected or
	// probing at the same time.
	maxEjectedShare = 1.0 / 3
	// baseEjectionTime is the length of the first ejection. It doubles with each
	// consecutive ejection, up to maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = 60 * time.Second
	// probeSuccessThreshold is how many consecutive successful probes make a
	// backend server available again.
	probeSuccessThreshold = 3
)

// Result is the outcome of a dispatch to a backend server.
type Result uint8

// Results of a dispatch.
const (
	// ResultOK means that the backend server answered.
	ResultOK Result = iota + 1
	// ResultFailed means that the backend server failed or its answer was lost.
	ResultFailed
	// ResultRejected means that the agent refused new work. It does not count
	// for the backend server's health.
	ResultRejected
)

// Observe records the result of a dispatch, with the measured and the expected
// service time, and ejects the backend server if it keeps failing or is slow.
func (t *Table) Observe(now time.Time, id model.BackendServerID, result Result, service, expected time.Duration) {
	s := t.servers[id]
	if s == nil || t.naive {
		return
	}
	wasProbe := s.is(StateProbing)
	if wasProbe {
		s.probeInFlight = false
	}
	switch result {
	case ResultOK:
		s.consecutiveFailures = 0
		s.window.add(false)
		s.addSlowdownSample(service, expected)
	case ResultFailed:
		s.consecutiveFailures++
		s.window.add(true)
	case ResultRejected:
		return
	}
	if wasProbe {
		t.handleProbeResult(now, s, result)
		return
	}
	if !s.is(StateAvailable) {
		return
	}
	switch {
	case s.consecutiveFailures >= consecutiveFailureThreshold || s.window.failures() >= windowFailureThreshold:
		t.eject(now, s, "failing")
	case t.isSlow(s):
		t.eject(now, s, "slow")
	}
}

// addSlowdownSample updates the slowdown with one measured service time.
// Without an expected time there is no sample.
func (s *server) addSlowdownSample(service, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := service.Seconds() / expected.Seconds()
	s.slowdownSamples++
	weight := max(slowdownSmoothing, 1/float64(s.slowdownSamples))
	s.slowdown += weight * (ratio - s.slowdown)
}

// isSlow compares the server's slowdown with the median, once the server has
// minSlowdownSamples.
func (t *Table) isSlow(s *server) bool {
	if s.slowdownSamples < minSlowdownSamples {
		return false
	}
	return s.slowdown > slowFactor*t.medianSlowdown()
}

// medianSlowdown returns the lower median over the servers that have
// minSlowdownSamples, 1 if none has.
func (t *Table) medianSlowdown() float64 {
	var values []float64
	for _, s := range t.sorted {
		if s.slowdownSamples >= minSlowdownSamples {
			values = append(values, s.slowdown)
		}
	}
	if len(values) == 0 {
		return 1
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}

// eject ejects a server and drops its reservation, unless it is the only server
// or the ejected and probing ones would exceed maxEjectedShare. One server may
// be ejected whatever the share.
func (t *Table) eject(now time.Time, s *server, reason string) {
	unavailable := 0
	for _, o := range t.sorted {
		if o.is(StateEjected) || o.is(StateProbing) {
			unavailable++
		}
	}
	if float64(unavailable+1) > max(1, maxEjectedShare*float64(len(t.sorted))) || len(t.sorted) < 2 {
		return
	}
	t.fire(s, eventFailureStreak)
	t.setReservation(s, "")
	s.ejectedUntil = now.Add(min(baseEjectionTime<<min(s.ejections, 5), maxEjectionTime))
	s.ejections++
	s.probeSuccesses = 0
	t.recordEvent(event.BackendEjected, s, reason)
}

// handleProbeResult ejects a probing server again, for longer, after a failed or
// slow probe, and makes it available after probeSuccessThreshold successes.
func (t *Table) handleProbeResult(now time.Time, s *server, result Result) {
	if result == ResultFailed || t.isSlow(s) {
		t.fire(s, eventProbeFailed)
		s.ejectedUntil = now.Add(min(baseEjectionTime<<min(s.ejections, 5), maxEjectionTime))
		s.ejections++
		s.probeSuccesses = 0
		return
	}
	s.probeSuccesses++
	if s.probeSuccesses < probeSuccessThreshold {
		return
	}
	t.fire(s, eventProbeSucceeded)
	s.window = outcomeWindow{}
	s.ejections = max(0, s.ejections-1)
	t.recordEvent(event.BackendReturned, s, "")
}

// startDueProbing moves servers whose ejection time has passed to the probing
// state.
func (t *Table) startDueProbing(now time.Time) {
	if t.ejectedCount == 0 {
		return
	}
	for _, s := range t.sorted {
		if !s.is(StateEjected) || now.Before(s.ejectedUntil) {
			continue
		}
		t.fire(s, eventProbeDue)
		s.probeInFlight = false
		// The earlier samples of a slow server would outweigh those of the probes.
		s.slowdownSamples, s.slowdown = 0, 0
	}
}
