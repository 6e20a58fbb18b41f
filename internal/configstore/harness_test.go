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

const tickInterval = 50 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// host drives one core against a store. By default it performs actions and
// returns their results synchronously.
type host struct {
	t       *testing.T
	store   *standin.Store
	core    *Core
	token   uint64
	answers map[uint64]Answer
	log     []Action
	// highestVersion is the highest document version seen so far.
	highestVersion model.ConfigVersion
	// afterCommit runs once, between a commit and its result.
	afterCommit func()
	// delays generates the delay of each result; if nil, results are immediate.
	delays *rand.Rand
	// lossy drops all results.
	lossy   bool
	delayed coretest.Delayed[delayedResult]
}

// delayedResult is a result in transit to the core, or a transaction in transit
// to the store.
type delayedResult struct {
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
	for end := now.Add(length); now.Before(end); *now = now.Add(tickInterval) {
		for _, h := range hosts {
			h.deliver(*now)
			h.step(*now, Tick{})
		}
	}
}

// deliver passes the results that are due to the core, and the transactions
// that are due to the store.
func (h *host) deliver(now time.Time) {
	h.delayed.Deliver(now, func(result delayedResult) {
		if result.tx != nil {
			_, _ = h.store.Commit(coretest.Cancelled(), *result.tx)
			return
		}
		h.step(now, result.in)
	})
}

// delayTransaction delays some transactions until after their caller has timed
// out, while later reads reach the store. It reports whether it delayed this one.
func (h *host) delayTransaction(now time.Time, tx storeapi.Transaction) bool {
	if h.delays == nil || h.delays.IntN(5) > 0 {
		return false
	}
	delay := time.Duration(h.delays.IntN(4000)) * time.Millisecond
	h.delayed.Add(now.Add(delay), delayedResult{tx: &tx})
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
		if reply != nil && h.delays != nil {
			delay := time.Duration(h.delays.IntN(400)) * time.Millisecond
			h.delayed.Add(now.Add(delay), delayedResult{in: reply})
		} else if reply != nil {
			h.step(now, reply)
		}
	}
	if version := h.core.Document().Version; version < h.highestVersion {
		h.t.Fatalf("version went from %d to %d", h.highestVersion, version)
	} else {
		h.highestVersion = version
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
		if h.delayTransaction(now, a.Transaction) {
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
