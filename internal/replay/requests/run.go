package requests

import (
	"fmt"
	"io"
	"runtime"
	"sort"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
)

// Seeds is how many fixed seeds each scenario is replayed with.
const Seeds = 10

// accountResult counts one account's outcomes of one run, or of several.
type accountResult struct {
	offered, answered, notRun, unknown, failed int
	// idempotentLost counts idempotent requests that ended as failed or unknown.
	idempotent, idempotentLost int
	latencies                  []time.Duration
}

func (a *accountResult) add(o *accountResult) {
	a.offered += o.offered
	a.answered += o.answered
	a.notRun += o.notRun
	a.unknown += o.unknown
	a.failed += o.failed
	a.idempotent += o.idempotent
	a.idempotentLost += o.idempotentLost
	a.latencies = append(a.latencies, o.latencies...)
}

// quantile returns the latency below which the share q of the answers lies.
func (a *accountResult) quantile(q float64) time.Duration {
	if len(a.latencies) == 0 {
		return 0
	}
	sort.Slice(a.latencies, func(i, j int) bool { return a.latencies[i] < a.latencies[j] })
	return a.latencies[int(q*float64(len(a.latencies)-1))]
}

// result is the outcome of one run of one scenario under one policy.
type result struct {
	accounts map[model.ClientAccountID]*accountResult
	// starts counts starts on backend servers, claims the Claim messages sent.
	starts, claims int
	// offered counts all arrivals, requests those with another outcome than not run.
	offered, requests int
}

func (r *result) total() *accountResult {
	sum := &accountResult{}
	for _, p := range profiles() {
		if a := r.accounts[p.account]; a != nil {
			sum.add(a)
		}
	}
	return sum
}

// goodput returns the answers in time, a second.
func (r *result) goodput() float64 {
	return float64(r.total().answered) / (listLength - measureFrom).Seconds()
}

// startsPerRequest returns how often backend servers started work for each
// request, without those that were not run.
func (r *result) startsPerRequest() float64 { return float64(r.starts) / float64(max(1, r.requests)) }

// drainTime is longer than the longest deadline.
const drainTime = 3500 * time.Millisecond

// replay runs one scenario with one seed.
func replay(s scenario, p policy, seed uint64) *result {
	out := &result{accounts: map[model.ClientAccountID]*accountResult{}}
	arrivals := list(s, seed)
	f := newFleet(s, p, seed)
	f.onFinish = func(done requestflow.Finish) { out.record(f.arrivals[done.Request], done, f.clock.Now()) }
	for i := range arrivals {
		a := &arrivals[i]
		f.arrivals[a.request.ID] = a
		f.clock.At(a.at, func() {
			f.stepEntry(a.entry, requestflow.Submit{Request: a.request, Caller: requestflow.Caller(i + 1)})
		})
	}
	f.clock.At(faultAt, f.fail)
	f.clock.Run(listLength + drainTime)
	out.starts = f.starts
	out.claims = f.claims
	out.offered = len(arrivals)
	return out
}

func (r *result) record(a *arrival, done requestflow.Finish, now time.Time) {
	if done.Outcome.Kind != model.OutcomeNotRun {
		r.requests++
	}
	if a.at < measureFrom {
		return
	}
	account := r.accounts[a.request.Account]
	if account == nil {
		account = &accountResult{}
		r.accounts[a.request.Account] = account
	}
	account.offered++
	inTime := !now.After(a.request.Deadline)
	lost := false
	switch done.Outcome.Kind {
	case model.OutcomeAnswered:
		if inTime {
			account.answered++
			account.latencies = append(account.latencies, now.Sub(replayEpoch.Add(warmUp+a.at)))
		}
	case model.OutcomeNotRun:
		account.notRun++
	case model.OutcomeBackendFailed:
		account.failed++
		lost = true
	default:
		account.unknown++
		lost = true
	}
	if a.request.Idempotent {
		account.idempotent++
		if lost {
			account.idempotentLost++
		}
	}
}

// doesNotFlood reports whether an account is another than the one that floods in
// the flood scenario, the first.
func doesNotFlood(id model.ClientAccountID) bool { return id != profiles()[0].account }

