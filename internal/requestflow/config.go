package requestflow

import (
	"cmp"
	"time"

	"dragonflyyard/internal/model"
)

// Config holds the limits of a Core. Zero fields take the value of DefaultConfig.
type Config struct {
	Entry model.EntryID
	// Incarnation is the entry host's life. Claim tokens grow with it.
	Incarnation model.Incarnation
	Zone        model.AvailabilityZoneName
	// ClockSkewBound is the largest difference between any two processes' clocks.
	ClockSkewBound time.Duration
	// MaxRequests bounds the requests held at the same time, over all accounts.
	MaxRequests int
	// MaxQueuedPerAccount bounds the waiting requests of an account whose own
	// configuration sets no limit.
	MaxQueuedPerAccount int
	// MaxCallers bounds the callers that wait for one request.
	MaxCallers int
	// MaxAnswerBytes bounds one answer.
	MaxAnswerBytes int
	// ClaimTimeout is how long a claim waits for the home's reply before it is sent again.
	ClaimTimeout time.Duration
	// ProbeInterval is how often an executor is asked about an unanswered request.
	ProbeInterval time.Duration
	// ResolveTimeout is how long a request whose executor is not connected waits
	// for a new connection.
	ResolveTimeout time.Duration
	// ReconnectGrace is how long an idempotent request whose executor's connection
	// was lost waits for a new connection before it is dispatched again.
	ReconnectGrace time.Duration
	// SealTimeout is how long a request that is given up waits for its seal.
	SealTimeout time.Duration
	// TickInterval is the longest time between two Tick inputs.
	TickInterval time.Duration
	// MaxAttempts bounds the dispatches of one idempotent request.
	MaxAttempts int
	// DisableAdmission and DisableRetryBudget turn a policy off, for baselines.
	DisableAdmission   bool
	DisableRetryBudget bool
	// FIFO serves in order of arrival, whatever the account, for baselines.
	FIFO bool
	// RandomRouting replaces least-loaded routing and ejection, for baselines.
	RandomRouting bool
	// Trace, if set, is told each transition of the request and backend charts.
	Trace func(TraceStep)
	// Seed seeds the random choices of routing.
	Seed uint64
}

// DefaultConfig returns the limits that an entry host uses unless set otherwise.
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
