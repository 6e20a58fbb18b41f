package faultmatrix

import (
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// Sizes and times of a run of the writers of configuration.
const (
	configHosts  = 3
	configWarmUp = 2 * time.Second
	configStorm  = 20 * time.Second
	// configInForce is the promised time until a change is in force everywhere.
	configInForce = 7 * time.Second
	// configSeeds bounds the seeds that are tried until a run takes its step.
	configSeeds = 60
	configPause = 3 * time.Second
	// configFaultLength is longer than any fault with what follows from it.
	configFaultLength = 6 * time.Second
	// memberRow is checked by each write of configuration of a host.
	memberRow = "roster/member/"
)

func init() {
	registerEach("configchange", []Promise{PromiseConfiguration, PromiseStore}, allSteps("configchange"), configFaults(), runConfigCell)
	registerImpossibleRows("configchange", PromiseConfiguration, "no agent takes part in a step of this chart", AgentKilled)
	registerImpossibleRows("configchange", PromiseConfiguration, "any entry host writes changes; no step is taken under the owner's lease",
		LeaseLapsed, OwnerKilled, OwnerDeposed)
}

// configFaults are the faults of the configuration change's rows.
func configFaults() []Fault {
	return []Fault{
		HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered,
		MessageLost, TableDown, TableSlow, TableAnswerLost, ObjectStoreDown, EntryKilled, OperatorsRacing, SecondFault,
	}
}

// submit hands a change to a host.
func (w *configWorld) submit(h *configHost, change model.ConfigChange) {
	w.lastToken++
	w.tokens[w.lastToken] = &submitted{change: change, host: h, at: w.now}
	h.step(configstore.Submit{Token: w.lastToken, Change: change})
}

// newChange returns an operator's change of a random object, mostly under the
// version that the host shows.
func (w *configWorld) newChange(h *configHost) model.ConfigChange {
	w.lastID++
	change := model.ConfigChange{ID: model.ChangeID(fmt.Sprintf("c%d", w.lastID))}
	document := h.core.Document()
	switch w.random.IntN(6) {
	case 0:
		change.Object, change.Account = "account/a", &model.ClientAccount{ID: "a", Weight: 1 + w.random.IntN(9), MaxQueued: 1}
	case 1:
		change.Object, change.Weights = "weights", &model.PolicyWeights{CompletionTime: 2}
	default:
		change.Object, change.Zone = "zone/z", model.ZoneOut
		if document.Zones["z"] == model.ZoneOut {
			change.Zone = model.ZoneIn
		}
	}
	change.ExpectedVersion = document.ObjectVersions[change.Object]
	if w.random.IntN(8) == 0 {
		change.ExpectedVersion++
	}
	return change
}

// tick steps all hosts and lets operators work.
func (w *configWorld) tick() {
	for _, h := range w.hosts {
		h.step(configstore.Tick{})
	}
}

// operate lets an operator make a change, resend one or race another.
func (w *configWorld) operate() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	if h.dead {
		return
	}
	switch w.random.IntN(12) {
	case 0:
		w.race(h)
	case 1, 2:
		w.resend(h)
	case 3:
		w.reuse(h)
	case 4:
		// The host leaves the roster unseen; it is admitted again later.
		_, _ = w.store.Commit(atOnce(), storeapi.Transaction{Puts: []storeapi.Put{{Key: h.memberKey()}}})
		h.loseIDRead = w.random.IntN(2) == 0
		w.submit(h, w.newChange(h))
		life := h.life
		w.after(2*time.Second, func() {
			if h.life == life && !h.dead {
				h.admit()
			}
		})
	default:
		w.submit(h, w.newChange(h))
	}
}

// race lets two operators change the same object through two hosts.
func (w *configWorld) race(h *configHost) {
	other := w.hosts[(h.index+1)%len(w.hosts)]
	first, second := w.newChange(h), w.newChange(h)
	second.Object, second.Zone, second.Account, second.Weights = first.Object, first.Zone, first.Account, first.Weights
	second.ExpectedVersion = first.ExpectedVersion
	w.submit(h, first)
	if !other.dead {
		w.submit(other, second)
	}
}

// resend sends an earlier change again, under its ID, as operators do who were
// told that it is in doubt.
func (w *configWorld) resend(h *configHost) {
	if w.lastToken == 0 {
		return
	}
	w.submit(h, w.tokens[1+w.random.Uint64N(w.lastToken)].change)
}

// reuse sends another change under an ID that was used before, also through a
// host that does not remember it.
func (w *configWorld) reuse(h *configHost) {
	if w.lastToken == 0 {
		return
	}
	change := w.newChange(h)
	change.ID = w.tokens[1+w.random.Uint64N(w.lastToken)].change.ID
	w.submit(h, change)
}

// disturb does one random thing of those that lead through all transitions.
func (w *configWorld) disturb() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	length := w.between(100*time.Millisecond, 4*time.Second)
	switch w.random.IntN(10) {
	case 0:
		w.storeDown = w.now.Add(length)
	case 1, 2:
		w.answersLost = w.now.Add(length)
	case 3:
		h.path.silentUntil = w.now.Add(length)
	case 4:
		h.pausedUntil = w.now.Add(length)
	case 5:
		h.begin()
		w.submit(h, w.newChange(h))
		// IDs are reused before the host has read the earlier changes: its first
		// calls read the head rows, a snapshot and what follows.
		h.path.loseAt = 3 + w.random.IntN(2)
		for range 3 {
			w.after(w.between(100*time.Millisecond, time.Second), func() { w.reuse(h) })
		}
	case 6:
		h.path.silentUntil = w.now.Add(configPause)
		w.after(w.between(100*time.Millisecond, 900*time.Millisecond), func() { w.submit(h, w.newChange(h)) })
	case 8:
		h.path.lateUntil = w.now.Add(length)
	case 9:
		h.path.behindRead = func() { w.race(h) }
	case 7:
		w.answersLost = w.now.Add(length / 2)
		w.after(length/2, func() { w.storeDown = w.now.Add(length / 2) })
	}
}

