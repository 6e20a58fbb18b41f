// Package coretest is what the tests of several packages have in common: results that
// reach a core late, calls that do not wait, and a server on loopback. Only tests
// import it.
package coretest

import (
	"context"
	"time"
)

// Cancelled returns a context that is over: a call that would wait gives up at once.
func Cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Delayed holds messages until they are due. The zero value holds none.
type Delayed[T any] struct{ waiting []delayed[T] }

type delayed[T any] struct {
	due     time.Time
	message T
}

// Add holds a message until it is due.
func (d *Delayed[T]) Add(due time.Time, message T) {
	d.waiting = append(d.waiting, delayed[T]{due: due, message: message})
}

// Deliver passes on the messages that are due, in the order in which they were
// added. A message that is added meanwhile waits for the next call.
func (d *Delayed[T]) Deliver(now time.Time, pass func(T)) {
	waiting := d.waiting
	d.waiting = nil
	for _, m := range waiting {
		if m.due.After(now) {
			d.waiting = append(d.waiting, m)
			continue
		}
		pass(m.message)
	}
}
