package link

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"dragonflyyard/internal/wire"
)

// Path is the HTTP path at which a process accepts links.
const Path = "/link"

const socketBufferBytes = 32 << 10

// Dial keeps a connection to address (IP:port) open until ctx is done: after a
// loss it dials again, at once first, then with growing jittered delays.
//
// Several addresses may lead to the same process. Only one of them is dialled
// or connected at a time, once they are known to do so.
func (h *Hub) Dial(ctx context.Context, address string) {
	attempt := 0
	process := ""
	for ctx.Err() == nil {
		if process != "" && !h.seats.take(process, address) {
			h.pause(ctx, h.options.MaxReconnectDelay)
			continue
		}
		started := h.now()
		name, wasUp := h.dialOnce(ctx, address)
		h.seats.release(process, address)
		if name != "" {
			h.seats.release(name, address)
			process = name
		}
		// A connection that ends soon after it came up, such as one that a
		// namesake keeps replacing, does not reset the delay.
		if wasUp && h.now().Sub(started) > h.options.Silence {
			attempt = 0
		}
		h.pause(ctx, reconnectDelay(h.options, attempt, rand.Float64()))
		attempt++
	}
}

func (h *Hub) pause(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// seats holds, for each peer process, the one address that is being dialled or
// is connected.
type seats struct {
	mu      sync.Mutex
	holders map[string]string
}

// take gives the seat of a process to an address. It returns false when
// another address has it.
func (s *seats) take(process, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, taken := s.holders[process]
	if taken && holder != address {
		return false
	}
	s.holders[process] = address
	return true
}

func (s *seats) release(process, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders[process] == address {
		delete(s.holders, process)
	}
}

// maxReconnectShift bounds the doublings of the reconnect delay.
const maxReconnectShift = 10

// reconnectDelay returns the wait before the next attempt: half to all of
// MinReconnectDelay doubled attempt times, at most MaxReconnectDelay. random is in [0, 1).
func reconnectDelay(o Options, attempt int, random float64) time.Duration {
	shift := min(attempt, maxReconnectShift)
	ceiling := min(o.MinReconnectDelay<<shift, o.MaxReconnectDelay)
	half := ceiling / 2
	return half + time.Duration(random*float64(ceiling-half))
}

// dialOnce opens one connection and serves it until it ends. It returns the
// name of the process at the address, where that answered, and whether the
// connection came up. A second connection to a process that is connected
// through another address does not come up.
func (h *Hub) dialOnce(ctx context.Context, address string) (process string, wasUp bool) {
	dialCtx, cancel := context.WithTimeout(ctx, h.options.DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{
		NetDialContext:   dialBatched,
		HandshakeTimeout: h.options.DialTimeout,
		ReadBufferSize:   socketBufferBytes,
		WriteBufferSize:  socketBufferBytes,
	}
	life := newLifecycle(h.options.Trace)
	ws, _, err := dialer.DialContext(dialCtx, "ws://"+address+Path, nil)
	if err != nil {
		life.fire(eventDialFailed)
		return "", false
	}
	life.fire(eventConnected)
	peer, err := h.greet(ws, address)
	if err != nil {
		_ = ws.Close()
		life.greetingFailed(err)
		h.noteRefused(address, err)
		return "", false
	}
	if !h.seats.take(peer.Process, address) {
		_ = ws.Close()
		life.fire(eventCut)
		return peer.Process, false
	}
	_ = h.serve(ctx, ws, peer, h.lastID.Add(1), life)
	return peer.Process, true
}

func dialBatched(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &batchConn{Conn: c}, nil
}

// greet sends Hello and awaits Welcome.
func (h *Hub) greet(ws *websocket.Conn, address string) (Peer, error) {
	if err := ws.SetWriteDeadline(h.now().Add(h.options.WriteTimeout)); err != nil {
		return Peer{}, err
	}
	hello := h.identity.Hello()
	frame, err := wire.Encode(&hello)
	if err != nil {
		return Peer{}, err
	}
	if err := ws.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return Peer{}, err
	}
	message, err := readFirst(ws, h.now().Add(h.options.DialTimeout))
	if err != nil {
		return Peer{}, err
	}
	welcome, ok := message.(*wire.Welcome)
	if !ok || welcome.Process == "" {
		return Peer{}, errors.Wrapf(ErrHandshake, "message type %d in place of Welcome", message.WireType())
	}
	return Peer{
		Role: wire.RoleEntry, Process: welcome.Process, Incarnation: welcome.Incarnation,
		Address: address, Connection: welcome.Connection, Roster: welcome.Roster,
		HTTPAddress: welcome.HTTPAddress, Zone: welcome.Zone,
	}, nil
}

func readFirst(ws *websocket.Conn, deadline time.Time) (wire.Message, error) {
	ws.SetReadLimit(wire.MaxFrameBytes)
	if err := ws.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	return newFrameReader(ws).next()
}
