// Package standin provides the small stand-ins that take the platform's place
// in tests and in the demo: a table service with transactions, an object
// store, a worker and a backend server, each with switches for its faults.
// RawServer stands for a server that breaks the protocol, Middlebox for a network
// that cuts, delays or silences connections.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// Store is an in-memory table service and object store. It implements
// storeapi.Table and storeapi.ObjectStore in process, and serves both over
// HTTP with Handle. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	now      func() time.Time
	revision storeapi.RowVersion
	rows     map[string]storeapi.Row
	objects  map[string][]byte
	// history holds changes for feeds, from after the version forgotten on;
	// changed is closed and replaced at each change.
	history   []storeapi.Change
	forgotten storeapi.RowVersion
	changed   chan struct{}
	// tableGate and objectGate apply the fault switches of the two services.
	tableGate  *gate
	objectGate *gate
	reads      *rateCounter
	writes     *rateCounter
	writeCalls *rateCounter
	// lateness returns the delay after which a transaction is applied without an answer;
	// 0 for the usual way. It is nil unless SetLateness set it.
	lateness atomic.Pointer[func(storeapi.Transaction) time.Duration]
}

// SetLateness lets the store apply some transactions late and answer none of these. The
// function returns the delay of a transaction, 0 for one that is not late. It must be
// safe for concurrent use.
func (s *Store) SetLateness(lateness func(storeapi.Transaction) time.Duration) {
	s.lateness.Store(&lateness)
}

// applyLate arranges that a transaction is applied after its lateness, and returns false
// for one that is not late.
func (s *Store) applyLate(tx storeapi.Transaction) bool {
	lateness := s.lateness.Load()
	if lateness == nil {
		return false
	}
	delay := (*lateness)(tx)
	if delay > 0 {
		time.AfterFunc(delay, func() { s.applyAll([]storeapi.Transaction{tx}) })
	}
	return delay > 0
}

// Result is the result of one transaction of a batch.
type Result struct {
	Versions []storeapi.RowVersion `json:"versions,omitempty"`
	Conflict bool                  `json:"conflict,omitempty"`
	// Present holds the checked rows as they are, of a conflict.
	Present []storeapi.Row `json:"present,omitempty"`
}

// errLost tells the HTTP front that the effect took place and that the answer
// is not to be sent.
var errLost = errors.New("answer lost")

// NewStore returns an empty store without faults.
func NewStore(now func() time.Time) *Store {
	return &Store{
		now:        now,
		rows:       map[string]storeapi.Row{},
		objects:    map[string][]byte{},
		changed:    make(chan struct{}),
		tableGate:  newGate(),
		objectGate: newGate(),
		reads:      &rateCounter{},
		writes:     &rateCounter{},
		writeCalls: &rateCounter{},
	}
}

// Get implements storeapi.Table.
func (s *Store) Get(ctx context.Context, key string) (storeapi.Row, error) {
	s.count(s.reads, 1)
	if err := s.tableGate.enter(ctx); err != nil {
		return storeapi.Row{}, readError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	if !ok {
		return storeapi.Row{}, errors.Wrapf(storeapi.ErrNotFound, "row %q", key)
	}
	return row, nil
}

// List implements storeapi.Table.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]storeapi.Row, error) {
	s.count(s.reads, 1)
	if err := s.tableGate.enter(ctx); err != nil {
		return nil, readError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeapi.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(len(rows), max(limit, 0))], nil
}

// Commit implements storeapi.Table.
func (s *Store) Commit(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	if s.applyLate(tx) {
		return nil, writeError(errLost)
	}
	results, err := s.CommitBatch(ctx, []storeapi.Transaction{tx})
	if err != nil {
		return nil, writeError(err)
	}
	if results[0].Conflict {
		return nil, &storeapi.Conflict{Rows: results[0].Present}
	}
	return results[0].Versions, nil
}

// CommitBatch applies independent transactions in order. A failed check fails
// only its own transaction. A frozen store keeps the batch and applies it when
// it wakes, also when the caller has given up.
func (s *Store) CommitBatch(ctx context.Context, batch []storeapi.Transaction) ([]Result, error) {
	s.count(s.writes, len(batch))
	s.count(s.writeCalls, 1)
	var results []Result
	err := s.tableGate.write(ctx, func() { results = s.applyAll(batch) })
	return results, err
}

// PutObject implements storeapi.ObjectStore.
func (s *Store) PutObject(ctx context.Context, key string, value []byte) error {
	s.count(s.writes, 1)
	s.count(s.writeCalls, 1)
	kept := append([]byte(nil), value...)
	err := s.objectGate.write(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.objects[key] = kept
	})
	return writeError(err)
}

// GetObject implements storeapi.ObjectStore.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	s.count(s.reads, 1)
	if err := s.objectGate.enter(ctx); err != nil {
		return nil, readError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[key]
	if !ok {
		return nil, errors.Wrapf(storeapi.ErrNotFound, "object %q", key)
	}
	return append([]byte(nil), value...), nil
}

func (s *Store) applyAll(batch []storeapi.Transaction) []Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	results := make([]Result, 0, len(batch))
	for _, tx := range batch {
		results = append(results, s.apply(tx))
	}
	return results
}

// apply runs one transaction. Its rows get one version, from one counter over
// all rows, so a row that was deleted and made again never has an old version.
func (s *Store) apply(tx storeapi.Transaction) Result {
	// A transaction over several parts is refused on the platform.
	if parts := partsOf(tx); len(parts) > 1 {
		panic(errors.AssertionFailedf("standin: a transaction over the parts %v", parts))
	}
	for _, check := range tx.Checks {
		if s.rows[check.Key].Version != check.Version {
			return Result{Conflict: true, Present: s.present(tx.Checks)}
		}
	}
	var versions []storeapi.RowVersion
	s.revision++
	for _, put := range tx.Puts {
		value := append([]byte(nil), put.Value...)
		s.rows[put.Key] = storeapi.Row{Key: put.Key, Value: value, Version: s.revision}
		s.record(storeapi.Change{Row: s.rows[put.Key]})
		versions = append(versions, s.revision)
	}
	for _, key := range tx.Deletes {
		if _, exists := s.rows[key]; !exists {
			continue
		}
		delete(s.rows, key)
		s.record(storeapi.Change{Row: storeapi.Row{Key: key, Version: s.revision}, Deleted: true})
	}
	return Result{Versions: versions}
}

// partsOf returns the parts that a transaction has rows of.
func partsOf(tx storeapi.Transaction) map[string]bool {
	parts := map[string]bool{}
	add := func(key string) {
		_, part, _ := storeapi.SplitKey(key)
		parts[part] = true
	}
	for _, check := range tx.Checks {
		add(check.Key)
	}
	for _, put := range tx.Puts {
		add(put.Key)
	}
	for _, key := range tx.Deletes {
		add(key)
	}
	return parts
}

// present returns the rows that checks name, as they are.
func (s *Store) present(checks []storeapi.Check) []storeapi.Row {
	var rows []storeapi.Row
	for _, check := range checks {
		if row, exists := s.rows[check.Key]; exists {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Store) count(counter *rateCounter, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counter.add(s.now(), n)
}

// readError returns the error of a read that did not get through.
func readError(err error) error {
	return errors.Wrapf(storeapi.ErrUnavailable, "%v", err)
}

// writeError tells a refused write, which changed nothing, from a write whose
// effect is not known to the caller.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errDown):
		return errors.Wrapf(storeapi.ErrUnavailable, "%v", err)
	default:
		return errors.Wrapf(storeapi.ErrInDoubt, "%v", err)
	}
}
