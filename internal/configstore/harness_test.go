package configstore

import (
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

const tickEvery = 50 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// host drives one core against a store, with the answers done at once.
type host struct {
	t       *testing.T
	store   *standin.Store
	core    *Core
	token   uint64
	answers map[uint64]Answer
	log     []Action
	// highest is the highest version that was in force.
	highest model.ConfigVersion
	// afterCommit runs once, between a commit and its result.
	afterCommit func()
	// late draws the delay of each result; nil gives results at once.
	late *rand.Rand
	// lossy loses all results.
	lossy   bool
	waiting coretest.Delayed[lateResult]
}

// lateResult is a result on its way to the core, or a transaction on its way
// to the store.
type lateResult struct {
	in Input
	tx *storeapi.Transaction
}

func newHost(t *testing.T, store *standin.Store, limits Limits, validate Validator) *host {
	h := &host{t: t, store: store, core: New(limits, "r", validate), answers: map[uint64]Answer{}}
	h.step(start, WriteAccess{Allowed: true})
	return h
}

func newFleet(t *testing.T, count int) (*time.Time, *standin.Store, []*host) {
	now := start
	store := standin.NewStore(func() time.Time { return now })
	var hosts []*host
	for range count {
		hosts = append(hosts, newHost(t, store, DefaultLimits(), nil))
	}
	return &now, store, hosts
}

func run(now *time.Time, length time.Duration, hosts ...*host) {
	for end := now.Add(length); now.Before(end); *now = now.Add(tickEvery) {
		for _, h := range hosts {
			h.deliver(*now)
			h.step(*now, Tick{})
		}
	}
}

// deliver hands the core the results that have arrived, and the store the
// transactions that have.
func (h *host) deliver(now time.Time) {
	h.waiting.Deliver(now, func(result lateResult) {
		if result.tx != nil {
			_, _ = h.store.Commit(coretest.Cancelled(), *result.tx)
			return
		}
		h.step(now, result.in)
	})
}

// isStuck lets some transactions reach the store only long after their caller
// has given up, while later reads get through.
func (h *host) isStuck(now time.Time, tx storeapi.Transaction) bool {
	if h.late == nil || h.late.IntN(5) > 0 {
		return false
	}
	delay := time.Duration(h.late.IntN(4000)) * time.Millisecond
	h.waiting.Add(now.Add(delay), lateResult{tx: &tx})
	return true
}

func (h *host) submit(now time.Time, change model.ConfigChange) uint64 {
	h.token++
	token := h.token
	h.step(now, Submit{Token: token, Change: change})
	return token
}

func (h *host) step(now time.Time, in Input) {
	for _, action := range h.core.Step(now, in) {
		h.log = append(h.log, action)
		reply := h.perform(now, action)
		if reply != nil && h.lossy {
			continue
		}
		if reply != nil && h.late != nil {
			delay := time.Duration(h.late.IntN(400)) * time.Millisecond
			h.waiting.Add(now.Add(delay), lateResult{in: reply})
		} else if reply != nil {
			h.step(now, reply)
		}
	}
	if version := h.core.Document().Version; version < h.highest {
		h.t.Fatalf("version went from %d to %d", h.highest, version)
	} else {
		h.highest = version
	}
}

func (h *host) perform(now time.Time, action Action) Input {
	switch a := action.(type) {
	case ListRows:
		rows, err := h.store.List(coretest.Cancelled(), a.Prefix, a.After, a.Limit)
		return RowsListed{Call: a.Call, Result: storeapi.ResultOf(err), Rows: rows}
	case ReadRow:
		row, err := h.store.Get(coretest.Cancelled(), a.Key)
		return RowRead{Call: a.Call, Result: storeapi.ResultOf(err), Row: row}
	case Commit:
		if h.isStuck(now, a.Transaction) {
			return Committed{Call: a.Call, Result: storeapi.ResultInDoubt}
		}
		versions, err := h.store.Commit(coretest.Cancelled(), a.Transaction)
		if h.afterCommit != nil {
			h.afterCommit()
			h.afterCommit = nil
		}
		return Committed{Call: a.Call, Result: storeapi.ResultOf(err), Versions: versions}
	case ReadObject:
		value, err := h.store.GetObject(coretest.Cancelled(), a.Key)
		return ObjectRead{Call: a.Call, Result: storeapi.ResultOf(err), Value: value}
	case WriteObject:
		return ObjectWritten{Call: a.Call, Result: storeapi.ResultOf(h.store.PutObject(coretest.Cancelled(), a.Key, a.Value))}
	case Answer:
		if before, answered := h.answers[a.Token]; answered {
			h.t.Fatalf("token %d answered twice: %+v, %+v", a.Token, before, a)
		}
		h.answers[a.Token] = a
	}
	return nil
}

func zoneChange(id string, expected model.ConfigVersion, state model.ZoneState) model.ConfigChange {
	return model.ConfigChange{ID: model.ChangeID(id), Object: "zone/z", ExpectedVersion: expected, Zone: state}
}
