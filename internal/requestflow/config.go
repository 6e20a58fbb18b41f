package requestflow

import (
	"cmp"
	"time"

	"dragonflyyard/internal/model"
)

// Config holds the settings and limits of a Core. Limits that are zero take the
// value of DefaultConfig.
type Config struct {
	Entry model.EntryID
	// Incarnation identifies the run of the entry host's process. It increases with
	// each restart, and claim tokens increase with it.
	Incarnation model.Incarnation
	Zone        model.AvailabilityZoneName
	// ClockSkewBound is the largest difference between the clocks of two processes.
	ClockSkewBound time.Duration
	// MaxRequests bounds the queued requests of all accounts. Requests and queries
	// in flight together are bounded by twice this number.
	MaxRequests int
	// MaxQueuedPerAccount bounds the queued requests of an account whose own
	// configuration sets no limit.
	MaxQueuedPerAccount int
	// MaxCallers bounds the callers that wait for one request.
	MaxCallers int
	// MaxAnswerBytes bounds the length of one answer.
	MaxAnswerBytes int
	// ClaimTimeout is how long a claim waits for the home's reply before it is sent again.
	ClaimTimeout time.Duration
	// ProbeInterval is the time between two look-ups of an unanswered request at its
	// executor.
	ProbeInterval time.Duration
	// ResolveTimeout is how long a request whose executor is not connected waits
	// for a new connection.
	ResolveTimeout time.Duration
	// ReconnectGrace is how long an idempotent request whose executor's connection
	// was lost waits for a new connection before it is retried elsewhere.
	ReconnectGrace time.Duration
	// SealTimeout is how long a request that was given up waits for the home's seal
	// before its outcome is unknown.
	SealTimeout time.Duration
	// TickInterval is the longest time between two Tick inputs, and so the
	// resolution of all timers.
	TickInterval time.Duration
	// MaxAttempts bounds the dispatches of one idempotent request, and the executors
	// tried for any request.
	MaxAttempts int
	// DisableAdmission and DisableRetryBudget turn admission control or the retry
	// budget off, for baseline runs.
	DisableAdmission   bool
	DisableRetryBudget bool
	// FIFO serves all accounts in order of arrival instead of by fair share, for
	// baseline runs.
	FIFO bool
	// RandomRouting replaces least-loaded routing and ejection by a random choice,
	// for baseline runs.
	RandomRouting bool
	// Trace, if set, is called with each transition of the request and backend charts.
	Trace func(TraceStep)
	// Seed initializes the random generator of routing.
	Seed uint64
}

// DefaultConfig returns the limits that apply where a Config sets none.
func DefaultConfig() Config {
	return Config{
		ClockSkewBound:      500 * time.Millisecond,
		MaxRequests:         4096,
		MaxQueuedPerAccount: 512,
		MaxCallers:          8,
		MaxAnswerBytes:      8 << 20,
		ClaimTimeout:        100 * time.Millisecond,
		ProbeInterval:       time.Second,
		ResolveTimeout:      5 * time.Second,
		ReconnectGrace:      300 * time.Millisecond,
		SealTimeout:         300 * time.Millisecond,
		TickInterval:        20 * time.Millisecond,
		MaxAttempts:         3,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.ClockSkewBound = cmp.Or(c.ClockSkewBound, d.ClockSkewBound)
	c.MaxRequests = cmp.Or(c.MaxRequests, d.MaxRequests)
	c.MaxQueuedPerAccount = cmp.Or(c.MaxQueuedPerAccount, d.MaxQueuedPerAccount)
	c.MaxCallers = cmp.Or(c.MaxCallers, d.MaxCallers)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, d.MaxAnswerBytes)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, d.ClaimTimeout)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, d.ProbeInterval)
	c.ResolveTimeout = cmp.Or(c.ResolveTimeout, d.ResolveTimeout)
	c.ReconnectGrace = cmp.Or(c.ReconnectGrace, d.ReconnectGrace)
	c.SealTimeout = cmp.Or(c.SealTimeout, d.SealTimeout)
	c.TickInterval = cmp.Or(c.TickInterval, d.TickInterval)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, d.MaxAttempts)
	return c
}
