package proctest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/standin"
)

// hopBody is the size of the requests that are measured.
const hopBody = 1 << 10

// BenchmarkHop measures what the path through an entry host and an agent adds
// over calling the stand-in backend server directly, in one run: the latency of
// one caller at a time (p50, p99 and their ratios), requests a second of many
// callers through one entry host, and each process's allocations and processor
// time for a request.
func BenchmarkHop(b *testing.B) {
	for _, level := range []string{"info", "warn"} {
		b.Run("log="+level, func(b *testing.B) { benchmarkHop(b, level) })
	}
}

func benchmarkHop(b *testing.B, logLevel string) {
	c := startClusterAt(b, logLevel, 1, 3, 0)
	c.awaitSettled()
	client := &fasthttp.Client{MaxConnsPerHost: 1024, ReadTimeout: limit, MaxIdemponentCallAttempts: 1}
	body := []byte(strings.Repeat("x", hopBody))
	direct := func(i int) error { return hopCall(client, c.agents[i%len(c.agents)].backend, standin.PathRun, body) }
	through := func(int) error { return hopCall(client, c.entries[0].http, callerapi.PathRequests, body) }
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			directTimes, directTook := hopLoad(b, callers, b.N, direct)
			before := c.usage()
			throughTimes, throughTook := hopLoad(b, callers, b.N, through)
			after := c.usage()
			report := func(name string, q float64) {
				d, t := quantile(directTimes, q), quantile(throughTimes, q)
				b.ReportMetric(float64(d.Microseconds()), "direct-"+name+"-us")
				b.ReportMetric(float64(t.Microseconds()), "through-"+name+"-us")
				b.ReportMetric(float64(t)/float64(d), name+"-ratio")
			}
			report("p50", 0.50)
			report("p99", 0.99)
			b.ReportMetric(float64(b.N)/directTook.Seconds(), "direct-req/s")
			b.ReportMetric(float64(b.N)/throughTook.Seconds(), "through-req/s")
			for _, role := range []string{"entry", "agents"} {
				used := after[role].minus(before[role])
				b.ReportMetric(used.mallocs/float64(b.N), role+"-allocs/req")
				b.ReportMetric(used.cpuMicros/float64(b.N), role+"-cpu-us/req")
			}
		})
	}
}

// hopCall sends one request with a fresh ID; a backend server ignores the headers.
func hopCall(client *fasthttp.Client, address, path string, body []byte) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(callerapi.HeaderRequestID, newRequest(false).id)
	request.Header.Set(callerapi.HeaderAccount, account)
	request.Header.Set(callerapi.HeaderIdempotent, "false")
	request.SetBodyRaw(body)
	if err := client.Do(request, response); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK || len(response.Body()) != len(body) {
		return fmt.Errorf("status %d, %d bytes: %.200s", response.StatusCode(), len(response.Body()), response.Body())
	}
	return nil
}

// hopLoad makes count calls from several callers and returns the sorted times.
func hopLoad(b *testing.B, callers, count int, call func(int) error) ([]time.Duration, time.Duration) {
	times := make([]time.Duration, count)
	var running sync.WaitGroup
	started := time.Now()
	for caller := range callers {
		running.Go(func() {
			for i := caller; i < count; i += callers {
				began := time.Now()
				if err := call(i); err != nil {
					b.Error(err)
					return
				}
				times[i] = time.Since(began)
			}
		})
	}
	running.Wait()
	took := time.Since(started)
	slices.Sort(times)
	return times, took
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return max(sorted[int(q*float64(len(sorted)-1))], 1)
}

// processUsage is what processes have used so far.
type processUsage struct{ mallocs, cpuMicros float64 }

func (u processUsage) minus(o processUsage) processUsage {
	return processUsage{u.mallocs - o.mallocs, u.cpuMicros - o.cpuMicros}
}

// usage returns the use of the entry hosts and of the agents, each in sum.
func (c *cluster) usage() map[string]processUsage {
	c.t.Helper()
	sums := map[string]processUsage{}
	for role, procs := range map[string][]*proc{"entry": c.entries, "agents": c.agents} {
		for _, p := range procs {
			var answer map[string]struct{ Value float64 }
			c.await("the metrics of "+p.name, func() bool { return c.getJSON(p.http, "/metrics", &answer) })
			sum := sums[role]
			sum.mallocs += answer["process.mallocs"].Value
			sum.cpuMicros += answer["process.cpu_us"].Value
			sums[role] = sum
		}
	}
	return sums
}
