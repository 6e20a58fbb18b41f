package proctest

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyyard/internal/audit"
	"dragonflyyard/internal/standin"
)

// Fault switches of backend servers.
var (
	standinHealthy      = standin.HostFaults{}
	standinFailsAll     = standin.HostFaults{FailAll: true}
	standinLosesAnswers = standin.HostFaults{Faults: standin.Faults{LoseAnswers: -1}}
)

// load is a set of callers that send requests, half of them idempotent, until
// it is stopped. Like the platform's balancer it sends only to entry hosts
// whose health check passes.
type load struct {
	c       *cluster
	healthy atomic.Pointer[[]*proc]
	stopped chan struct{}
	running sync.WaitGroup
	answers [][]audit.Answer
}

// load starts callers.
func (c *cluster) load(callers int) *load {
	l := &load{c: c, stopped: make(chan struct{}), answers: make([][]audit.Answer, callers)}
	l.healthy.Store(&c.entries)
	l.running.Go(l.balance)
	for caller := range callers {
		l.running.Go(func() { l.call(caller) })
	}
	return l
}

// stop ends the load and returns all answers.
func (l *load) stop() []audit.Answer {
	close(l.stopped)
	l.running.Wait()
	return slices.Concat(l.answers...)
}

func (l *load) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// balance asks for the entry hosts' health as a balancer does.
func (l *load) balance() {
	const interval = 50 * time.Millisecond
	for !l.isStopped() {
		var healthy []*proc
		for _, entry := range l.c.entries {
			if l.c.status(entry.http, "/healthz") == http.StatusOK {
				healthy = append(healthy, entry)
			}
		}
		l.healthy.Store(&healthy)
		time.Sleep(interval)
	}
}

func (l *load) call(caller int) {
	for i := 0; !l.isStopped(); i++ {
		entries := *l.healthy.Load()
		if len(entries) == 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		entry := entries[(caller+i)%len(entries)]
		l.answers[caller] = append(l.answers[caller], l.c.post(entry, newRequest(i%2 == 0)))
	}
}

// awaitStarts waits until the backend servers started count more requests.
func (c *cluster) awaitStarts(count int) {
	c.t.Helper()
	before := len(c.ran())
	c.await("more requests to start", func() bool { return len(c.ran()) >= before+count })
}

// check holds the answers against what the backend servers truly ran. An
// answer may be missing only when its entry host was killed.
func (c *cluster) check(answers []audit.Answer) {
	c.t.Helper()
	for _, problem := range audit.Check(answers, c.ran()) {
		c.t.Error(problem)
	}
	c.t.Logf("outcomes: %v", audit.Kinds(answers))
}
