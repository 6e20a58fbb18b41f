package tablestore

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Limits of the platform's services for all processes together, in calls a second.
const (
	// MaxWritesPerSecond bounds transactions and stored objects.
	MaxWritesPerSecond = 300
	// MaxReadsPerSecond bounds reads of rows, lists and objects.
	MaxReadsPerSecond = 2000
)

// Shares of a process that is not yet a confirmed member of the roster, in
// calls a second.
const (
	newcomerWrites = 5
	newcomerReads  = 30
)

// Options are the settings of a Client.
type Options struct {
	// TableURL and ObjectURL are the base URLs of the two services.
	TableURL  string
	ObjectURL string
	// CallTimeout bounds one call; Timeout bounds an operation with its retries.
	CallTimeout      time.Duration
	OperationTimeout time.Duration
	Breaker          BreakerLimits
	Retry            RetryLimits
	// MaxBatch bounds the transactions in one commit call.
	MaxBatch int
	// MaxConcurrentCommits bounds the commit calls under way at the same time.
	MaxConcurrentCommits int
	// MaxQueued bounds the transactions that wait for a commit call.
	MaxQueued int
	// Random returns a number from 0 up to 1.
	Random func() float64
	Now    func() time.Time
	// Metrics takes the client's counters; it may be nil.
	Metrics metrics.Registry
}

// DefaultOptions returns the options of the product for two base URLs.
func DefaultOptions(tableURL, objectURL string) Options {
	return Options{
		TableURL:         tableURL,
		ObjectURL:        objectURL,
		CallTimeout:      500 * time.Millisecond,
		OperationTimeout: 1500 * time.Millisecond,
		Breaker:          BreakerLimits{FailureThreshold: 5, OpenDuration: 600 * time.Millisecond},
		Retry: RetryLimits{
			InitialBackoff: 50 * time.Millisecond,
			MaxBackoff:     400 * time.Millisecond,
			MaxAttempts:    3,
			BudgetRatio:    0.1,
			BudgetMax:      10,
		},
		MaxBatch:             64,
		MaxConcurrentCommits: 4,
		MaxQueued:            1024,
		Random:               rand.Float64,
		Now:                  time.Now,
	}
}
