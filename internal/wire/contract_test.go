package wire

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// everyMessage returns a message of each type with a value in each field.
func everyMessage() []Message {
	var out []Message
	for b := range 256 {
		if m := newMessage(Type(b)); m != nil {
			fill(reflect.ValueOf(m).Elem(), 1)
			out = append(out, m)
		}
	}
	return out
}

// fill sets v, or every field and element in it, to a value derived from n.
func fill(v reflect.Value, n int64) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprint("s", n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(n)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Float64:
		v.SetFloat(float64(n) / 4)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), n+int64(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.SetMapIndex(key, value)
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Unix(1_800_000_000+n, 0).UTC()))
			return
		}
		for i := range v.NumField() {
			fill(v.Field(i), n+int64(i))
		}
	default:
		panic("no value for " + v.Type().String())
	}
}

// fieldCount returns the number of elements in a message's CBOR array.
func fieldCount(m Message) int { return reflect.TypeOf(m).Elem().NumField() }

// arrayHead returns the CBOR head of an array of count elements.
func arrayHead(count int) []byte {
	const firstLongCount = 24
	if count < firstLongCount {
		return []byte{byte(0x80 + count)}
	}
	return []byte{0x98, byte(count)}
}

// TestEveryMessage decodes each type of message, with a value in each field:
// complete, truncated, with fields appended or missing as from a sender of
// another version, and with a wrong header or body.
func TestEveryMessage(t *testing.T) {
	for _, m := range everyMessage() {
		frame, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		count := fieldCount(m)
		head := len(arrayHead(count))
		fields := frame[headerBytes+head:]
		withCount := func(count int, extra ...byte) []byte {
			out := append([]byte{ProtocolVersion, byte(m.WireType())}, arrayHead(count)...)
			return append(append(out, fields...), extra...)
		}
		withVersion := func(version byte) []byte { return append([]byte{version}, frame[1:]...) }
		zero := newMessage(m.WireType())
		cases := []struct {
			name  string
			frame []byte
			want  Message
			err   error
		}{
			{"complete", frame, m, nil},
			{"one field appended", withCount(count+1, 0xf5), m, nil},
			{"two fields appended", withCount(count+2, 0x82, 0x01, 0x61, 'x', 0xa1, 0x01, 0x02), m, nil},
			{"no fields", []byte{ProtocolVersion, byte(m.WireType()), 0x80}, zero, nil},
			{"trailing bytes", withCount(count, 0x00), nil, ErrMalformed},
			{"array head counts one field too many", withCount(count + 1), nil, ErrMalformed},
			{"map in place of array", []byte{ProtocolVersion, byte(m.WireType()), 0xa1, 0x01}, nil, ErrMalformed},
			{"version 0", withVersion(0), nil, ErrVersion},
			{"next version", withVersion(ProtocolVersion + 1), nil, ErrVersion},
		}
		for _, c := range cases {
			got, err := Decode(c.frame)
			if !errors.Is(err, c.err) || (err == nil && !reflect.DeepEqual(got, c.want)) {
				t.Errorf("%T, %s: got %+v, %v", m, c.name, got, err)
			}
		}
		for cut := headerBytes; cut < len(frame); cut++ {
			if got, err := Decode(frame[:cut]); !errors.Is(err, ErrMalformed) {
				t.Fatalf("%T truncated to %d of %d bytes: got %+v, %v", m, cut, len(frame), got, err)
			}
		}
	}
}

// TestDecodeRejectsWrongLengths guards against a decoder that allocates
// memory for a length that the frame declares but does not contain. Such a frame,
// or one with values of the wrong type or size, must be rejected as malformed.
func TestDecodeRejectsWrongLengths(t *testing.T) {
	frameOf := func(kind Type, body ...byte) []byte { return append([]byte{ProtocolVersion, byte(kind)}, body...) }
	cases := map[string][]byte{
		"array of 2^63 elements":       frameOf(TypeAnswerPart, 0x9b, 0x80, 0, 0, 0, 0, 0, 0, 0),
		"text of 2^31 bytes":           frameOf(TypeForget, 0x81, 0x7a, 0x80, 0, 0, 0),
		"list of 2^31 addresses":       frameOf(TypeRosterNotice, 0x81, 0x9a, 0x80, 0, 0, 0),
		"document of 2^31 zones":       frameOf(TypeConfigUpdate, 0x83, 0, 0, 0x82, 0, 0xba, 0x80, 0, 0, 0),
		"arrays in arrays":             append(frameOf(TypeConfigUpdate), bytes.Repeat([]byte{0x81}, 100_000)...),
		"unterminated text":            frameOf(TypeForget, 0x81, 0x7f, 0x61, 'a'),
		"number in place of a text":    frameOf(TypeForget, 0x81, 0x1a, 1, 2, 3, 4),
		"number larger than its field": frameOf(TypeHeartbeat, 0x82, 0x01, 0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff),
	}
	for name, frame := range cases {
		allocated := testing.AllocsPerRun(1, func() {
			if got, err := Decode(frame); !errors.Is(err, ErrMalformed) {
				t.Errorf("%s: got %+v, %v", name, got, err)
			}
		})
		const maxAllocations = 10_000
		if allocated > maxAllocations {
			t.Errorf("%s: %.0f allocations", name, allocated)
		}
	}
}
