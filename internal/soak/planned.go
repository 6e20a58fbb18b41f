package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Planned work and what it is done to.
const (
	// slowLink is the bandwidth of the first entry host in bytes per second. A large
	// configuration takes seconds on it.
	slowLink = 300_000
	// largeQueues is the number of idle queues of a large configuration.
	largeQueues = 1800
	// keptConnections is the number of connections kept to each entry host.
	keptConnections = 6
	// keptCallEvery is the pause between two calls on a kept connection.
	keptCallEvery = 100 * time.Millisecond
	// cutAfter is the time after which a call that ends without an answer was read. An
	// earlier end may be that of an idle connection.
	cutAfter = 200 * time.Millisecond
)

// plannedWork are the disturbances during which no call may be cut off.
var plannedWork = []fault{
	{"stop an entry host", func(s *site, random *rand.Rand) func() {
		s.processes[random.IntN(len(s.callers))].terminate()
		return nil
	}},
	{"stop the slow entry host", func(s *site, _ *rand.Rand) func() { s.processes[0].terminate(); return nil }},
	{"stop an agent", func(s *site, random *rand.Rand) func() {
		s.processes[len(s.callers)+random.IntN(len(s.processes)-len(s.callers))].terminate()
		return nil
	}},
	{"reload", signalFault(syscall.SIGHUP)},
	{"change the configuration", func(s *site, _ *rand.Rand) func() {
		s.version++
		// The store refuses nothing here.
		_ = s.store.Seed("op/config", largeConfiguration(s.version))
		return nil
	}},
}

// largeConfiguration returns the configuration of a soak with many idle queues.
func largeConfiguration(version int) []byte {
	var idle strings.Builder
	for i := range largeQueues {
		fmt.Fprintf(&idle, `{"name":"idle-%[1]d","host":"h","path_prefix":"/idle-%[1]d/%[2]s/","service":"s","priority":2,"max_attempts":3,"slack_factor":3,"target_duration_ms":1000},`,
			i, strings.Repeat("x", 400))
	}
	text := strings.Replace(configuration, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	return []byte(strings.Replace(text, `"routes":[`, `"routes":[`+idle.String(), 1))
}

// keepConnection makes calls at one entry host over a connection that it keeps open, and
// checks that none is cut off. A host that refuses connections is tried again.
func (c *callers) keepConnection(ctx context.Context, entry int) {
	client := &fasthttp.HostClient{
		Addr: c.site.callers[entry], MaxConns: 1, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	for n := 0; ctx.Err() == nil; n++ {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(fasthttp.MethodGet)
		path := "/low/"
		if n%2 == 0 {
			path += fmt.Sprintf("%016x", n)
		}
		req.SetRequestURI("http://" + client.Addr + path)
		req.Header.SetHost("h")
		req.UseHostHeader = true
		req.Header.Set("Credential", "k")
		req.Header.Set("Deadline-Ms", fmt.Sprint(callWithin.Milliseconds()))
		sentAt := time.Now()
		err := client.DoTimeout(req, resp, callWithin)
		if took := time.Since(sentAt); err != nil && took > cutAfter {
			c.checker.cut(entry, path, took, err)
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		time.Sleep(keptCallEvery)
	}
}

// cut takes in that a call ended without an answer.
func (c *checker) cut(entry int, path string, after time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks("a call of %s at entry host %d got no answer after %s: %v", path, entry, after.Round(time.Millisecond), err)
}
