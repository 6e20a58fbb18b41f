// Package link keeps the WebSocket connections between the system's own
// processes. A Conn is one connection with one reading and one writing
// goroutine; it carries wire frames, heartbeats in both directions, and closes
// itself when the peer is silent or does not drain what it is sent. A Hub holds
// all connections of a process, dials the configured addresses again after a
// loss, and hands received messages to the handlers of the owner.
//
// Invariants that owners rely on:
//   - Messages of one connection are delivered in the order in which they were
//     sent, without gaps: where a message cannot be delivered or queued, the
//     connection is closed.
//   - For one peer process at most one connection is up. The handler for its
//     loss has returned before the handler for the next connection is called.
package link

import (
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/wire"
)

// Causes for which a connection ends.
var (
	// ErrSilent means that nothing was heard from the peer within Options.Silence.
	ErrSilent = errors.New("link: peer is silent")
	// ErrUnacknowledged means that the peer did not acknowledge a heartbeat
	// within Options.Silence, although it may still send.
	ErrUnacknowledged = errors.New("link: peer acknowledges no heartbeat")
	// ErrSlowReader means that the peer did not drain its connection in time.
	ErrSlowReader = errors.New("link: peer does not drain its connection")
	// ErrOwnerBusy means that this process did not take a received message in time.
	ErrOwnerBusy = errors.New("link: received message not taken in time")
	// ErrReplaced means that the peer opened a newer connection.
	ErrReplaced = errors.New("link: replaced by a newer connection")
	// ErrClosed means that this process closed the connection.
	ErrClosed = errors.New("link: closed by this process")
	// ErrHandshake means that the first messages of a connection were not as agreed.
	ErrHandshake = errors.New("link: handshake failed")
)

// Options holds the limits of connections. The zero value of a field stands
// for its default.
type Options struct {
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// Silence is how long a peer may stay unheard, or leave a heartbeat
	// unacknowledged, before its connection is closed.
	Silence time.Duration
	// WriteTimeout bounds the write of one batch of frames.
	WriteTimeout time.Duration
	// DialTimeout bounds the opening of a connection with its handshake.
	DialTimeout time.Duration
	// OwnerPatience is how long a received message waits for room in the ring
	// of its owner.
	OwnerPatience time.Duration
	// OutgoingMessages and OutgoingBytes bound what waits to be written.
	OutgoingMessages int
	OutgoingBytes    int64
	// MaxFrameBytes is the largest frame that is read.
	MaxFrameBytes int64
	// MinReconnectDelay and MaxReconnectDelay bound the delay between attempts to dial.
	MinReconnectDelay time.Duration
	MaxReconnectDelay time.Duration
	// Trace learns of each transition of each connection, when it is set. It
	// must not wait.
	Trace func(Step)
}

// Defaults of Options.
const (
	DefaultHeartbeat         = 500 * time.Millisecond
	DefaultSilence           = 2 * time.Second
	DefaultWriteTimeout      = time.Second
	DefaultDialTimeout       = 2 * time.Second
	DefaultOwnerPatience     = time.Second
	DefaultOutgoingMessages  = 4096
	DefaultOutgoingBytes     = 32 << 20
	DefaultMinReconnectDelay = 50 * time.Millisecond
	DefaultMaxReconnectDelay = 2 * time.Second
)

// WithDefaults returns the options with each zero field set to its default.
func (o Options) WithDefaults() Options {
	setDuration(&o.Heartbeat, DefaultHeartbeat)
	setDuration(&o.Silence, DefaultSilence)
	setDuration(&o.WriteTimeout, DefaultWriteTimeout)
	setDuration(&o.DialTimeout, DefaultDialTimeout)
	setDuration(&o.OwnerPatience, DefaultOwnerPatience)
	setDuration(&o.MinReconnectDelay, DefaultMinReconnectDelay)
	setDuration(&o.MaxReconnectDelay, DefaultMaxReconnectDelay)
	if o.OutgoingMessages == 0 {
		o.OutgoingMessages = DefaultOutgoingMessages
	}
	if o.OutgoingBytes == 0 {
		o.OutgoingBytes = DefaultOutgoingBytes
	}
	if o.MaxFrameBytes == 0 {
		o.MaxFrameBytes = wire.MaxFrameBytes
	}
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
