package httpserver

import (
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/intake"
)

const (
	// headerBufferBytes holds the largest header that a configuration allows, 16 KiB.
	headerBufferBytes = 18 << 10
	// firstBodyBytes is what fasthttp reads of a body before the handler runs. Smaller
	// bodies are part of the connection and take nothing of the budget for bodies.
	firstBodyBytes = 8 << 10
	// bytesPerBodyByte is the memory for a byte of a body while it is handled: the body
	// and what is decoded from it.
	bytesPerBodyByte = 2
	// largeAnswerBytes is the size of an answer that takes of the budget for bodies.
	largeAnswerBytes = 64 << 10
	// spareWorkers is how many connections that are being closed fasthttp may still serve.
	spareWorkers = 64
	// retryAfterSeconds is what a client is told that is refused for lack of room.
	retryAfterSeconds = 1
)

// announcedHeader marks a request whose body is refused by its announced length. It is
// set here only, so a client that sends it refuses itself.
const announcedHeader = "Announced-Body-Refused"

// NewGuarded returns a server like New whose clients are kept within a guard. It replaces
// the limits of http, whose handler gets each body whole or not at all.
func NewGuarded(http *fasthttp.Server, l net.Listener, guard *Guard, face Face) *Server {
	most := max(1, int(float64(guard.machine.Connections())*face.Share))
	http.Concurrency = most + spareWorkers
	http.StreamRequestBody = true
	http.DisablePreParseMultipartForm = true
	if face.MaxHeaderBytes() > peerHeaderBytes {
		http.ReadBufferSize = headerBufferBytes
	}
	// The guard sets the time limits of reads.
	http.ReadTimeout, http.IdleTimeout = 0, 0
	http.HeaderReceived = face.limitBody
	http.ErrorHandler = func(ctx *fasthttp.RequestCtx, err error) { guard.refuse(ctx, &face, err) }
	handle := http.Handler
	http.Handler = func(ctx *fasthttp.RequestCtx) {
		c, guarded := ctx.Conn().(*conn)
		if !guarded {
			handle(ctx)
			return
		}
		if err := c.readRequest(ctx); err != nil {
			ctx.SetConnectionClose()
			guard.refuse(ctx, &face, err)
			return
		}
		c.turn(intake.Serving)
		handle(ctx)
		c.turn(intake.Answering)
		if !c.takeAnswer(len(ctx.Response.Body())) {
			ctx.Response.Reset()
			guard.refuse(ctx, &face, errNoRoomToAnswer)
		}
	}
	return New(http, &listener{Listener: l, guard: guard, face: &face, most: most})
}

// limitBody refuses a body by its announced length, before any of it is read.
func (f *Face) limitBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if header.ContentLength() > f.MaxBodyBytes() {
		header.SetContentLength(0)
		header.Del(fasthttp.HeaderExpect)
		header.SetConnectionClose()
		header.Set(announcedHeader, "1")
	}
	return fasthttp.RequestConfig{ReadTimeout: f.BodyTime(header)}
}

var (
	errHeaderTooLarge = errors.New("the header is too large")
	errNoRoom         = errors.New("there is no room for the body at present; the call has not run")
	errNoRoomToAnswer = errors.New("there is no room for the answer at present")
)

// readRequest checks the header and reads the body, for which it takes memory first.
func (c *conn) readRequest(ctx *fasthttp.RequestCtx) error {
	switch {
	case len(ctx.Request.Header.Peek(announcedHeader)) > 0:
		return fasthttp.ErrBodyTooLarge
	case len(ctx.Request.Header.RawHeaders()) > c.face.MaxHeaderBytes():
		return errHeaderTooLarge
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	body, err := c.readBody(stream, ctx.Request.Header.ContentLength(), c.face.MaxBodyBytes())
	if err != nil {
		return err
	}
	ctx.Request.SetBodyRaw(body)
	return nil
}

// takeAnswer charges a large answer to the connection until it is sent. Only reads have
// large answers. One that is alone has room, whatever its size.
func (c *conn) takeAnswer(bytes int) bool {
	if bytes <= largeAnswerBytes {
		return true
	}
	return c.take(min(bytes, int(c.guard.machine.BodyBytes()/2)))
}

// readBody reads a body of an announced length, or one in chunks if that is negative.
func (c *conn) readBody(stream io.Reader, announced, limit int) ([]byte, error) {
	if announced < 0 {
		return c.readChunks(stream, limit)
	}
	if announced > firstBodyBytes && !c.take(announced*bytesPerBodyByte) {
		return nil, errNoRoom
	}
	body := make([]byte, announced)
	_, err := io.ReadFull(stream, body)
	return body, err
}

// readChunks reads a body whose length is not announced, and takes memory as it grows.
func (c *conn) readChunks(stream io.Reader, limit int) ([]byte, error) {
	body, read := make([]byte, min(firstBodyBytes, limit+1)), 0
	for {
		n, err := stream.Read(body[read:])
		read += n
		switch {
		case read > limit:
			return nil, fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body[:read], nil
		case err != nil:
			return nil, err
		case read == len(body):
			larger := min(2*len(body), limit+1)
			if !c.take(larger * bytesPerBodyByte) {
				return nil, errNoRoom
			}
			body = append(make([]byte, 0, larger), body...)[:larger]
		}
	}
}

// refuse answers a request that is not handled.
func (g *Guard) refuse(ctx *fasthttp.RequestCtx, face *Face, err error) {
	status, reason := fasthttp.StatusBadRequest, reasonMalformed
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, reasonBody
	case errors.Is(err, errHeaderTooLarge), errors.As(err, &small):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, reasonHeader
	case errors.Is(err, errNoRoom), errors.Is(err, errNoRoomToAnswer):
		status, reason = fasthttp.StatusServiceUnavailable, reasonMemory
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, reason = fasthttp.StatusRequestTimeout, reasonSlow
	}
	g.count(face.Name, reason)
	ctx.SetStatusCode(status)
	if face.Refuse != nil {
		face.Refuse(ctx, status, err.Error())
	}
}

// Fixed returns a function that returns a value, for a Face that follows no
// configuration.
func Fixed[T any](value T) func() T { return func() T { return value } }

// Limits of a Face of processes of the system's own, which keep connections open.
const (
	peerHeaderTime = 5 * time.Second
	peerBodyTime   = 10 * time.Second
	peerIdleTime   = 2 * time.Minute
	// peerHeaderBytes is also the size of fasthttp's buffer for headers.
	peerHeaderBytes = 4 << 10
)

// PeerFace returns the face for processes of the deployment: workers, agents, entry
// hosts and the platform's checks.
func PeerFace(name string, share float64, maxBodyBytes int) Face {
	return Face{
		Name: name, Share: share, MaxHeaderBytes: Fixed(peerHeaderBytes), MaxBodyBytes: Fixed(maxBodyBytes),
		HeaderTime: Fixed(peerHeaderTime), IdleTime: Fixed(peerIdleTime),
		BodyTime: func(*fasthttp.RequestHeader) time.Duration { return peerBodyTime },
	}
}
