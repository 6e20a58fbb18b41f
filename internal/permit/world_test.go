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

// Intervals and timeouts of the simulation.
const (
	tickEvery      = 100 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	startEvery     = 20 * time.Millisecond
	callTimeout    = 500 * time.Millisecond
	zone           = model.AvailabilityZoneName("z")
)

// runStart is the simulated time at which each run starts.
var runStart = time.Unix(1_000_000, 0)

// variant disables a single rule, to show that the simulation detects its absence.
type variant struct {
	// fullValidity measures the full validity of each permit from the heartbeat,
	// regardless of the permit's basis.
	fullValidity bool
	// noEstablishing allows each member to write configuration before it is
	// established.
	noEstablishing bool
	// lateState reports a zone as out only after its take-out was confirmed.
	lateState bool
	// reliesUnwritten makes a host rely on all members that it knows, even if its
	// roster row does not name them yet.
	reliesUnwritten bool
	// removesEarly removes silent members while they may still rely on others.
	removesEarly bool
	limits       permit.Limits
}

// world is one simulated run: its processes, the links between them, and a
// record of accepted changes and starts.
type world struct {
	clock   *simclock.Clock
	length  time.Duration
	random  *rand.Rand
	variant variant

	store       *standin.Store
	storeDown   bool
	storeFrozen bool
	loseAnswers bool
	heldCalls   []func()
	cuts        map[string]bool

	entries []*entryHost
	// joined counts the entry hosts added during the run.
	joined int
	agents []*agentHost

	// committed lists the changes of the zone's state in the order of their commits.
	committed []committedChange
	// configKnown, assignmentKnown and epochKnown hold when an entry host first
	// knew that a version was accepted or an epoch acquired.
	configKnown     map[model.ConfigVersion]time.Time
	assignmentKnown map[uint64]time.Time
	epochKnown      map[model.Epoch]time.Time
	ownerActions    int
	starts          int
	attempts        int
	violations      []string
}

type committedChange struct {
	version model.ConfigVersion
	at      time.Time
	state   model.ZoneState
}

func newWorld(seed uint64, v variant, length time.Duration) *world {
	w := &world{
		clock: simclock.New(runStart), length: length, random: rand.New(rand.NewPCG(seed, 99)), variant: v,
		cuts: map[string]bool{}, configKnown: map[model.ConfigVersion]time.Time{}, assignmentKnown: map[uint64]time.Time{},
		epochKnown: map[model.Epoch]time.Time{},
	}
	w.store = standin.NewStore(w.clock.Now)
	return w
}

// after calls run once the simulated time d has passed.
func (w *world) after(d time.Duration, run func()) { w.clock.At(d, run) }

// run advances the clock by the length of the run. Events due exactly at its end
// are not executed.
func (w *world) run() { w.clock.Run(w.length - 1) }

// between returns a random duration in [low, high].
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// delay returns a random message delay: usually a few milliseconds, sometimes
// seconds.
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

// send delivers a message unless the link is cut when it is sent or when it arrives.
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

// call makes an entry host's call to the table service. The host receives
// exactly one result: the one that exec returned, through the function that exec
// returned, or an error through answer. A frozen service executes the call when
// it is unfrozen, even if the host's call has timed out by then.
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
			w.heldCalls = append(w.heldCalls, perform)
			return
		}
		perform()
	})
}

func (w *world) unfreezeStore() {
	w.storeFrozen = false
	heldCalls := w.heldCalls
	w.heldCalls = nil
	for _, perform := range heldCalls {
		perform()
	}
}

// recordCommit records when a change of the zone's state was committed to the
// table service.
func (w *world) recordCommit(tx storeapi.Transaction, versions []storeapi.RowVersion) {
	for i, put := range tx.Puts {
		change, err := configstore.DecodeChange(storeapi.Row{Key: put.Key, Value: put.Value, Version: versions[i]})
		if err == nil && change.Zone != "" {
			w.committed = append(w.committed, committedChange{version: change.Version, at: w.clock.Now(), state: change.Zone})
		}
	}
}

func (w *world) recordPublish(action configstore.Action) {
	switch a := action.(type) {
	case configstore.Publish:
		for version := a.From + 1; version <= a.To; version++ {
			if _, seen := w.configKnown[version]; !seen {
				w.configKnown[version] = w.clock.Now()
			}
		}
	case configstore.PublishAssignment:
		if _, seen := w.assignmentKnown[a.Assignment.Version]; !seen {
			w.assignmentKnown[a.Assignment.Version] = w.clock.Now()
		}
	}
}

// checkTaskStart records a violation when the zone has been known to be out for
// longer than a permit's validity and no later state has taken effect.
func (w *world) checkTaskStart(a *agentHost) {
	w.starts++
	var out *committedChange
	for i := range w.committed {
		switch {
		case w.committed[i].state == model.ZoneIn:
			out = nil
		case out == nil:
			out = &w.committed[i]
		}
	}
	if out == nil {
		return
	}
	known, seen := w.configKnown[out.version]
	if late := w.clock.Now().Sub(known); seen && late > permit.DefaultLimits().Validity {
		w.violations = append(w.violations, fmt.Sprintf("%v: task started on %s %v after version %d was accepted",
			w.clock.Now().Sub(runStart), a.id, late, out.version))
	}
}

func (w *world) checkRequestStart(a *agentHost, assignment uint64) {
	known, seen := w.assignmentKnown[assignment+1]
	if late := w.clock.Now().Sub(known); seen && late > permit.DefaultLimits().Validity {
		w.violations = append(w.violations, fmt.Sprintf("%v: request started on %s %v after assignment %d was accepted",
			w.clock.Now().Sub(runStart), a.id, late, assignment+1))
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
