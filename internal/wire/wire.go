// Package wire defines the messages between the system's own processes and
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
	// MaxFrameBytes is the largest frame that a process accepts. It has room for
	// the largest operator's call, and for an answer that repeats all its IDs.
	MaxFrameBytes = 2 << 20
	// MaxBodyBytes is the largest body of an OperatorCall or OperatorReply.
	MaxBodyBytes = MaxFrameBytes - 64<<10
	// MaxPartBytes is the largest body part in one AnswerPart or Dispatch.
	MaxPartBytes = 256 << 10

	headerBytes = 2
)

// Errors of Decode.
var (
	// ErrFrameSize means that a frame is shorter than its header or larger than MaxFrameBytes.
	ErrFrameSize = errors.New("wire: frame size out of range")
	// ErrVersion means that a frame has another protocol version.
	ErrVersion = errors.New("wire: unsupported protocol version")
	// ErrUnknownType means that a frame's message type is not known.
	ErrUnknownType = errors.New("wire: unknown message type")
	// ErrMalformed means that a frame's body is not the CBOR of its type.
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

// Encode returns the frame of a message.
func Encode(m Message) ([]byte, error) { return NewEncoder().Encode(m) }

// Decode returns the message of a frame, as a pointer to its struct.
func Decode(frame []byte) (Message, error) { return NewDecoder().Decode(frame) }

// messageOf checks a frame's header and returns an empty message of its type.
func messageOf(frame []byte) (Message, error) {
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
