package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/standin"
)

// TestStartAtAWorkerThatAnswersNothing tells a start that took effect from one
// that did not, whatever became of its answer: by the worker's list, and not
// before the worker can no longer take the start.
func TestStartAtAWorkerThatAnswersNothing(t *testing.T) {
	for name, answer := range brokenAnswers() {
		t.Run("took effect, "+name, func(t *testing.T) {
			t.Parallel()
			r := newWorkerRig(t)
			var once sync.Once
			r.on("/tasks", func(c standin.RawCall) bool {
				if len(c.Body) == 0 {
					return c.Send(r.take(c))
				}
				once.Do(func() { r.take(c) })
				return answer(c)
			})
			r.start()
			if got := r.reports(); got != "running" || r.starts() != 1 {
				t.Errorf("got %q, %d starts", got, r.starts())
			}
		})
		t.Run("no effect, "+name, func(t *testing.T) {
			t.Parallel()
			r := newWorkerRig(t)
			r.on("/tasks", func(c standin.RawCall) bool {
				if len(c.Body) == 0 {
					return c.Send(r.take(c))
				}
				return answer(c)
			})
			r.start()
			r.pass(testPermit)
			r.caller.observe(context.Background())
			if got := r.reports(); got != "" {
				t.Errorf("while the worker might start the task: got %q", got)
			}
			r.pass(time.Millisecond)
			r.caller.observe(context.Background())
			if got := r.reports(); got != "failed" || r.starts() != 0 {
				t.Errorf("got %q, %d starts", got, r.starts())
			}
		})
	}
}

// TestStartThatArrivesLate holds a start up on its way for longer than the
// agent waits.
func TestStartThatArrivesLate(t *testing.T) {
	cases := []struct {
		name   string
		late   time.Duration
		want   string
		starts int
	}{
		{"inside the permit", testPermit, "running", 1},
		{"after the permit", testPermit + time.Millisecond, "failed", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newWorkerRig(t)
			r.caller.client.client.timeout = backendTimeout
			held := make(chan standin.RawCall, 1)
			r.on("/tasks", func(c standin.RawCall) bool {
				if len(c.Body) == 0 {
					return c.Send(r.take(c))
				}
				held <- c
				return true
			})
			r.start()
			r.caller.client.client.timeout = limit
			if got := r.reports(); got != "" {
				t.Fatalf("got %q before the start arrived", got)
			}
			r.pass(c.late)
			r.take(<-held)
			r.caller.observe(context.Background())
			if got := r.reports(); got != c.want || r.starts() != c.starts {
				t.Errorf("got %q, %d starts; want %q, %d", got, r.starts(), c.want, c.starts)
			}
		})
	}
}

func TestStartThatTheWorkerDidNotTake(t *testing.T) {
	refused := func(r *workerRig) { r.on("/tasks", standin.Always(standin.Whole(409, "", "full"))) }
	cases := []struct {
		name   string
		before func(*workerRig)
		want   string
	}{
		{"refused", refused, "start failed"},
		{"connection refused", func(r *workerRig) { r.connect(unreachableAddress) }, "start failed"},
		{"permit over", func(r *workerRig) { r.pass(testPermit) }, "start failed"},
		{"taken", func(*workerRig) {}, "running"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newWorkerRig(t)
			c.before(r)
			r.start()
			if got := r.reports(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if isKnown := r.caller.known[testTask] != nil; isKnown != (c.want == "running") || (r.starts() == 1) != isKnown {
				t.Errorf("known %v, %d starts", isKnown, r.starts())
			}
		})
	}
}
