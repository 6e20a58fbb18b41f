package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"dragonflyyard/internal/standin"
)

// Times of the faults.
const (
	faultEvery = 500 * time.Millisecond
	faultFor   = 2500 * time.Millisecond
)

// fault is one kind of trouble. It returns what ends it; nil where it ends by itself.
type fault struct {
	name  string
	begin func(s *site, random *rand.Rand) (end func())
}

func anyProcess(s *site, random *rand.Rand) *process {
	return s.processes[random.IntN(len(s.processes))]
}

func storeFault(faults standin.Faults) func(*site, *rand.Rand) func() {
	return func(s *site, _ *rand.Rand) func() {
		s.store.SetFaults(standin.ServiceTable, faults)
		return func() { s.store.SetFaults(standin.ServiceTable, standin.Faults{}) }
	}
}

func signalFault(signal syscall.Signal) func(*site, *rand.Rand) func() {
	return func(s *site, random *rand.Rand) func() {
		anyProcess(s, random).signal(signal)
		return nil
	}
}

// faults are the kinds of trouble that a soak draws from. They overlap, but for
// those of the store, of which the last one holds.
var faults = []fault{
	{"kill", signalFault(syscall.SIGKILL)},
	{"terminate", signalFault(syscall.SIGTERM)},
	{"reload", signalFault(syscall.SIGHUP)},
	{"pause", func(s *site, random *rand.Rand) func() {
		p := anyProcess(s, random)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"kill all entry hosts", func(s *site, _ *rand.Rand) func() {
		for _, p := range s.processes[:len(s.callers)] {
			p.signal(syscall.SIGKILL)
		}
		return nil
	}},
	{"reset", func(s *site, random *rand.Rand) func() { anyProcess(s, random).toStore.Cut(); return nil }},
	{"silence", func(s *site, random *rand.Rand) func() {
		anyProcess(s, random).toStore.Silence(true, true)
		return nil
	}},
	{"one way", func(s *site, random *rand.Rand) func() {
		anyProcess(s, random).toStore.Silence(random.IntN(2) == 0, false)
		return nil
	}},
	{"cut off from the store", func(s *site, random *rand.Rand) func() {
		p := anyProcess(s, random)
		target := p.toStore.Target()
		if target == "" {
			return nil
		}
		p.toStore.SetTarget("")
		p.toStore.Cut()
		return func() { p.toStore.SetTarget(target) }
	}},
	{"slow way", func(s *site, random *rand.Rand) func() {
		p := anyProcess(s, random)
		p.toStore.SetDelay(time.Duration(random.IntN(400)) * time.Millisecond)
		return func() { p.toStore.SetDelay(0) }
	}},
	{"store down", storeFault(standin.Faults{Down: true})},
	{"store slow", storeFault(standin.Faults{DelayMS: 300})},
	{"store loses answers", storeFault(standin.Faults{LoseAnswers: -1})},
	{"store frozen", storeFault(standin.Faults{Freeze: true})},
	{"history lost", func(s *site, _ *rand.Rand) func() { s.store.ForgetHistory(); return nil }},
	{"worker restarts", func(s *site, random *rand.Rand) func() {
		s.workers[random.IntN(len(s.workers))].Restart()
		return nil
	}},
}

// disturb begins faults until ctx is done, then ends all of them. tell is given
// the name of each.
func disturb(ctx context.Context, s *site, kinds []fault, random *rand.Rand, tell func(string)) {
	ends := map[time.Time]func(){}
	for ctx.Err() == nil {
		time.Sleep(faultEvery/2 + time.Duration(random.Int64N(int64(faultEvery))))
		f := kinds[random.IntN(len(kinds))]
		tell(f.name)
		if end := f.begin(s, random); end != nil {
			ends[time.Now().Add(time.Duration(random.Int64N(int64(faultFor))))] = end
		}
		for at, end := range ends {
			if time.Now().After(at) {
				end()
				delete(ends, at)
			}
		}
	}
	for _, end := range ends {
		end()
	}
	s.store.SetFaults(standin.ServiceTable, standin.Faults{})
}
