// Package event defines the numbered events of all processes and the bounded
// time line that each process keeps of them.
package event

import (
	"sync"
	"time"

	"dragonflyyard/internal/model"
)

// Code numbers an event. Codes are never reused; docs/EVENTS.md lists them.
type Code int

// Event is one entry of a process's time line.
type Event struct {
	Code Code `json:"code"`
	// Clock orders events over all processes.
	Clock   Timestamp                  `json:"clock"`
	Process string                     `json:"process"`
	Request model.RequestID            `json:"request,omitempty"`
	Job     model.JobID                `json:"job,omitempty"`
	Zone    model.AvailabilityZoneName `json:"zone,omitempty"`
	// Subject is what else the event is about, such as a process, an account, a
	// version or the key of a row.
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Timestamp is a hybrid logical clock reading: wall milliseconds and a counter
// that orders events within the same millisecond.
type Timestamp struct {
	WallMS  int64  `json:"wall_ms"`
	Counter uint32 `json:"counter"`
}

// Less orders timestamps.
func (t Timestamp) Less(o Timestamp) bool {
	if t.WallMS != o.WallMS {
		return t.WallMS < o.WallMS
	}
	return t.Counter < o.Counter
}

// Log is a process's time line: the last events in a bounded buffer. It is
// safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	process string
	now     func() time.Time
	clock   Timestamp
	events  []Event
	next    int
	sinks   []func(Event)
}

// NewLog returns a time line that keeps the last capacity events.
func NewLog(process string, capacity int, now func() time.Time) *Log {
	return &Log{process: process, now: now, events: make([]Event, 0, capacity)}
}

// AddSink registers a function that is called with every event, under the
// log's lock. Sinks are added before the log is shared.
func (l *Log) AddSink(sink func(Event)) { l.sinks = append(l.sinks, sink) }

// Record stamps and keeps an event. A nil log records nothing.
func (l *Log) Record(e Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Process = l.process
	e.Clock = l.tick()
	l.keep(e)
	for _, sink := range l.sinks {
		sink(e)
	}
}

// maxAhead is how far ahead of this process's wall clock a received timestamp
// may be. A clock never goes back, and passes what it took on to all others, so
// that a single reading from the far future would spoil the time line for good.
const maxAhead = time.Hour

// Observe advances the clock past a timestamp received from another process,
// unless that is further ahead than any clock of the system can be.
func (l *Log) Observe(remote Timestamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if remote.WallMS > l.now().Add(maxAhead).UnixMilli() {
		return
	}
	if l.clock.Less(remote) {
		l.clock = remote
	}
}

// Now returns a fresh timestamp to send to another process.
func (l *Log) Now() Timestamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tick()
}

// Events returns the kept events, oldest first.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Event, 0, len(l.events))
	out = append(out, l.events[l.next:]...)
	return append(out, l.events[:l.next]...)
}

// tick returns a reading that is later than all before it.
func (l *Log) tick() Timestamp {
	wall := l.now().UnixMilli()
	if wall > l.clock.WallMS {
		l.clock = Timestamp{WallMS: wall}
		return l.clock
	}
	l.clock.Counter++
	return l.clock
}

// keep stores an event in place of the oldest once the buffer is full.
func (l *Log) keep(e Event) {
	if len(l.events) < cap(l.events) {
		l.events = append(l.events, e)
		return
	}
	l.events[l.next] = e
	l.next = (l.next + 1) % len(l.events)
}
