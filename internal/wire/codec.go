package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"
)

// maxKeptBytes is the capacity above which an Encoder drops its buffer.
const maxKeptBytes = 64 << 10

// Encoder encodes frames into a buffer that it reuses. It is not safe for
// concurrent use.
type Encoder struct {
	buffer []byte
	cbor   *codec.Encoder
}

// NewEncoder returns an Encoder with an empty buffer.
func NewEncoder() *Encoder { return &Encoder{cbor: codec.NewEncoderBytes(nil, cborHandle)} }

// Encode returns the frame of a message. The frame is valid until the next
// call, which overwrites it.
func (e *Encoder) Encode(m Message) ([]byte, error) {
	if cap(e.buffer) > maxKeptBytes {
		e.buffer = nil
	}
	// The CBOR encoder writes from the start of the slice that it is given.
	e.buffer = append(e.buffer[:0], ProtocolVersion, byte(m.WireType()))
	body := e.buffer[headerBytes:]
	e.cbor.ResetBytes(&body)
	if err := e.cbor.Encode(m); err != nil {
		return nil, errors.Wrapf(err, "encode message type %d", m.WireType())
	}
	if len(body)+headerBytes > MaxFrameBytes {
		return nil, errors.Wrapf(ErrFrameSize, "message type %d has a body of %d bytes", m.WireType(), len(body))
	}
	e.buffer = append(e.buffer, body...)
	return e.buffer, nil
}

// Decoder decodes frames. It is not safe for concurrent use.
type Decoder struct{ cbor *codec.Decoder }

// NewDecoder returns a Decoder for any number of frames.
func NewDecoder() *Decoder { return &Decoder{cbor: codec.NewDecoderBytes(nil, cborHandle)} }

// Decode returns the message in a frame, as a pointer to its struct. The
// message does not alias the frame.
func (d *Decoder) Decode(frame []byte) (Message, error) {
	m, err := newMessageForFrame(frame)
	if err != nil {
		return nil, err
	}
	body := frame[headerBytes:]
	d.cbor.ResetBytes(body)
	if err := d.cbor.Decode(m); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(ErrMalformed, "type %d", frame[1]), err)
	}
	if read := d.cbor.NumBytesRead(); read != len(body) {
		return nil, errors.Wrapf(ErrMalformed, "type %d: %d trailing bytes", frame[1], len(body)-read)
	}
	return m, nil
}
