package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/wire"
)

func (h *Hub) notifyUp(c *Conn) bool {
	for _, handler := range h.states[c.peer.Role] {
		if !h.offer(c, func() bool { return handler(c, nil) }) {
			return false
		}
	}
	return true
}

func (h *Hub) notifyLoss(ctx context.Context, c *Conn) {
	const retry = time.Millisecond
	for _, handler := range h.states[c.peer.Role] {
		for !handler(c, c.cause) {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(retry)
		}
	}
}

func (h *Hub) deliver(c *Conn, m wire.Message) error {
	for _, handler := range h.handlers[handlerKey{c.peer.Role, m.WireType()}] {
		if !h.offer(c, func() bool { return handler(c, m) }) {
			return errors.Wrapf(ErrOwnerBusy, "message type %d", m.WireType())
		}
	}
	return nil
}

// offer calls take until it succeeds, the connection ends or the patience of
// the options is over.
func (h *Hub) offer(c *Conn, take func() bool) bool {
	const retry = time.Millisecond
	if take() {
		return true
	}
	limit := h.now().Add(h.options.OwnerPatience)
	for !c.isClosed() && h.now().Before(limit) {
		time.Sleep(retry)
		if take() {
			return true
		}
	}
	return false
}

func (h *Hub) notifyOverdue(c *Conn) {
	for _, handler := range h.overdue[c.peer.Role] {
		handler(c)
	}
}

// refusedInterval is the shortest time between two records of refused greetings:
// a peer of another version dials again every few seconds.
const refusedInterval = time.Minute

// noteRefused records a greeting that is not one of this protocol and version.
func (h *Hub) noteRefused(address string, cause error) {
	if !isMalformed(cause) && !errors.Is(cause, ErrHandshake) {
		return
	}
	now, last := h.now().UnixMilli(), h.refusedMS.Load()
	if last != 0 && now-last < refusedInterval.Milliseconds() || !h.refusedMS.CompareAndSwap(last, now) {
		return
	}
	h.log.Record(event.Event{Code: event.LinkRefused, Subject: address, Detail: cause.Error()})
}
