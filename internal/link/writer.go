package link

import (
	"slices"
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
	// items are the messages of the batch that is being written.
	items []outgoing
	// answeredAt is when the last permit that answers a heartbeat was written.
	answeredAt time.Time
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
		case <-c.out.ready:
			err = w.writeBatch()
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

// writeBatch sends the messages that wait, as far as one batch goes, behind the
// sender's clock.
func (w *writer) writeBatch() error {
	w.items = w.out.take(w.items[:0], maxBatchMessages)
	if len(w.items) == 0 {
		return nil
	}
	err := w.begin(slices.ContainsFunc(w.items, func(item outgoing) bool { return carriesClock(item.message) }))
	bytes := int64(0)
	for i, item := range w.items {
		bytes += item.bytes
		if err == nil {
			err = w.writeMessage(item.message)
		}
		if permit, ok := item.message.(*wire.Permit); ok && permit.AnsweredHeartbeat > 0 {
			w.answeredAt = w.now()
		}
		w.items[i] = outgoing{}
	}
	err = errors.CombineErrors(err, w.end())
	w.queued.Add(-int64(len(w.items)))
	w.queuedSize.Add(-bytes)
	return slowReader(err)
}

// carriesClock reports whether the receiver may record an event because of a
// message. Such messages follow the sender's clock.
func carriesClock(m wire.Message) bool {
	switch m.(type) {
	case *wire.Heartbeat, *wire.Permit, *wire.Credit, *wire.Demand, *wire.StoreStatus, *wire.ConfigAck:
		return false
	default:
		return true
	}
}

// writeHeartbeat sends a heartbeat unless the peer is silent. While permits
// answer each heartbeat of an agent they stand for this process's heartbeats.
func (w *writer) writeHeartbeat() error {
	now := w.now()
	if w.heartbeats.isOverdue(now, overdueIntervals*w.options.Heartbeat) {
		w.life.fire(eventHeartbeatOverdue)
		w.overdue(w.Conn)
	}
	if err := w.heartbeats.check(now); err != nil {
		return err
	}
	if w.peer.Role == wire.RoleAgent && now.Sub(w.answeredAt) < w.options.Heartbeat*3/2 {
		return nil
	}
	beat := w.heartbeats.next(now)
	beat.NoStatus = w.peer.Role == wire.RoleEntry && w.needsStatus != nil && !w.needsStatus()
	err := w.begin(false)
	if err == nil {
		err = w.writeMessage(beat)
	}
	return slowReader(errors.CombineErrors(err, w.end()))
}

// begin opens a batch, with the sender's clock where it is asked for.
func (w *writer) begin(withClock bool) error {
	if err := w.ws.SetWriteDeadline(w.now().Add(w.options.WriteTimeout)); err != nil {
		return err
	}
	if w.batch != nil {
		w.batch.hold()
	}
	w.traffic.writes.Inc(1)
	if w.clock == nil || !withClock {
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
