package entry_test

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/audit"
	"dragonflyyard/internal/wire"
)

// load sends requests through all entry hosts from several callers at a time,
// until stop is closed. The returned function waits for them and returns what
// each got.
func (r *region) load(callers int, stop <-chan struct{}) func() []audit.Answer {
	var running sync.WaitGroup
	answers := make([][]audit.Answer, callers)
	for caller := range callers {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				answers[caller] = append(answers[caller], r.post((caller+i)%len(r.entries), newCall(i%2 == 0)))
			}
		})
	}
	return func() []audit.Answer {
		running.Wait()
		return slices.Concat(answers...)
	}
}

// check holds the answers against what the backend servers truly ran. It
// returns how many requests were answered.
func (r *region) check(answers []audit.Answer) int {
	r.tb.Helper()
	for _, problem := range audit.Check(answers, r.ran()) {
		r.tb.Error(problem)
	}
	kinds := audit.Kinds(answers)
	if kinds[""] > 0 {
		r.tb.Errorf("%d answers without an outcome", kinds[""])
	}
	return kinds["answered"]
}

func TestEveryRequestIsAnsweredWholeAndRunOnce(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 2, agents: 3, serviceTime: time.Millisecond})
	stop := make(chan struct{})
	wait := r.load(8, stop)
	r.await("200 starts", func() bool { return len(r.ran()) > 200 })
	close(stop)
	results := wait()
	if answered := r.check(results); answered != len(results) {
		t.Errorf("%d of %d requests answered without any fault", answered, len(results))
	}
	for _, backend := range r.backends {
		if most := backend.Ran().MostAtOnce; most > 8 {
			t.Errorf("%d requests at the same time on 8 slots", most)
		}
	}
}

func TestLargeBodiesTravelInPartsAndArriveWhole(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 1, agents: 1})
	for _, size := range []int{0, 1, wire.MaxPartBytes, wire.MaxPartBytes + 1, 3 << 20} {
		c := newCall(false)
		c.body = strings.Repeat("ab", size/2) + strings.Repeat("c", size%2)
		if a := r.post(0, c); a.Status != 200 || a.Body != c.body {
			t.Errorf("body of %d bytes: status %d, %d bytes back, outcome %s", size, a.Status, len(a.Body), a.Outcome)
		}
	}
}

func TestSameIDThroughAnotherEntryHostFindsTheFirstRun(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 2, agents: 3, serviceTime: 100 * time.Millisecond})
	for _, idempotent := range []bool{false, true} {
		c := newCall(idempotent)
		var running sync.WaitGroup
		answers := make([]audit.Answer, 2)
		for i := range answers {
			running.Go(func() { answers[i] = r.post(i, c) })
		}
		running.Wait()
		answers = append(answers, r.post(0, c), r.post(1, c))
		for i, a := range answers {
			if a.Status != 200 || a.Body != c.body {
				t.Errorf("idempotent %v, answer %d: %+v", idempotent, i, a)
			}
		}
		if starts := r.ran()[c.id]; starts != 1 {
			t.Errorf("idempotent %v: %d starts", idempotent, starts)
		}
		c.body = "another body"
		if a := r.post(1, c); a.Status != 409 || a.Outcome != "refused" {
			t.Errorf("the same ID with another body: %+v", a)
		}
	}
}

func TestConnectionsCutUnderLoad(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 2, agents: 3, serviceTime: 2 * time.Millisecond, boxed: true})
	stop := make(chan struct{})
	wait := r.load(8, stop)
	for range 5 {
		before := len(r.ran())
		r.await("more starts", func() bool { return len(r.ran()) > before+50 })
		for _, box := range r.boxes {
			box.Cut()
		}
	}
	before := len(r.ran())
	r.await("starts after the last cut", func() bool { return len(r.ran()) > before+50 })
	close(stop)
	results := wait()
	if answered := r.check(results); answered == 0 {
		t.Error("nothing was answered")
	}
}

func TestSilentConnectionsUnderLoad(t *testing.T) {
	cases := []struct {
		name     string
		up, down bool
	}{{"both ways", true, true}, {"agents unheard", true, false}, {"entry hosts unheard", false, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := startRegion(t, regionOptions{entries: 2, agents: 3, serviceTime: 2 * time.Millisecond, boxed: true})
			stop := make(chan struct{})
			wait := r.load(8, stop)
			before := len(r.ran())
			r.await("more starts", func() bool { return len(r.ran()) > before+50 })
			for _, box := range r.boxes {
				box.Silence(c.up, c.down)
			}
			// New connections work; the silent ones stay silent for good.
			r.await("starts over new connections", func() bool { return len(r.ran()) > before+300 })
			close(stop)
			r.check(wait())
			if lost := r.lostLinks(); lost == 0 {
				t.Error("no silent connection was given up")
			}
		})
	}
}

func (r *region) lostLinks() int {
	lost := 0
	for _, p := range r.entries {
		for _, e := range p.Log.Events() {
			if strings.HasPrefix(e.Detail, "link: peer") {
				lost++
			}
		}
	}
	for _, p := range r.agents {
		for _, e := range p.Log.Events() {
			if strings.HasPrefix(e.Detail, "link: peer") {
				lost++
			}
		}
	}
	return lost
}
