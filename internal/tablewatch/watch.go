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
	// Wait is how long one read of changes waits at the store.
	Wait time.Duration
	// RescanEvery is the interval of scans beside the changes.
	RescanEvery time.Duration
	// Gather is the pause after a read that showed changes, so that many small ones
	// are read together.
	Gather time.Duration
	// FirstPause and LongestPause bound the backoff after a failed read, which
	// doubles and is drawn from its upper half.
	FirstPause, LongestPause time.Duration
}

// DefaultSettings returns the times in use.
func DefaultSettings() Settings {
	return Settings{
		Wait: time.Second, RescanEvery: 6 * time.Second,
		FirstPause: 80 * time.Millisecond, LongestPause: 500 * time.Millisecond,
	}
}

// Handler takes what a watch reads. Its methods are called from one goroutine.
type Handler struct {
	// Scanned is given all rows under the prefix.
	Scanned func(storeapi.Snapshot)
	// Changed is given changes of the whole table.
	Changed func([]storeapi.Change)
	// Failed is told of each read that failed; it may be nil.
	Failed func(error)
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

// WellSince returns since when no read failed, and false while the last one did.
func (w *Watch) WellSince() (time.Time, bool) {
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
	backoff := w.settings.FirstPause
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
			backoff = w.settings.FirstPause
			continue
		}
		pause.For(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, w.settings.LongestPause)
	}
}

func (w *Watch) rescanIn() time.Duration {
	return w.settings.RescanEvery/2 + rand.N(w.settings.RescanEvery)
}

// scan reads all rows and returns the version from which changes go on.
func (w *Watch) scan(ctx context.Context, version storeapi.RowVersion) (storeapi.RowVersion, error) {
	snapshot, err := w.feed.Scan(ctx, w.prefix)
	if err != nil {
		return version, err
	}
	w.handler.Scanned(snapshot)
	return snapshot.Version, nil
}

func (w *Watch) changes(ctx context.Context, version storeapi.RowVersion) (storeapi.RowVersion, error) {
	wait := w.settings.Wait
	if _, well := w.WellSince(); !well {
		// After a failure the question is whether the store answers at all.
		wait = 0
	}
	changes, err := w.feed.Changes(ctx, w.table, version, wait)
	if err != nil {
		return version, err
	}
	if len(changes.Rows) > 0 {
		w.handler.Changed(changes.Rows)
		pause.For(ctx, w.settings.Gather)
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
	if w.handler.Failed != nil {
		w.handler.Failed(err)
	}
}
