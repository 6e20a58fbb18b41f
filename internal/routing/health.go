package routing

import (
	"sort"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
)

const (
	// maxConsecutiveFailures in a row eject a backend server.
	maxConsecutiveFailures = 4
	// minFailures of the last windowSize outcomes eject a backend server.
	minFailures = 10
	// slowFactor is how many times slower than the median a backend server is ejected.
	slowFactor = 3.0
	// minSlowSamples are needed before a backend server counts as slow.
	minSlowSamples = 8
	// slowSmoothing is the weight of a new sample in the running slowness.
	slowSmoothing = 0.2
	// maxEjectedShare bounds the share of backend servers that are ejected at the same time.
	maxEjectedShare = 1.0 / 3
	// baseEjection doubles with each ejection in a row, up to maxEjection.
	baseEjection = 2 * time.Second
	maxEjection  = 60 * time.Second
	// probesToReturn successes in a row end the probing state.
	probesToReturn = 3
)

// Result is how a dispatch to a backend server ended.
type Result uint8

// Results of a dispatch.
const (
	// ResultOK means an answer.
	ResultOK Result = iota + 1
	// ResultFailed means a failure of the backend server or a lost answer.
	ResultFailed
	// ResultRejected means that the agent took no new work. It says nothing
	// about the backend server's health.
	ResultRejected
)

// Observe adds the end of a dispatch: its service time and the expected one.
func (t *Table) Observe(now time.Time, id model.BackendServerID, result Result, service, expected time.Duration) {
	s := t.servers[id]
	if s == nil || t.naive {
		return
	}
	wasProbe := s.is(StateProbing)
	if wasProbe {
		s.probeBusy = false
	}
	switch result {
	case ResultOK:
		s.consecutive = 0
		s.window.add(false)
		s.addSpeed(service, expected)
	case ResultFailed:
		s.consecutive++
		s.window.add(true)
	case ResultRejected:
		return
	}
	if wasProbe {
		t.afterProbe(now, s, result)
		return
	}
	if !s.is(StateAvailable) {
		return
	}
	switch {
	case s.consecutive >= maxConsecutiveFailures || s.window.failures() >= minFailures:
		t.eject(now, s, "failing")
	case t.isSlow(s):
		t.eject(now, s, "slow")
	}
}

func (s *server) addSpeed(service, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := service.Seconds() / expected.Seconds()
	s.samples++
	weight := max(slowSmoothing, 1/float64(s.samples))
	s.slowness += weight * (ratio - s.slowness)
}

func (t *Table) isSlow(s *server) bool {
	if s.samples < minSlowSamples {
		return false
	}
	return s.slowness > slowFactor*t.medianSlowness()
}

func (t *Table) medianSlowness() float64 {
	var values []float64
	for _, s := range t.order {
		if s.samples >= minSlowSamples {
			values = append(values, s.slowness)
		}
	}
	if len(values) == 0 {
		return 1
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}

// eject takes a server out of use unless too many are out already.
func (t *Table) eject(now time.Time, s *server, why string) {
	out := 0
	for _, o := range t.order {
		if o.is(StateEjected) || o.is(StateProbing) {
			out++
		}
	}
	if float64(out+1) > max(1, maxEjectedShare*float64(len(t.order))) || len(t.order) < 2 {
		return
	}
	t.fire(s, eventFailureStreak)
	t.reserve(s, "")
	s.ejectedUntil = now.Add(min(baseEjection<<min(s.ejections, 5), maxEjection))
	s.ejections++
	s.probeOK = 0
	t.note(event.BackendEjected, s, why)
}

func (t *Table) afterProbe(now time.Time, s *server, result Result) {
	if result == ResultFailed || t.isSlow(s) {
		t.fire(s, eventProbeFailed)
		s.ejectedUntil = now.Add(min(baseEjection<<min(s.ejections, 5), maxEjection))
		s.ejections++
		s.probeOK = 0
		return
	}
	s.probeOK++
	if s.probeOK < probesToReturn {
		return
	}
	t.fire(s, eventProbeSucceeded)
	s.window = outcomeWindow{}
	s.ejections = max(0, s.ejections-1)
	t.note(event.BackendReturned, s, "")
}

// refresh moves servers whose ejection is over to the probing state.
func (t *Table) refresh(now time.Time) {
	if t.ejected == 0 {
		return
	}
	for _, s := range t.order {
		if !s.is(StateEjected) || now.Before(s.ejectedUntil) {
			continue
		}
		t.fire(s, eventProbeDue)
		s.probeBusy = false
		// Earlier samples of a server that was slow must not outweigh the probes.
		s.samples, s.slowness = 0, 0
	}
}
