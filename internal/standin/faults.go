package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Service names one of the store's two services.
type Service string

// The services of a store.
const (
	ServiceTable   Service = "table"
	ServiceObjects Service = "objects"
)

// Faults are the fault switches of one service. The zero value has no faults.
type Faults struct {
	// Down refuses each call: nothing changes.
	Down bool `json:"down"`
	// DelayMS delays each call, in milliseconds, before it takes effect.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers drops the answers of this many writes after they took
	// effect; a negative number drops all.
	LoseAnswers int `json:"lose_answers"`
	// Freeze holds each call until the switch is cleared. Held writes then
	// take effect, also when their callers have given up.
	Freeze bool `json:"freeze"`
	// Silent takes each call and never answers; writes have no effect.
	Silent bool `json:"silent"`
	// QuietFeeds lets feeds hear of no change, as while a history is being dropped.
	QuietFeeds bool `json:"quiet_feeds"`
}

var (
	errDown   = errors.New("service down")
	errGaveUp = errors.New("caller gave up")
)

// gate applies the fault switches of one service to its calls.
type gate struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the switches change.
	changed chan struct{}
	held    []heldWrite
}

// heldWrite is a write that arrived while the service was frozen.
type heldWrite struct {
	apply func()
	done  chan struct{}
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// quietFeeds reports whether feeds hear of no change, and returns what is closed
// when the switches change.
func (g *gate) quietFeeds() (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults.QuietFeeds, g.changed
}

// SetFaults replaces the fault switches of a service.
func (s *Store) SetFaults(service Service, faults Faults) {
	s.gateOf(service).set(faults)
}

func (s *Store) gateOf(service Service) *gate {
	if service == ServiceObjects {
		return s.objectGate
	}
	return s.tableGate
}

// set replaces the switches and applies held writes, in order, when the
// service is no longer frozen.
func (g *gate) set(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
	if !faults.Freeze {
		for _, held := range g.held {
			held.apply()
			close(held.done)
		}
		g.held = nil
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// enter lets a call in after the delay of the switches. It returns errDown or
// errGaveUp when the call must not take effect.
func (g *gate) enter(ctx context.Context) error {
	for {
		g.mu.Lock()
		faults, changed := g.faults, g.changed
		g.mu.Unlock()
		if faults.Down {
			return errDown
		}
		if !faults.Freeze && !faults.Silent {
			return wait(ctx, time.Duration(faults.DelayMS)*time.Millisecond)
		}
		select {
		case <-changed:
			if faults.Silent {
				return errGaveUp
			}
		case <-ctx.Done():
			return errGaveUp
		}
	}
}

// write applies a write under the switches. It returns errDown when nothing
// changed, errLost when the write took effect and its answer is to be
// dropped, and errGaveUp when the caller left first.
func (g *gate) write(ctx context.Context, apply func()) error {
	if held := g.hold(apply); held != nil {
		select {
		case <-held:
			return nil
		case <-ctx.Done():
			return errGaveUp
		}
	}
	if err := g.enter(ctx); err != nil {
		return err
	}
	apply()
	if g.takeLostAnswer() {
		return errLost
	}
	return nil
}

// hold keeps a write that arrives at a frozen service, and returns what is closed
// once it took effect. It returns nil for a write that is not to be held.
func (g *gate) hold(apply func()) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.faults.Freeze || g.faults.Down {
		return nil
	}
	done := make(chan struct{})
	g.held = append(g.held, heldWrite{apply: apply, done: done})
	return done
}

// takeLostAnswer reports whether the answer of the present call is to be lost,
// and counts it.
func (g *gate) takeLostAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.faults.LoseAnswers < 0:
		return true
	case g.faults.LoseAnswers > 0:
		g.faults.LoseAnswers--
		return true
	default:
		return false
	}
}

func wait(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errGaveUp
	}
}
