package proctest

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

func TestRequestsThroughTwoEntryHostsAndThreeAgents(t *testing.T) {
	c := startCluster(t, 2, 3, time.Millisecond)
	const clients, each = 8, 25
	var running sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]bool{}
	for client := range clients {
		entry := c.entries[client%len(c.entries)]
		running.Go(func() {
			for range each {
				r := newRequest(true)
				a := c.post(entry, r)
				if a.status != http.StatusOK || a.outcome != "answered" || a.body != r.body {
					t.Errorf("request %s: got %+v", r.id, a)
				}
				mu.Lock()
				sent[r.id] = true
				mu.Unlock()
			}
		})
	}
	running.Wait()
	ran := c.ran()
	for id := range sent {
		if ran[id] != 1 {
			t.Errorf("request %s started %d times", id, ran[id])
		}
	}
}