// put applies a fault to the host that took the step.
func (w *configWorld) put(h *configHost, f Fault) {
	w.notef("fault %s at host %d", f, h.index)
	if w.putOnStore(f) || h.path.put(f) {
		return
	}
	life := h.life
	comeBack := func() {
		if h.life == life {
			h.begin()
		}
	}
	switch f {
	case HostKilled:
		h.dead = true
	case EntryKilled:
		h.dead = true
		w.after(configPause, comeBack)
	case ProcessFrozen:
		h.pausedUntil = w.now.Add(configPause)
	case ObjectStoreDown:
		w.objectsDown = true
	case OperatorsRacing:
		w.race(h)
		w.race(w.hosts[(h.index+1)%len(w.hosts)])
	case SecondFault:
		w.answersLost = w.now.Add(2 * time.Second)
		w.after(300*time.Millisecond, func() { h.pausedUntil = w.now.Add(configPause) })
		w.after(time.Second, func() { w.storeDown = w.now.Add(time.Second) })
	}
}

func (w *configWorld) heal() {
	w.healStore()
	w.objectsDown = false
	for _, h := range w.hosts {
		if h.dead {
			h.begin()
		}
		h.pausedUntil = time.Time{}
		h.path.heal()
		h.admit()
	}
}

// checkEnd wants the calls within the budget of the table service, every host
// at the table's version with the same document, every submission of a living host answered, and no refused change made.
func (w *configWorld) checkEnd() {
	if w.isOverBudget() {
		w.fail("%d reads and %d writes of the table service in a second", w.reads.peak, w.writes.peak)
	}
	first := w.hosts[0].core.Document()
	for _, h := range w.hosts {
		if !reflect.DeepEqual(h.core.Document(), first) {
			w.fail("host %d has version %d, host 0 has %d", h.index, h.core.Document().Version, first.Version)
		}
	}
	made := map[model.ChangeID]model.ConfigVersion{}
	for version := model.ConfigVersion(1); version <= first.Version; version++ {
		change := w.row(version)
		if change.ID != "" && made[change.ID] != 0 {
			w.fail("change %s made versions %d and %d", change.ID, made[change.ID], version)
		}
		made[change.ID] = version
	}
	if next := w.row(first.Version + 1); next.ID != "" {
		w.fail("version %d of the table is in force nowhere", first.Version+1)
	}
	w.checkSubmissions(made)
}

func (w *configWorld) checkSubmissions(made map[model.ChangeID]model.ConfigVersion) {
	accepted, open := map[model.ChangeID]bool{}, map[model.ChangeID]bool{}
	for _, s := range w.tokens {
		accepted[s.change.ID] = accepted[s.change.ID] || s.verdict == configstore.VerdictAccepted
		open[s.change.ID] = open[s.change.ID] || s.answers == 0 || s.verdict == configstore.VerdictInDoubt
	}
	for token := uint64(1); token <= w.lastToken; token++ {
		s := w.tokens[token]
		id := s.change.ID
		if made[id] != 0 && !accepted[id] && !open[id] {
			w.fail("change %s made version %d, and every submission was answered %s", id, made[id], s.verdict)
		}
	}
}

// storm runs a world until the faults at its step have played out, or to its end.
func (w *configWorld) storm(isHit func() bool) {
	w.run(configWarmUp, w.tick)
	end := w.now.Add(configStorm)
	for w.now.Before(end) && !isHit() {
		w.run(worldTick, func() {
			if w.random.IntN(16) == 0 {
				w.disturb()
			}
			w.work()
		})
	}
	if isHit() {
		w.run(configFaultLength, w.work)
	}
}

// work lets operators work while all hosts run.
func (w *configWorld) work() {
	if w.random.IntN(6) == 0 {
		w.operate()
	}
	w.tick()
}

// chartStep is a step of one of the charts that configuration cores run through.
type chartStep struct {
	chart string
	step  step
}

// configHits finds the seeds of all steps.
var configHits = sync.OnceValue(func() hits[chartStep] {
	found := hits[chartStep]{}
	for seed := uint64(1); seed <= configSeeds; seed++ {
		w := newConfigWorld(nil, seed)
		w.trace = func(_ *configHost, chart string, taken step) {
			found.add(chartStep{chart, taken}, seed, w.now.Sub(w.start))
		}
		w.storm(func() bool { return false })
	}
	return found
})

// runConfigCell storms until the step is taken, puts the fault there, lets the
// faults play out, heals, and checks the changes after the promised time.
func runConfigCell(t *testing.T, s step, f Fault) {
	first, found := configHits()[chartStep{"configchange", s}]
	if !found {
		t.Fatalf("no run of %d seeds takes %s on %s", configSeeds, s.from, s.event)
	}
	seed := first.seed
	w := newConfigWorld(t, seed)
	hit := false
	w.trace = func(h *configHost, chart string, taken step) {
		if !hit && chart == "configchange" && taken == s {
			hit = true
			w.after(0, func() { w.put(h, f) })
		}
	}
	w.storm(func() bool { return hit })
	if !hit {
		t.Fatalf("seed %d does not take %s on %s again", seed, s.from, s.event)
	}
	w.heal()
	w.run(configInForce, w.tick)
	w.checkEnd()
}
