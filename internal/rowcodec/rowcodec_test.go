package rowcodec

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
)

type row struct {
	Name    string   `codec:"n"`
	Numbers []int    `codec:"l"`
	Nested  [][2]int `codec:"d"`
	Small   int      `codec:"s"`
}

// cborMap encodes a map of one entry, whose key is a text of one byte.
func cborMap(key byte, value []byte) []byte { return append([]byte{0xa1, 0x61, key}, value...) }

// TestOddRowsAreMalformed guards against a row of another writer that ends the process
// that reads it, or that decodes to a wrong value.
func TestOddRowsAreMalformed(t *testing.T) {
	const depth = 2 << 20
	deepArrays := append(bytes.Repeat([]byte{0x81}, depth), 0x01)
	deepMaps := append(bytes.Repeat([]byte{0xa1, 0x61, 'x'}, depth), 0x01)
	deepTags := append(bytes.Repeat([]byte{0xc1}, depth), 0x01)
	largest := append([]byte{0x1b}, bytes.Repeat([]byte{0xff}, 8)...)
	for name, value := range map[string][]byte{
		"deep arrays in an unknown field": cborMap('x', deepArrays),
		"deep maps in an unknown field":   cborMap('x', deepMaps),
		"deep tags in an unknown field":   cborMap('x', deepTags),
		"deep arrays in a list":           cborMap('l', deepArrays),
		"deep arrays in a pair":           cborMap('d', deepArrays),
		"deep arrays in place of a row":   deepArrays,
		"deep maps in place of a row":     deepMaps,
		"deep maps in a number":           cborMap('s', deepMaps),
		"number beyond 63 bits":           cborMap('s', largest),
		"list of more than there is":      cborMap('l', append([]byte{0x9b}, bytes.Repeat([]byte{0x7f}, 8)...)),
		"text of more than there is":      cborMap('n', append([]byte{0x7b}, bytes.Repeat([]byte{0x7f}, 8)...)),
		"another type":                    cborMap('l', []byte{0x61, 'x'}),
		"no CBOR":                         {0xff, 0x00},
		"nothing":                         {},
	} {
		t.Run(name, func(t *testing.T) {
			var out row
			if err := Decode(value, &out); !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v, decoded %+v", err, out)
			}
		})
	}
}

// TestRowsOfThisSystemDecode checks that the check of the nesting accepts all that Encode
// writes, with heads of each size.
func TestRowsOfThisSystemDecode(t *testing.T) {
	type nested struct {
		Any   map[string]any `codec:"a"`
		Bytes []byte         `codec:"b"`
		Float float64        `codec:"f"`
		Signs []int64        `codec:"s"`
	}
	in := nested{Any: map[string]any{"x": "y", "": nil, "z": true}, Bytes: make([]byte, 70_000), Float: 0.1}
	for shift := range 63 {
		in.Signs = append(in.Signs, 1<<shift, -1<<shift, 1<<shift-1)
	}
	data := Encode(&in)
	var out nested
	if err := Decode(data, &out); err != nil || !bytes.Equal(Encode(&out), data) {
		t.Errorf("error %v", err)
	}
	for _, cut := range []int{1, 2, 10, 1000, len(data) - 1} {
		if err := Decode(data[:cut], &out); !errors.Is(err, ErrMalformed) {
			t.Errorf("the first %d bytes: error %v", cut, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(&row{Name: "x", Numbers: []int{1}, Nested: [][2]int{{1, 2}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var out row
		if err := Decode(data, &out); err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("error %v", err)
		}
	})
}
