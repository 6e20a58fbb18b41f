package tablestore

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Rate limits of the platform's services, shared by all processes.
const (
	// MaxWritesPerSecond bounds transactions and object puts.
	MaxWritesPerSecond = 300
	// MaxReadsPerSecond bounds reads of rows, row lists and objects.
	MaxReadsPerSecond = 2000
)

// Rate shares of a process that is not yet a confirmed member of the roster.
const (
	unconfirmedWritesPerSecond = 5
	unconfirmedReadsPerSecond  = 30
)

// Options are the settings of a Client.
type Options struct {
	// TableURL and ObjectURL are the base URLs of the two services.
	TableURL  string
	ObjectURL string
	// CallTimeout bounds one call; OperationTimeout bounds an operation including
	// its retries.
	CallTimeout      time.Duration
	OperationTimeout time.Duration
	Breaker          BreakerLimits
	Retry            RetryLimits
	// MaxBatch bounds the transactions in one commit call.
	MaxBatch int
	// MaxConcurrentCommits bounds the commit calls in flight.
	MaxConcurrentCommits int
	// MaxQueued bounds the queue of transactions waiting for a commit call.
	MaxQueued int
	// Random returns a number in [0, 1).
	Random func() float64
	Now    func() time.Time
	// Metrics is the registry for the client's counters; it may be nil.
	Metrics metrics.Registry
}

// DefaultOptions returns the production settings for the given base URLs.
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
