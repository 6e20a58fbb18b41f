package permit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/simclock"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// Times of the seeded test.
const (
	tickEvery      = 100 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	startEvery     = 20 * time.Millisecond
	callTimeout    = 500 * time.Millisecond
	zone           = model.AvailabilityZoneName("z")
)

// began is the instant at which each run begins.
var began = time.Unix(1_000_000, 0)

// variant switches one rule off, to show that the test finds what it guards.
type variant struct {
	// fullValidity gives each permit its whole validity from the heartbeat on.
	fullValidity bool
	// noEstablishing lets each member write configuration at once.
	noEstablishing bool
	// lateState lets a take-out count as out only after its write was confirmed.
	lateState bool
	// reliesUnwritten lets a host rely on the members that it knows, whatever its
	// row in the roster says.
	reliesUnwritten bool
	// removesEarly removes silent members while they may still rely on others.
	removesEarly bool
	limits       permit.Limits
}

// world holds the processes of one run, the links between them and the record
// of what was accepted and started.
type world struct {
	clock   *simclock.Clock
	length  time.Duration
	random  *rand.Rand
	variant variant

	store       *standin.Store
	storeDown   bool
	storeFrozen bool
	loseAnswers bool
	held        []func()
	cuts        map[string]bool

	entries []*entryHost
	// joined counts the entry hosts that joined later.
	joined int
	agents []*agentHost

	// landed holds the zone's state by the version that set it, in order.
	landed []landedChange
	// known is when an entry host first knew a version to be accepted.
	known           map[model.ConfigVersion]time.Time
	assignmentKnown map[uint64]time.Time
	epochKnown      map[model.Epoch]time.Time
	acts            int
	starts          int
	tries           int
	violations      []string
}

type landedChange struct {
	version model.ConfigVersion
	at      time.Time
	state   model.ZoneState
}

func newWorld(seed uint64, v variant, length time.Duration) *world {
	w := &world{
		clock: simclock.New(began), length: length, random: rand.New(rand.NewPCG(seed, 99)), variant: v,
		cuts: map[string]bool{}, known: map[model.ConfigVersion]time.Time{}, assignmentKnown: map[uint64]time.Time{},
		epochKnown: map[model.Epoch]time.Time{},
	}
	w.store = standin.NewStore(w.clock.Now)
	return w
}

// after runs a function after a time.
func (w *world) after(d time.Duration, run func()) { w.clock.At(d, run) }

// run lets the length of the run pass. What is due at its end does not run.
func (w *world) run() { w.clock.Run(w.length - 1) }

// between draws a duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// delay draws the delay of a message: short as a rule, sometimes seconds.
func (w *world) delay() time.Duration {
	switch w.random.IntN(40) {
	case 0:
		return w.between(300*time.Millisecond, 4*time.Second)
	case 1, 2, 3:
		return w.between(30*time.Millisecond, 300*time.Millisecond)
	default:
		return w.between(time.Millisecond, 15*time.Millisecond)
	}
}

func link(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "-" + b
}

// send delivers a message unless the link is cut when it is sent or arrives.
func (w *world) send(from, to string, deliver func()) {
	if w.cuts[link(from, to)] {
		return
	}
	w.after(w.delay(), func() {
		if !w.cuts[link(from, to)] {
			deliver()
		}
	})
}

// call makes a call of an entry host to the table service. Exactly one of
// answer and lost reaches the host. A frozen service makes the call when it
// wakes, also after the host has given up.
func (w *world) call(e *entryHost, write bool, exec func() func(error), answer func(error)) {
	answered := false
	reply := func(err error) {
		e.do(func() {
			if !answered {
				answered = true
				answer(err)
			}
		})
	}
	giveUp := storeapi.ErrUnavailable
	if write {
		giveUp = storeapi.ErrInDoubt
	}
	w.after(callTimeout, func() { reply(giveUp) })
	w.send(e.name(), "store", func() {
		if w.storeDown {
			w.send("store", e.name(), func() { reply(storeapi.ErrUnavailable) })
			return
		}
		perform := func() {
			finish := exec()
			if w.loseAnswers && write {
				return
			}
			w.send("store", e.name(), func() {
				e.do(func() {
					if !answered {
						answered = true
						finish(nil)
					}
				})
			})
		}
		if w.storeFrozen {
			w.held = append(w.held, perform)
			return
		}
		perform()
	})
}

func (w *world) thaw() {
	w.storeFrozen = false
	held := w.held
	w.held = nil
	for _, perform := range held {
		perform()
	}
}

// recordCommit notes when a zone's state took effect in the table service.
func (w *world) recordCommit(tx storeapi.Transaction, versions []storeapi.RowVersion) {
	for i, put := range tx.Puts {
		change, err := configstore.DecodeChange(storeapi.Row{Key: put.Key, Value: put.Value, Version: versions[i]})
		if err == nil && change.Zone != "" {
			w.landed = append(w.landed, landedChange{version: change.Version, at: w.clock.Now(), state: change.Zone})
		}
	}
}

func (w *world) recordPublish(action configstore.Action) {
	switch a := action.(type) {
	case configstore.Publish:
		for version := a.From + 1; version <= a.To; version++ {
			if _, seen := w.known[version]; !seen {
				w.known[version] = w.clock.Now()
			}
		}
	case configstore.PublishAssignment:
		if _, seen := w.assignmentKnown[a.Assignment.Version]; !seen {
			w.assignmentKnown[a.Assignment.Version] = w.clock.Now()
		}
	}
}

// checkTaskStart fails the run when the zone was known to be out for longer
// than the promised time, and no later state has taken effect.
func (w *world) checkTaskStart(a *agentHost) {
	w.starts++
	var out *landedChange
	for i := range w.landed {
		switch {
		case w.landed[i].state == model.ZoneIn:
			out = nil
		case out == nil:
			out = &w.landed[i]
		}
	}
	if out == nil {
		return
	}
	known, seen := w.known[out.version]
	if late := w.clock.Now().Sub(known); seen && late > permit.DefaultLimits().Validity {
		w.violations = append(w.violations, fmt.Sprintf("%v: task started on %s %v after version %d was accepted",
			w.clock.Now().Sub(began), a.id, late, out.version))
	}
}

func (w *world) checkRequestStart(a *agentHost, assignment uint64) {
	known, seen := w.assignmentKnown[assignment+1]
	if late := w.clock.Now().Sub(known); seen && late > permit.DefaultLimits().Validity {
		w.violations = append(w.violations, fmt.Sprintf("%v: request started on %s %v after assignment %d was accepted",
			w.clock.Now().Sub(began), a.id, late, assignment+1))
	}
}

func testRosterLimits(v variant) membership.RosterLimits {
	limits := membership.RosterLimits{
		ReadInterval: 500 * time.Millisecond, HeartbeatInterval: 2 * time.Second, RemoveAfter: 25 * time.Second, SealAfter: 3 * time.Second,
	}
	if v.removesEarly {
		limits.RemoveAfter = 3 * time.Second
	}
	return limits
}

func testLimits() permit.Limits {
	limits := permit.DefaultLimits()
	limits.OutageLimit = 20 * time.Second
	return limits
}
