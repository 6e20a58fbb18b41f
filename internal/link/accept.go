package link

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/wire"
)

// acceptedWriteBytes is the write buffer of a connection that was accepted. The
// answering side writes a message of any size as one frame past its buffer, so a
// small one costs nothing, and an entry host has one for each agent.
const acceptedWriteBytes = 4 << 10

// Accept takes connections from listener until ctx is done, then closes them
// and returns nil once all have ended.
func (h *Hub) Accept(ctx context.Context, listener net.Listener) error {
	upgrader := websocket.FastHTTPUpgrader{
		HandshakeTimeout: h.options.DialTimeout,
		ReadBufferSize:   socketBufferBytes,
		WriteBufferSize:  acceptedWriteBytes,
	}
	server := httpserver.New(&fasthttp.Server{
		Handler: func(request *fasthttp.RequestCtx) {
			if string(request.Path()) != Path {
				request.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			// On an error the upgrader has written the refusal.
			_ = upgrader.Upgrade(request, func(ws *websocket.Conn) { h.accepted(ctx, ws) })
		},
		// The hub closes its connections itself, also while a read is waiting.
		KeepHijackedConns:     true,
		NoDefaultServerHeader: true,
		ReadTimeout:           h.options.DialTimeout,
		CloseOnShutdown:       true,
	}, batchListener{listener})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "link: accept")
	case <-ctx.Done():
	}
	err := shutdown(server)
	h.CloseAll()
	return err
}

func shutdown(server *httpserver.Server) error {
	const limit = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Wrap(err, "link: shut down")
	}
	return nil
}

// accepted does the answering side of the handshake and serves the connection.
func (h *Hub) accepted(ctx context.Context, ws *websocket.Conn) {
	defer func() { _ = ws.Close() }()
	life := newAcceptedLifecycle(h.options.Trace)
	message, err := readFirst(ws, h.now().Add(h.options.DialTimeout))
	if err != nil {
		life.greetingFailed(err)
		h.noteRefused(ws.RemoteAddr().String(), err)
		return
	}
	hello, ok := message.(*wire.Hello)
	if !ok || hello.Process == "" || (hello.Role != wire.RoleAgent && hello.Role != wire.RoleEntry) {
		life.greetingFailed(ErrHandshake)
		h.noteRefused(ws.RemoteAddr().String(), ErrHandshake)
		return
	}
	id := h.lastID.Add(1)
	if err := h.welcome(ws, id); err != nil {
		life.greetingFailed(err)
		return
	}
	peer := Peer{
		Role: hello.Role, Process: hello.Process, Incarnation: hello.Incarnation,
		Address: ws.RemoteAddr().String(), Hello: hello, Connection: id,
		HTTPAddress: hello.HTTPAddress, Zone: hello.Zone,
	}
	_ = h.serve(ctx, ws, peer, id, life)
}

func (h *Hub) welcome(ws *websocket.Conn, id uint64) error {
	welcome := &wire.Welcome{
		Process: h.identity.Process, Incarnation: h.identity.Incarnation, Connection: id,
		HTTPAddress: h.identity.HTTPAddress, Zone: h.identity.Zone,
	}
	if h.identity.Roster != nil {
		welcome.Roster = h.identity.Roster()
	}
	frame, err := wire.Encode(welcome)
	if err != nil {
		return err
	}
	if err := ws.SetWriteDeadline(h.now().Add(h.options.WriteTimeout)); err != nil {
		return err
	}
	return ws.WriteMessage(websocket.BinaryMessage, frame)
}
