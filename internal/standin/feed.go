package standin

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// historyKept is how many changes the store keeps for feeds.
const historyKept = 4096

// Scan implements storeapi.Feed.
func (s *Store) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	s.count(s.reads, 1)
	if err := s.tableGate.enter(ctx); err != nil {
		return storeapi.Snapshot{}, readError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := storeapi.Snapshot{Version: s.revision}
	for key, row := range s.rows {
		if inScan(key, prefix) {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	sort.Slice(snapshot.Rows, func(i, j int) bool { return snapshot.Rows[i].Key < snapshot.Rows[j].Key })
	return snapshot, nil
}

// inScan reports whether a key is one of those that a prefix asks for.
func inScan(key, prefix string) bool {
	table, part, rest := storeapi.SplitKey(prefix)
	if part != storeapi.AllParts {
		return strings.HasPrefix(key, prefix)
	}
	keyTable, _, keyRest := storeapi.SplitKey(key)
	return keyTable == table && strings.HasPrefix(keyRest, rest)
}

func tableOf(key string) string {
	table, _, _ := storeapi.SplitKey(key)
	return table
}

// Changes implements storeapi.Feed. Versions that a test forgot, or that are
// older than the history, get ErrHistoryGone.
func (s *Store) Changes(ctx context.Context, table string, after storeapi.RowVersion, wait time.Duration) (storeapi.Changes, error) {
	s.count(s.reads, 1)
	if err := s.tableGate.enter(ctx); err != nil {
		return storeapi.Changes{}, readError(err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := s.changesNow(table, after)
		quiet, switched := s.tableGate.quietFeeds()
		if quiet && err == nil {
			changes, changed = storeapi.Changes{Version: after}, switched
		}
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return changes, readError(ctx.Err())
		}
	}
}

func (s *Store) changesNow(table string, after storeapi.RowVersion) (storeapi.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return storeapi.Changes{}, nil, errors.Wrapf(storeapi.ErrHistoryGone, "version %d", after)
	}
	changes := storeapi.Changes{Version: s.revision}
	for _, change := range s.history {
		if change.Version > after && tableOf(change.Key) == table {
			changes.Rows = append(changes.Rows, change)
		}
	}
	return changes, s.changed, nil
}

// ForgetHistory drops all changes that feeds have not read.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
}

// StoreTime implements storeapi.Clock.
func (s *Store) StoreTime() (storeapi.TimeBounds, bool) {
	now := time.Now().UnixMilli()
	return storeapi.TimeBounds{EarliestMS: now, LatestMS: now}, true
}

// record keeps a change for feeds and wakes those that wait.
func (s *Store) record(change storeapi.Change) {
	s.history = append(s.history, change)
	if len(s.history) > historyKept {
		s.forgotten = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Seed puts a row as an operator would.
func (s *Store) Seed(key string, value []byte) error {
	_, err := s.Commit(context.Background(), storeapi.Transaction{Puts: []storeapi.Put{{Key: key, Value: value}}})
	return err
}
