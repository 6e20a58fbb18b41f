// Package wire defines the messages that the system's processes exchange, and
// their encoding. A frame is one WebSocket binary message: a protocol version
// byte, a message type byte, and the message as CBOR (RFC 8949). Structs are
// encoded as arrays, so fields are only ever appended.
package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"
)

// Limits of a frame.
const (
	// ProtocolVersion is the version byte of each frame.
	ProtocolVersion = 1
	// MaxFrameBytes is the largest frame that a process accepts. It holds
	// the largest operator call, and a reply that repeats all IDs of that call.
	MaxFrameBytes = 2 << 20
	// MaxBodyBytes is the largest body of an OperatorCall or OperatorReply.
	MaxBodyBytes = MaxFrameBytes - 64<<10
	// MaxPartBytes is the largest part of a body in one AnswerPart or Dispatch.
	MaxPartBytes = 256 << 10

	headerBytes = 2
)

// Errors that Decode returns.
var (
	// ErrFrameSize means that a frame is shorter than its header or larger than MaxFrameBytes.
	ErrFrameSize = errors.New("wire: frame size out of range")
	// ErrVersion means that a frame's version byte is not ProtocolVersion.
	ErrVersion = errors.New("wire: unsupported protocol version")
	// ErrUnknownType means that no message has a frame's type byte.
	ErrUnknownType = errors.New("wire: unknown message type")
	// ErrMalformed means that a frame's body is not valid CBOR for its message type.
	ErrMalformed = errors.New("wire: malformed message")
)

var cborHandle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.StructToArray = true
	h.TimeRFC3339 = false
	h.MaxInitLen = 1 << 16
	h.MaxDepth = 32
	return h
}

// Type is the message type byte of a frame.
type Type uint8

// Message is any message that can be framed.
type Message interface {
	// WireType returns the message's type byte.
	WireType() Type
}

// Encode returns the frame of a message, in a new buffer.
func Encode(m Message) ([]byte, error) { return NewEncoder().Encode(m) }

// Decode returns the message in a frame, as a pointer to its struct.
func Decode(frame []byte) (Message, error) { return NewDecoder().Decode(frame) }

// newMessageForFrame checks a frame's header and returns an empty message of its type.
func newMessageForFrame(frame []byte) (Message, error) {
	if len(frame) < headerBytes || len(frame) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrFrameSize, "%d bytes", len(frame))
	}
	if frame[0] != ProtocolVersion {
		return nil, errors.Wrapf(ErrVersion, "version %d", frame[0])
	}
	m := newMessage(Type(frame[1]))
	if m == nil {
		return nil, errors.Wrapf(ErrUnknownType, "type %d", frame[1])
	}
	return m, nil
}
