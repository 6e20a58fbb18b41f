// Package tablewatch follows one table of the store: it scans the table and then
// reads its changes by long polling. The polls are short, so that a silent
// connection or a lost change history is noticed within about a second. Periodic
// rescans find changes that the feed left out.
package tablewatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/storeapi"
)

// Settings configures the polling and the backoff of a watch.
type Settings struct {
	// LongPollTimeout is how long the store holds a read of changes while there are none.
	LongPollTimeout time.Duration
	// RescanInterval is the mean interval of full scans while changes are followed.
	// Each interval is random, between half and one and a half times the value.
	RescanInterval time.Duration
	// RescanPrefix limits the periodic scans to the rows under it; empty for all rows of
	// the watch. Other rows are scanned only when the feed fails. It keeps a large row
	// that seldom changes from being read over and over.
	RescanPrefix string
	// GatherDelay is the pause after a read that returned changes, so that many
	// small changes are read together.
	GatherDelay time.Duration
	// InitialBackoff and MaxBackoff bound the backoff after a failed read. It doubles
	// with each failure and is jittered between half of its value and all of it.
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{
		LongPollTimeout: time.Second, RescanInterval: 6 * time.Second,
		InitialBackoff: 80 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
	}
}

// Handler holds the callbacks of a watch. They are all called from the goroutine
// of Run, one at a time.
type Handler struct {
	// OnScan receives all rows under the prefix, or under Settings.RescanPrefix.
	OnScan func(storeapi.Snapshot)
	// OnChanges receives changes of the whole table, also of rows outside the prefix.
	OnChanges func([]storeapi.Change)
	// OnReadError receives the error of each failed read; it may be nil.
	OnReadError func(error)
}

// Watch follows the rows under a prefix of a table. Its accessors are safe for
// concurrent use with Run.
type Watch struct {
	settings Settings
	feed     storeapi.Feed
	table    string
	prefix   string
	handler  Handler

	mu sync.Mutex
	// asOf is when the last successful round of reads was sent.
	asOf time.Time
	// healthySince is the start of the current run of successful rounds; zero before
	// the first success and after a failed round.
	healthySince time.Time
	failing      bool
	// running is set while Run runs; roundDone is closed at the end of each round.
	running   bool
	roundDone chan struct{}
}

// New returns a watch of the rows of a table whose keys start with prefix,
// which begins with the table's name.
func New(settings Settings, feed storeapi.Feed, table, prefix string, handler Handler) *Watch {
	return &Watch{settings: settings, feed: feed, table: table, prefix: prefix, handler: handler, roundDone: make(chan struct{})}
}

// NextRound returns a channel that is closed at the end of the present round of reads.
// It returns false if the watch is not running.
func (w *Watch) NextRound() (<-chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.roundDone, w.running
}

// AsOf returns a time up to which all changes were read, or zero before the first
// successful read.
func (w *Watch) AsOf() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asOf
}

// HealthySince returns the time since which all rounds of reads succeeded. It
// returns false before the first success and after a failed round.
func (w *Watch) HealthySince() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healthySince, !w.healthySince.IsZero()
}

// Failing reports whether the last round of reads failed. It returns false before
// the first read.
func (w *Watch) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing
}

// Run follows the table until ctx is done. fromVersion is the version of a scan
// that the caller has already made; 0 starts with a scan.
func (w *Watch) Run(ctx context.Context, fromVersion storeapi.RowVersion) {
	w.setRunning(true)
	defer w.setRunning(false)
	version, scanned := fromVersion, fromVersion != 0
	backoff := w.settings.InitialBackoff
	nextScan := time.Now().Add(w.nextRescanDelay())
	for ctx.Err() == nil {
		if scanned && w.settings.RescanPrefix != "" && !time.Now().Before(nextScan) {
			w.rescan(ctx)
			nextScan = time.Now().Add(w.nextRescanDelay())
		}
		sentAt := time.Now()
		readChanges := scanned && sentAt.Before(nextScan)
		var feedErr, err error
		if readChanges {
			version, feedErr = w.changes(ctx, version)
		}
		if ctx.Err() != nil {
			return
		}
		if feedErr != nil {
			w.reportError(feedErr)
			// The feed can be silent, or have lost its history, while the store
			// still responds to scans.
			sentAt = time.Now()
		}
		if !readChanges || feedErr != nil {
			version, err = w.scan(ctx, version)
			scanned = scanned || err == nil
			nextScan = time.Now().Add(w.nextRescanDelay())
		}
		if ctx.Err() != nil {
			return
		}
		w.recordRound(sentAt, err)
		if err == nil && feedErr == nil {
			backoff = w.settings.InitialBackoff
			continue
		}
		pause.For(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, w.settings.MaxBackoff)
	}
}

func (w *Watch) nextRescanDelay() time.Duration {
	return w.settings.RescanInterval/2 + rand.N(w.settings.RescanInterval)
}

// scan reads all rows and returns the version after which to read changes.
func (w *Watch) scan(ctx context.Context, version storeapi.RowVersion) (storeapi.RowVersion, error) {
	snapshot, err := w.feed.Scan(ctx, w.prefix)
	if err != nil {
		return version, err
	}
	w.handler.OnScan(snapshot)
	return snapshot.Version, nil
}

// rescan reads the rows under the rescan prefix. The feed goes on after the version
// that it has reached, since the scan leaves other rows out.
func (w *Watch) rescan(ctx context.Context) {
	snapshot, err := w.feed.Scan(ctx, w.settings.RescanPrefix)
	if err != nil {
		w.reportError(err)
		return
	}
	w.handler.OnScan(snapshot)
}

func (w *Watch) setRunning(running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = running
	w.endRound()
}

// endRound wakes those that wait for the end of the round. The caller holds w.mu.
func (w *Watch) endRound() {
	close(w.roundDone)
	w.roundDone = make(chan struct{})
}

func (w *Watch) changes(ctx context.Context, version storeapi.RowVersion) (storeapi.RowVersion, error) {
	wait := w.settings.LongPollTimeout
	if _, healthy := w.HealthySince(); !healthy {
		// Without a recent successful read, do not wait for changes: a prompt response
		// shows that the store is available.
		wait = 0
	}
	changes, err := w.feed.Changes(ctx, w.table, version, wait)
	if err != nil {
		return version, err
	}
	if len(changes.Rows) > 0 {
		w.handler.OnChanges(changes.Rows)
		pause.For(ctx, w.settings.GatherDelay)
	}
	return changes.Version, nil
}

// recordRound records the outcome of a round of reads whose last read was sent at
// sentAt, and reports its error.
func (w *Watch) recordRound(sentAt time.Time, err error) {
	w.mu.Lock()
	switch w.failing = err != nil; {
	case err != nil:
		w.healthySince = time.Time{}
	case w.healthySince.IsZero():
		w.asOf, w.healthySince = sentAt, sentAt
	default:
		w.asOf = sentAt
	}
	w.endRound()
	w.mu.Unlock()
	if err != nil {
		w.reportError(err)
	}
}

// reportError passes the error of a failed read to the handler.
func (w *Watch) reportError(err error) {
	if w.handler.OnReadError != nil {
		w.handler.OnReadError(err)
	}
}
