package requestflow

import (
	"runtime"
	"testing"

	"dragonflyyard/internal/wire"
)

// TestAnswerParts guards against delivering a body that is incomplete, too long or
// mixed from two answers, when parts are lost, duplicated, reordered or malformed.
func TestAnswerParts(t *testing.T) {
	part := func(n, parts, total int, body string) *wire.AnswerPart {
		return &wire.AnswerPart{Part: n, Parts: parts, Total: total, Status: 200, Body: []byte(body)}
	}
	other := func(m *wire.AnswerPart) *wire.AnswerPart {
		m.Status = 201
		return m
	}
	cases := []struct {
		name  string
		parts []*wire.AnswerPart
		whole string
	}{
		{"one", []*wire.AnswerPart{part(0, 1, 2, "ab")}, "ab"},
		{"empty", []*wire.AnswerPart{part(0, 1, 0, "")}, "-"},
		{"two", []*wire.AnswerPart{part(0, 2, 4, "ab"), part(1, 2, 4, "cd")}, "abcd"},
		{"reordered", []*wire.AnswerPart{part(1, 2, 4, "cd"), part(0, 2, 4, "ab")}, "abcd"},
		{"duplicate", []*wire.AnswerPart{part(0, 2, 4, "ab"), part(0, 2, 4, "ab"), part(1, 2, 4, "cd")}, "abcd"},
		{"cut", []*wire.AnswerPart{part(0, 2, 4, "ab")}, ""},
		{"begun anew with another status", []*wire.AnswerPart{part(0, 2, 4, "ab"), other(part(0, 2, 4, "xx")), other(part(1, 2, 4, "yy"))}, "xxyy"},
		{"parts of two answers", []*wire.AnswerPart{part(0, 2, 4, "ab"), other(part(1, 2, 4, "yy"))}, ""},
		{"shorter than its length", []*wire.AnswerPart{part(0, 1, 3, "ab")}, ""},
		{"longer than its length", []*wire.AnswerPart{part(0, 1, 1, "ab")}, ""},
		{"a part longer than all", []*wire.AnswerPart{part(0, 2, 2, "abcd"), part(1, 2, 2, "e")}, ""},
		{"too long, then whole", []*wire.AnswerPart{part(0, 1, 1, "ab"), part(0, 1, 1, "a")}, "a"},
		{"no parts", []*wire.AnswerPart{part(0, 0, 0, "")}, ""},
		{"negative part", []*wire.AnswerPart{part(-1, 1, 0, "")}, ""},
		{"part beyond the last", []*wire.AnswerPart{part(1, 1, 0, "")}, ""},
		{"negative length", []*wire.AnswerPart{part(0, 1, -1, "")}, ""},
		{"over the limit", []*wire.AnswerPart{part(0, 1, 1<<20+1, "")}, ""},
		{"more parts than bytes", []*wire.AnswerPart{part(0, 3, 1, "")}, ""},
	}
	for _, c := range cases {
		var a answerAssembly
		got := ""
		for _, m := range c.parts {
			if a.add(m, 1<<20) {
				got = string(a.body())
				if got == "" {
					got = "-"
				}
			}
		}
		if got != c.whole {
			t.Errorf("%s: got %q, want %q", c.name, got, c.whole)
		}
	}
}

// TestPartsHoldNoMoreThanWasReceived guards against memory use that an agent can
// inflate: it announces as many parts as the length of the answer allows, and sends
// bodies that are longer than the announced answer.
func TestPartsHoldNoMoreThanWasReceived(t *testing.T) {
	const maxBytes, bound = 64 << 20, 8 << 20
	held := func(fill func(a *answerAssembly)) uint64 {
		var a answerAssembly
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		fill(&a)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(&a)
		return after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
	}
	many := held(func(a *answerAssembly) {
		a.add(&wire.AnswerPart{Part: 0, Parts: maxBytes, Total: maxBytes, Body: []byte("a")}, maxBytes)
	})
	long := held(func(a *answerAssembly) {
		body := make([]byte, wire.MaxPartBytes)
		for i := range 100 {
			a.add(&wire.AnswerPart{Part: i, Parts: 101, Total: 101, Body: body}, maxBytes)
		}
	})
	if many > bound || long > bound {
		t.Errorf("one byte of %d parts retains %d bytes, parts that are too long retain %d bytes", maxBytes, many, long)
	}
}
