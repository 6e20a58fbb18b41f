package link

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// TestOutboxKeepsOrderAndBound compares an outbox with a plain list.
func TestOutboxKeepsOrderAndBound(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3*keptOutgoing).Draw(t, "limit")
		o := newOutbox(limit)
		var want []int64
		next := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				for range rapid.IntRange(1, 2*keptOutgoing).Draw(t, "count") {
					next++
					if taken := o.push(outgoing{bytes: next}); taken != (len(want) < limit) {
						t.Fatalf("push with %d of %d waiting: %v", len(want), limit, taken)
					} else if taken {
						want = append(want, next)
					}
				}
			},
			"take": func(t *rapid.T) {
				got := o.take(nil, rapid.IntRange(1, 2*keptOutgoing).Draw(t, "most"))
				for i, item := range got {
					if item.bytes != want[i] {
						t.Fatalf("message %d in place of %d", item.bytes, want[i])
					}
				}
				want = want[len(got):]
			},
			"": func(t *rapid.T) {
				if len(want) > 0 && len(o.ready) == 0 {
					t.Fatalf("%d messages wait and no token says so", len(want))
				}
				if len(want) == 0 && cap(o.items) > keptOutgoing {
					t.Fatalf("an empty outbox keeps room for %d messages", cap(o.items))
				}
			},
		})
	})
}
