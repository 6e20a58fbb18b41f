package rowcodec

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// maxNesting is the deepest nesting of a value. The codec follows nested values that it
// skips by recursion, so that a message of 2 MB would take 256 MB of stack.
const maxNesting = 24

// Major types of CBOR (RFC 8949, section 3.1) that have contents.
const (
	majorBytes = 2
	majorText  = 3
	majorArray = 4
	majorMap   = 5
	majorTag   = 6
)

// checkNesting returns an error if the first value in data is nested more deeply than
// maxNesting, is cut off, consists of more than mostValues values, or has an indefinite
// length, which Encode never writes.
func checkNesting(data []byte, mostValues int) error {
	// open holds the number of values that are left at each level.
	var open [maxNesting]uint64
	depth := 0
	for at, values := 0, 0; ; values++ {
		if values == mostValues {
			return errors.Newf("more than %d values", mostValues)
		}
		major, argument, size, err := readHead(data[at:])
		if err != nil {
			return err
		}
		at += size
		contents := uint64(0)
		switch major {
		case majorBytes, majorText:
			if argument > uint64(len(data)-at) {
				return errors.Newf("text of %d bytes is cut off", argument)
			}
			at += int(argument)
		case majorArray, majorMap:
			if argument > uint64(len(data)-at) {
				return errors.Newf("collection of %d entries is cut off", argument)
			}
			contents = argument
			if major == majorMap {
				contents *= 2
			}
		case majorTag:
			contents = 1
		}
		if contents > 0 {
			if depth == maxNesting {
				return errors.Newf("nested more deeply than %d levels", maxNesting)
			}
			open[depth] = contents
			depth++
			continue
		}
		for depth > 0 {
			if open[depth-1]--; open[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// readHead reads the head of a CBOR value and returns its major type, its argument and
// the size of the head.
func readHead(data []byte) (major byte, argument uint64, size int, err error) {
	if len(data) == 0 {
		return 0, 0, 0, errors.New("value is cut off")
	}
	major, info := data[0]>>5, data[0]&0x1f
	if info < 24 {
		return major, uint64(info), 1, nil
	}
	if info > 27 {
		return 0, 0, 0, errors.Newf("head 0x%02x has no definite length", data[0])
	}
	size = 1 + 1<<(info-24)
	if len(data) < size {
		return 0, 0, 0, errors.New("head is cut off")
	}
	var full [8]byte
	copy(full[9-size:], data[1:size])
	return major, binary.BigEndian.Uint64(full[:]), size, nil
}
