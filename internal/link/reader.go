package link

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/wire"
)

// maxKeptBytes is the largest read buffer that a connection keeps.
const maxKeptBytes = 64 << 10

// frameReader reads and decodes the frames of one connection in a buffer that
// it uses again.
type frameReader struct {
	ws      *websocket.Conn
	decoder *wire.Decoder
	buffer  []byte
}

func newFrameReader(ws *websocket.Conn) *frameReader {
	return &frameReader{ws: ws, decoder: wire.NewDecoder()}
}

// next returns the next message.
func (r *frameReader) next() (wire.Message, error) {
	kind, body, err := r.ws.NextReader()
	if err != nil {
		return nil, frameSize(err)
	}
	if kind != websocket.BinaryMessage {
		return nil, errors.Wrap(wire.ErrMalformed, "text message")
	}
	if cap(r.buffer) > maxKeptBytes {
		r.buffer = nil
	}
	r.buffer, err = appendAll(r.buffer[:0], body)
	if err != nil {
		return nil, frameSize(err)
	}
	return r.decoder.Decode(r.buffer)
}

// frameSize gives a frame over the read limit the error of the wire package.
func frameSize(err error) error {
	if errors.Is(err, websocket.ErrReadLimit) {
		return errors.Wrap(wire.ErrFrameSize, err.Error())
	}
	return err
}

// appendAll appends all of in to buffer.
func appendAll(buffer []byte, in io.Reader) ([]byte, error) {
	const grow = 512
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, make([]byte, grow)...)[:len(buffer)]
		}
		n, err := in.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}

// read delivers messages until the connection ends.
func (c *Conn) read(deliver func(wire.Message) error) error {
	c.ws.SetReadLimit(c.options.MaxFrameBytes)
	reader := newFrameReader(c.ws)
	for {
		if err := c.ws.SetReadDeadline(c.now().Add(c.options.Silence)); err != nil {
			return err
		}
		message, err := reader.next()
		if err != nil {
			return silent(err)
		}
		c.traffic.countIn(len(reader.buffer))
		c.heartbeats.heard(c.now())
		c.life.fire(eventMessageReceived)
		switch message := message.(type) {
		case *wire.Clock:
			if c.clock != nil {
				c.clock.Observe(event.Timestamp{WallMS: message.WallMS, Counter: message.Counter})
			}
			continue
		case *wire.Heartbeat:
			c.heartbeats.received(message)
		case *wire.Permit:
			c.heartbeats.answered(message.AnsweredHeartbeat)
		}
		if err := deliver(message); err != nil {
			return err
		}
	}
}

// silent turns a timeout of a read into ErrSilent.
func silent(err error) error {
	if isTimeout(err) {
		return ErrSilent
	}
	return err
}

// isMalformed reports whether a peer sent what is not a frame of this protocol.
func isMalformed(err error) bool {
	return errors.IsAny(err, wire.ErrFrameSize, wire.ErrVersion, wire.ErrUnknownType, wire.ErrMalformed)
}

func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
