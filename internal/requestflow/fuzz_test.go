package requestflow

import (
	"testing"

	"dragonflyyard/internal/wire"
)

// FuzzAnswerParts adds any sequence of parts, each encoded as three header bytes and
// a body of up to seven bytes. A complete answer must have its announced length, and
// the assembly must not hold more than was received.
func FuzzAnswerParts(f *testing.F) {
	f.Add([]byte{0, 1, 2, 'a', 'b'})
	f.Add([]byte{0, 2, 4, 'a', 'b', 1, 2, 4, 'c', 'd'})
	f.Add([]byte{1, 2, 4, 'c', 'd', 0, 2, 4, 'a', 'b'})
	f.Add([]byte{0, 255, 255, 0, 255, 255})
	f.Fuzz(func(t *testing.T, script []byte) {
		const maxBytes = 64
		var a answerAssembly
		for len(script) >= 3 {
			m := &wire.AnswerPart{Part: int(int8(script[0])), Parts: int(int8(script[1])), Total: int(int8(script[2]))}
			m.Body = script[3:min(len(script), 3+max(0, min(m.Total, 7)))]
			script = script[3+len(m.Body):]
			whole := a.add(m, maxBytes)
			if whole && (len(a.body()) != m.Total || m.Total > maxBytes) {
				t.Errorf("complete with %d bytes of %d", len(a.body()), m.Total)
			}
			if a.size > max(a.total, 0) || len(a.parts) > max(a.count, 0) {
				t.Errorf("holds %d bytes in %d parts: %+v", a.size, len(a.parts), a)
			}
			if whole {
				a = answerAssembly{}
			}
		}
	})
}