// Scenario names that the targets refer to.
const (
	scenarioCapacity = "load 1.0"
	scenarioOverload = "load 3.0"
	scenarioQuiet    = "no flood"
	scenarioFlood    = "flood"
	scenarioFailing  = "one fails all"
)

func scenarios() []scenario {
	return []scenario{
		{name: "load 0.5", load: 0.5},
		{name: "load 0.9", load: 0.9},
		{name: scenarioCapacity, load: 1},
		{name: "load 1.5", load: 1.5},
		{name: scenarioOverload, load: 3},
		{name: "one slow", load: 0.8, slow: true},
		{name: scenarioFailing, load: 0.8, failed: true},
		{name: "three lost", load: 0.6, lost: true},
		{name: "large burst", load: 0.7, burst: &burst{at: 2 * time.Second, count: 100}},
		{name: scenarioQuiet, load: 0.5, only: doesNotFlood},
		{name: scenarioFlood, load: 0.5, flood: 3},
	}
}

// key names one cell of the report.
type key struct {
	scenario, policy string
}

// replayAll runs every given scenario, policy and seed, several at a time. The
// result depends on the seeds alone.
func replayAll(chosen []scenario, by []policy, seeds int) (map[key][]*result, error) {
	results := map[key][]*result{}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for _, s := range chosen {
		for _, p := range by {
			runs := make([]*result, seeds)
			results[key{s.name, p.name}] = runs
			for i := range runs {
				group.Go(func() error {
					runs[i] = replay(s, p, uint64(i+1))
					return nil
				})
			}
		}
	}
	return results, group.Wait()
}

// Run replays all scenarios and prints one table.
func Run(w io.Writer) error {
	results, err := replayAll(scenarios(), policies(), Seeds)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "Request path: %d backend servers of %d slots, %d entry hosts, %d seeds, %.0f requests a second at capacity\n",
		serverCount, serverSlots, entryCount, Seeds, capacity())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\tgoodput/s\tmin\tmax\tp50 ms\tp99 ms\tnot run %\tunknown %\tfailed %\tidempotent lost %\tstarts/request\tclaims/request\t")
	for _, s := range scenarios() {
		for _, p := range policies() {
			writeRow(t, key{s.name, p.name}, results[key{s.name, p.name}])
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeAccounts(w, results)
}

func writeRow(w io.Writer, k key, runs []*result) {
	sum := &accountResult{}
	var goodput []float64
	starts, claims, requests, offered := 0, 0, 0, 0
	for _, r := range runs {
		sum.add(r.total())
		goodput = append(goodput, r.goodput())
		starts += r.starts
		claims += r.claims
		offered += r.offered
		requests += r.requests
	}
	sort.Float64s(goodput)
	fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.2f\t\n", k.scenario, k.policy,
		mean(goodput), goodput[0], goodput[len(goodput)-1], ms(sum.quantile(0.5)), ms(sum.quantile(0.99)),
		percent(sum.notRun, sum.offered), percent(sum.unknown, sum.offered), percent(sum.failed, sum.offered),
		percent(sum.idempotentLost, sum.idempotent), float64(starts)/float64(max(1, requests)), float64(claims)/float64(max(1, offered)))
}

// writeAccounts prints the figures of each account where one floods and at overload.
func writeAccounts(w io.Writer, results map[key][]*result) error {
	fmt.Fprintln(w, "\nBy client account")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\taccount\tanswered %\tp50 ms\tp99 ms\tnot run %\tunknown %\t")
	for _, name := range []string{scenarioOverload, scenarioQuiet, scenarioFlood} {
		for _, p := range policies() {
			for _, profile := range profiles() {
				a := accountOf(results[key{name, p.name}], profile.account)
				if a.offered == 0 {
					continue
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t\n", name, p.name, profile.account,
					percent(a.answered, a.offered), ms(a.quantile(0.5)), ms(a.quantile(0.99)),
					percent(a.notRun, a.offered), percent(a.unknown, a.offered))
			}
		}
	}
	return t.Flush()
}

func accountOf(runs []*result, account model.ClientAccountID) *accountResult {
	sum := &accountResult{}
	for _, r := range runs {
		if a := r.accounts[account]; a != nil {
			sum.add(a)
		}
	}
	return sum
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
