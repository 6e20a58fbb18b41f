// Package tablewatch follows one table of the store: a scan, then its changes,
// with short waits, so that a connection that went silent or a lost history is
// noticed within about a second. A scan now and then finds what a feed left out.
package tablewatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/storeapi"
)

// Settings are the times of a watch.
type Settings struct {
	// LongPollTimeout is how long one read of changes waits at the store.
	LongPollTimeout time.Duration
	// RescanInterval is the interval of scans beside the changes.
	RescanInterval time.Duration
	// GatherDelay is the pause after a read that showed changes, so that many small ones
	// are read together.
	GatherDelay time.Duration
	// InitialBackoff and MaxBackoff bound the backoff after a failed read, which
	// doubles and is drawn from its upper half.
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultSettings returns the times in use.
func DefaultSettings() Settings {
	return Settings{
		LongPollTimeout: time.Second, RescanInterval: 6 * time.Second,
		InitialBackoff: 80 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
	}
}

// Handler takes what a watch reads. Its methods are called from one goroutine.
type Handler struct {
	// OnScan is given all rows under the prefix.
	OnScan func(storeapi.Snapshot)
	// OnChanges is given changes of the whole table.
	OnChanges func([]storeapi.Change)
	// OnReadError is told of each read that failed; it may be nil.
	OnReadError func(error)
}

// Watch follows the rows under a prefix of a table.
type Watch struct {
	settings Settings
	feed     storeapi.Feed
	table    string
	prefix   string
	handler  Handler

	mu sync.Mutex
	// asOf is when the last successful read was sent.
	asOf time.Time
	// wellSince is since when no read failed; zero before the first success and
	// while the last one failed.
	wellSince time.Time
	failing   bool
}

// New returns a watch of the rows of a table whose keys start with prefix,
// which begins with the table's name.
func New(settings Settings, feed storeapi.Feed, table, prefix string, handler Handler) *Watch {
	return &Watch{settings: settings, feed: feed, table: table, prefix: prefix, handler: handler}
}

// AsOf returns an instant up to which everything was read, zero before the first read.
func (w *Watch) AsOf() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asOf
}

// HealthySince returns since when no read failed, and false while the last one did.
func (w *Watch) HealthySince() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wellSince, !w.wellSince.IsZero()
}

// Failing reports whether the last read failed. A watch that has read nothing
// yet does not fail.
func (w *Watch) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing
}

// Run follows the table until ctx is done. from is the version of a scan that
// was made before; 0 begins with a scan.
func (w *Watch) Run(ctx context.Context, from storeapi.RowVersion) {
	version, scanned := from, from != 0
	backoff := w.settings.InitialBackoff
	nextScan := time.Now().Add(w.rescanIn())
	for ctx.Err() == nil {
		sentAt := time.Now()
		following := scanned && sentAt.Before(nextScan)
		var feedErr, err error
		if following {
			version, feedErr = w.changes(ctx, version)
		}
		if ctx.Err() != nil {
			return
		}
		if feedErr != nil {
			w.tell(feedErr)
			// The feed may be silent or its history lost while the store answers.
			sentAt = time.Now()
		}
		if !following || feedErr != nil {
			version, err = w.scan(ctx, version)
			scanned = scanned || err == nil
			nextScan = time.Now().Add(w.rescanIn())
		}
		if ctx.Err() != nil {
			return
		}
		w.ended(sentAt, err)
		if err == nil && feedErr == nil {
			backoff = w.settings.InitialBackoff
			continue
		}
		pause.For(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, w.settings.MaxBackoff)
	}
}

func (w *Watch) rescanIn() time.Duration {
	return w.settings.RescanInterval/2 + rand.N(w.settings.RescanInterval)
}

// scan reads all rows and returns the version from which changes go on.
func (w *Watch) scan(ctx context.Context, version storeapi.RowVersion) (storeapi.RowVersion, error) {
	snapshot, err := w.feed.Scan(ctx, w.prefix)
	if err != nil {
		return version, err
	}
	w.handler.OnScan(snapshot)
	return snapshot.Version, nil
}

func (w *Watch) changes(ctx context.Context, version storeapi.RowVersion) (storeapi.RowVersion, error) {
	wait := w.settings.LongPollTimeout
	if _, well := w.HealthySince(); !well {
		// After a failure the question is whether the store answers at all.
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

// ended notes how a round of reads ended whose last one was sent at sentAt.
func (w *Watch) ended(sentAt time.Time, err error) {
	w.mu.Lock()
	switch w.failing = err != nil; {
	case err != nil:
		w.wellSince = time.Time{}
	case w.wellSince.IsZero():
		w.asOf, w.wellSince = sentAt, sentAt
	default:
		w.asOf = sentAt
	}
	w.mu.Unlock()
	if err != nil {
		w.tell(err)
	}
}

// tell passes a failure on to the handler.
func (w *Watch) tell(err error) {
	if w.handler.OnReadError != nil {
		w.handler.OnReadError(err)
	}
}
