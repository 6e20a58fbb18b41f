package link

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"dragonflyyard/internal/wire"
)

// maxBatchMessages bounds the messages that are written together.
const maxBatchMessages = 64

// overdueIntervals is how many heartbeat intervals may pass without a message
// before the peer is suspect.
const overdueIntervals = 2

// writer is the writing goroutine's part of a connection.
type writer struct {
	*Conn
	encoder *wire.Encoder
	batch   *batchConn
	stamp   wire.Clock
}

// write sends queued messages and heartbeats until the connection ends.
func (c *Conn) write() error {
	w := &writer{Conn: c, encoder: wire.NewEncoder(), batch: batchOf(c.ws.NetConn())}
	ticker := time.NewTicker(c.options.Heartbeat)
	defer ticker.Stop()
	if err := w.writeHeartbeat(); err != nil {
		return err
	}
	for {
		var err error
		select {
		case first := <-c.out.Out():
			err = w.writeBatch(first)
		case <-ticker.C:
			err = w.writeHeartbeat()
		case <-c.closed:
			return ErrClosed
		}
		if err != nil {
			return err
		}
	}
}

// writeBatch sends the first message with all others that wait, as far as one
// batch goes, behind the sender's clock.
func (w *writer) writeBatch(first outgoing) error {
	messages, bytes := int64(0), int64(0)
	err := w.begin()
	for item, more := first, true; more && err == nil; {
		messages++
		bytes += item.bytes
		if err = w.writeMessage(item.message); err != nil {
			break
		}
		item, more = w.nextOf(messages)
	}
	err = errors.CombineErrors(err, w.end())
	w.queued.Add(-messages)
	w.queuedSize.Add(-bytes)
	return slowReader(err)
}

// nextOf returns another waiting message unless the batch is full.
func (w *writer) nextOf(messages int64) (outgoing, bool) {
	if messages >= maxBatchMessages {
		return outgoing{}, false
	}
	select {
	case item := <-w.out.Out():
		return item, true
	default:
		return outgoing{}, false
	}
}

// writeHeartbeat sends a heartbeat unless the peer is silent.
func (w *writer) writeHeartbeat() error {
	now := w.now()
	if w.heartbeats.isOverdue(now, overdueIntervals*w.options.Heartbeat) {
		w.life.fire(eventHeartbeatOverdue)
	}
	if err := w.heartbeats.check(now); err != nil {
		return err
	}
	err := w.begin()
	if err == nil {
		err = w.writeMessage(w.heartbeats.next(now))
	}
	return slowReader(errors.CombineErrors(err, w.end()))
}

// begin opens a batch with the sender's clock.
func (w *writer) begin() error {
	if err := w.ws.SetWriteDeadline(w.now().Add(w.options.WriteTimeout)); err != nil {
		return err
	}
	if w.batch != nil {
		w.batch.hold()
	}
	if w.clock == nil {
		return nil
	}
	now := w.clock.Now()
	w.stamp = wire.Clock{WallMS: now.WallMS, Counter: now.Counter}
	return w.writeMessage(&w.stamp)
}

func (w *writer) end() error {
	if w.batch == nil {
		return nil
	}
	// The WebSocket library sets its deadline with each frame; this is the one
	// for the bytes that the batch still holds.
	if err := w.batch.SetWriteDeadline(w.now().Add(w.options.WriteTimeout)); err != nil {
		return err
	}
	return w.batch.flush()
}

func (w *writer) writeMessage(m wire.Message) error {
	frame, err := w.encoder.Encode(m)
	if err != nil {
		return err
	}
	w.traffic.countOut(len(frame))
	return w.ws.WriteMessage(websocket.BinaryMessage, frame)
}

// slowReader turns a timeout of a write into ErrSlowReader.
func slowReader(err error) error {
	if isTimeout(err) {
		return ErrSlowReader
	}
	return err
}
