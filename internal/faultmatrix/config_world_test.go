package faultmatrix

import (
	"fmt"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// configHost is one entry host with its configuration core.
type configHost struct {
	w           *configWorld
	index       int
	life        int
	core        *configstore.Core
	path        *callPath
	dead        bool
	pausedUntil time.Time
	// highest is the highest version that this life acted upon.
	highest model.ConfigVersion
	// loseIDRead loses the read that tells why the next write failed.
	loseIDRead bool
	// written is the change of the last commit; lostRace is set while that commit
	// is known to have failed because another change was made first.
	written  model.ChangeID
	lostRace bool
	// stepped is called after each step, before its actions are done; begun at
	// the start of each life. Both may be nil.
	stepped, begun func()
}

// submitted is one submission of a change by an operator.
type submitted struct {
	change  model.ConfigChange
	host    *configHost
	answers int
	verdict configstore.Verdict
	version model.ConfigVersion
	at      time.Time
}

// configWorld runs hosts that write configuration and the operators' changes.
type configWorld struct {
	*world
	t           reporter
	hosts       []*configHost
	tokens      map[uint64]*submitted
	lastToken   uint64
	lastID      int
	objectsDown bool
	trace       func(h *configHost, chart string, s step)
	// told is called when a host passes accepted changes on; it may be nil.
	told func(h *configHost)
	// reaches says whether two hosts hear each other; nil for always.
	reaches func(from, to int) bool
}

func newConfigWorld(t reporter, seed uint64) *configWorld {
	w := &configWorld{world: newWorld(seed), t: t, tokens: map[uint64]*submitted{}}
	for i := range configHosts {
		h := &configHost{w: w, index: i}
		h.begin()
		w.hosts = append(w.hosts, h)
	}
	return w
}

// configLimits stores snapshots often, so that hosts which join start from one,
// and has small pages, so that they lack the history before it for a while.
func configLimits() configstore.Limits {
	limits := configstore.DefaultLimits()
	limits.SnapshotEvery, limits.Retention, limits.PageRows = 2, 200, 4
	return limits
}

// taken learns of each transition of a host's core.
func (w *configWorld) taken(h *configHost, chart string, s step) {
	if h.loseIDRead && s == (step{"writing", "check_failed"}) {
		// The next call reads the head rows, the one after it the change ID.
		h.loseIDRead, h.path.loseAt = false, 2
	}
	if s.event == "judged_anew" {
		h.lostRace = false
	}
	if w.trace != nil {
		w.trace(h, chart, s)
	}
}

// headMoved reports whether a transaction's check of the head row fails.
func (w *configWorld) headMoved(tx storeapi.Transaction) bool {
	row, err := w.store.Get(atOnce(), tx.Checks[0].Key)
	return err == nil && row.Version != tx.Checks[0].Version
}

// writtenChange returns the ID of the change that a transaction makes.
func writtenChange(tx storeapi.Transaction) model.ChangeID {
	row := storeapi.Row{Key: tx.Puts[1].Key, Value: tx.Puts[1].Value}
	change, err := configstore.DecodeChange(row)
	if err != nil {
		panic(err)
	}
	return change.ID
}

func (h *configHost) memberKey() string { return fmt.Sprintf("%s%d", memberRow, h.index) }

// begin starts a new life of the host.
func (h *configHost) begin() {
	h.life++
	h.dead, h.pausedUntil, h.highest = false, time.Time{}, 0
	h.path = newCallPath(h.w.world)
	h.core = configstore.New(configLimits(), "r", nil)
	h.core.Trace(func(chart *statechart.Chart, s statechart.Transition) {
		taken := step{chart.StateName(s.From), chart.EventName(s.Event)}
		h.w.notef("host %d %s: %s -> %s on %s", h.index, chart.Name(), taken.from, chart.StateName(s.To), taken.event)
		h.w.taken(h, chart.Name(), taken)
	})
	h.admit()
}

// admit lets the host write under its member row as it is now.
func (h *configHost) admit() {
	versions, err := h.w.store.Commit(atOnce(), storeapi.Transaction{Puts: []storeapi.Put{{Key: h.memberKey()}}})
	if err != nil {
		panic(err)
	}
	h.step(configstore.WriteAccess{Allowed: true, Member: storeapi.Check{Key: h.memberKey(), Version: versions[0]}})
}

// step hands an input to the host's present life. A paused host gets it when
// it wakes.
func (h *configHost) step(in configstore.Input) {
	life := h.life
	if h.dead {
		return
	}
	if h.w.now.Before(h.pausedUntil) {
		h.w.after(h.pausedUntil.Sub(h.w.now), func() {
			if h.life == life {
				h.step(in)
			}
		})
		return
	}
	actions := h.core.Step(h.w.now, in)
	if h.stepped != nil {
		h.stepped()
	}
	for _, action := range actions {
		h.perform(action, life)
	}
	version := h.core.Document().Version
	if version < h.highest {
		h.w.fail("host %d went from version %d to %d", h.index, h.highest, version)
	}
	h.highest = version
}

func (h *configHost) perform(action configstore.Action, life int) {
	reply := func(in configstore.Input) func() {
		return func() {
			if h.life == life {
				h.step(in)
			}
		}
	}
	store := h.w.store
	switch a := action.(type) {
	case configstore.ListRows:
		h.call(false, func(result storeapi.Result) func() {
			in := configstore.RowsListed{Call: a.Call, Result: result}
			if result == storeapi.ResultOK {
				in.Rows, _ = store.List(atOnce(), a.Prefix, a.After, a.Limit)
			}
			return reply(in)
		})
	case configstore.ReadRow:
		h.call(false, func(result storeapi.Result) func() {
			in := configstore.RowRead{Call: a.Call, Result: result}
			if result == storeapi.ResultOK {
				row, err := store.Get(atOnce(), a.Key)
				in.Row, in.Result = row, storeapi.ResultOf(err)
			}
			return reply(in)
		})
	case configstore.Commit:
		h.call(true, func(result storeapi.Result) func() {
			in := configstore.Committed{Call: a.Call, Result: result}
			lostRace := false
			if result == storeapi.ResultOK {
				versions, err := store.Commit(atOnce(), a.Transaction)
				in.Versions, in.Result = versions, storeapi.ResultOf(err)
				lostRace = in.Result == storeapi.ResultConflict && h.w.headMoved(a.Transaction)
			}
			return func() {
				h.written, h.lostRace = writtenChange(a.Transaction), lostRace
				reply(in)()
			}
		})
	case configstore.ReadObject:
		h.object(func() func() {
			value, err := store.GetObject(atOnce(), a.Key)
			return reply(configstore.ObjectRead{Call: a.Call, Result: storeapi.ResultOf(err), Value: value})
		}, reply(configstore.ObjectRead{Call: a.Call, Result: storeapi.ResultUnavailable}))
	case configstore.WriteObject:
		h.object(func() func() {
			err := store.PutObject(atOnce(), a.Key, a.Value)
			return reply(configstore.ObjectWritten{Call: a.Call, Result: storeapi.ResultOf(err)})
		}, reply(configstore.ObjectWritten{Call: a.Call, Result: storeapi.ResultUnavailable}))
	case configstore.Publish:
		h.tell(a)
	case configstore.Answer:
		h.w.answered(a)
	}
}

// tell passes accepted changes on to the other hosts, as links between them do.
// Some do not arrive.
func (h *configHost) tell(p configstore.Publish) {
	if h.w.told != nil {
		h.w.told(h)
	}
	update := wire.ConfigUpdate{From: p.From, To: p.To, Changes: p.Changes}
	for _, other := range h.w.hosts {
		if other != h && h.w.random.IntN(4) > 0 && (h.w.reaches == nil || h.w.reaches(h.index, other.index)) {
			h.w.after(h.w.between(time.Millisecond, 20*time.Millisecond), func() { other.step(configstore.PeerUpdate{Update: update}) })
		}
	}
}

// call makes a call of the table service. result does it when it is given
// ResultOK, and returns what delivers its result.
func (h *configHost) call(isWrite bool, result func(storeapi.Result) func()) {
	lost := storeapi.ResultUnavailable
	if isWrite {
		lost = storeapi.ResultInDoubt
	}
	h.path.send(isWrite, func() func() { return result(storeapi.ResultOK) },
		func() { result(storeapi.ResultUnavailable)() }, func() { result(lost)() })
}

// object makes a call of the object store.
func (h *configHost) object(effect func() func(), refused func()) {
	h.path.send(false, func() func() {
		if h.w.objectsDown {
			return refused
		}
		return effect()
	}, refused, refused)
}

// answered checks that each submission is answered once and truly.
func (w *configWorld) answered(a configstore.Answer) {
	s := w.tokens[a.Token]
	s.answers++
	s.verdict, s.version = a.Verdict, a.Version
	w.notef("host %d answers change %s: %s, version %d", s.host.index, s.change.ID, a.Verdict, a.Version)
	if s.answers > 1 {
		w.fail("change %s was answered twice", s.change.ID)
	}
	expired := w.now.Sub(s.at) >= configLimits().AnswerTimeout
	if a.Verdict == configstore.VerdictUnavailable && !expired && s.host.lostRace && s.host.written == s.change.ID {
		w.fail("change %s lost a race and is answered unavailable", s.change.ID)
	}
	if a.Verdict == configstore.VerdictAccepted {
		if row := w.row(a.Version); row.ID != s.change.ID {
			w.fail("change %s is answered accepted, version %d is change %q", s.change.ID, a.Version, row.ID)
		}
	}
}

// row returns the change of a version as the table has it, while it is kept.
func (w *configWorld) row(version model.ConfigVersion) model.ConfigChange {
	row, err := w.store.Get(atOnce(), configstore.ChangeKey(version))
	if err != nil {
		return model.ConfigChange{}
	}
	change, err := configstore.DecodeChange(row)
	if err != nil {
		w.fail("version %d: %v", version, err)
	}
	return change
}

func (w *configWorld) fail(format string, args ...any) {
	if w.t == nil {
		return
	}
	w.t.Helper()
	w.t.Errorf("%s: %s\n%s", w.now.Sub(w.start), fmt.Sprintf(format, args...), w.history())
}
