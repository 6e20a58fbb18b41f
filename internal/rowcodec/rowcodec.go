// Package rowcodec encodes the values of the store's rows as CBOR.
package rowcodec

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"
)

// ErrMalformed means that a row's value is not a valid encoding of the expected type.
var ErrMalformed = errors.New("rowcodec: malformed row")

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.Canonical = true
	h.StructToArray = false
	return h
}

// Encode returns the canonical CBOR encoding of a value: equal values encode to
// equal bytes. It panics on a type that CBOR cannot encode.
func Encode(value any) []byte {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(value); err != nil {
		// Encoding fails only for types that cannot be encoded at all.
		panic(errors.Wrap(err, "rowcodec: encode"))
	}
	return out
}

// Decode decodes a row's value into target. It returns ErrMalformed if the value
// does not decode, is nested too deeply, or if bytes follow it.
func Decode(data []byte, target any) error { return decode(data, target, math.MaxInt) }

// DecodeMessage is like Decode for a message that anyone may have sent: one of more than
// MaxMessageValues values is malformed, and takes no memory.
func DecodeMessage(data []byte, target any) error { return decode(data, target, MaxMessageValues) }

// MaxMessageValues bounds the values of a message. A row has 7, and a transaction at most
// 100 entries.
const MaxMessageValues = 20_000

func decode(data []byte, target any, mostValues int) error {
	if err := checkNesting(data, mostValues); err != nil {
		return errors.CombineErrors(errors.Wrap(ErrMalformed, "check"), err)
	}
	decoder := codec.NewDecoderBytes(data, handle)
	if err := decoder.Decode(target); err != nil {
		return errors.CombineErrors(errors.Wrap(ErrMalformed, "decode"), err)
	}
	if read := decoder.NumBytesRead(); read != len(data) {
		return errors.Wrapf(ErrMalformed, "%d trailing bytes after the value", len(data)-read)
	}
	return nil
}
