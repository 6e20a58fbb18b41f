// Package queueconfig holds the operators' configuration of a deployment:
// queues, client accounts and their keys, and zones that are out of service.
package queueconfig

import (
	"strings"
	"time"

	"dragonflyyard/internal/model"
)

// Queue is one queue that callers submit jobs to.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue of a call.
	Host       string
	PathPrefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Priority orders queues; 0 is served first.
	Priority    int
	MaxAttempts int
	// SlackFactor and TargetDuration give the objective of the queue's jobs.
	SlackFactor    float64
	TargetDuration time.Duration
	// Anonymous queues take calls without a key.
	Anonymous bool
	// NeedsAdvice is set when a service of the deployment decides which workers
	// may run a step.
	NeedsAdvice bool
}

// Account is one client account.
type Account struct {
	ID   model.ClientAccountID
	Keys []string
	// GuaranteedAccelerators may always be claimed by jobs of priority 0.
	GuaranteedAccelerators int
}

// Config is the configuration at one version. It does not change.
type Config struct {
	Version  uint64
	Queues   []Queue
	Accounts []Account
	// Services are the names of the services that the configuration declares.
	Services []string
	// MaxBodyBytes bounds the body of a call; 0 if the configuration does not.
	MaxBodyBytes int
	Header       HeaderLimits

	accountByKey map[string]model.ClientAccountID
}

// HeaderLimits bounds what comes before the body of a call. What is 0 is not limited by
// the configuration.
type HeaderLimits struct {
	MaxBytes int
	// Time limits the arrival of a header, and IdleTime the wait for one on an open
	// connection.
	Time, IdleTime time.Duration
}

// New returns a configuration with its indexes.
func New(version uint64, queues []Queue, accounts []Account, maxBodyBytes int) *Config {
	c := &Config{Version: version, Queues: queues, Accounts: accounts, MaxBodyBytes: maxBodyBytes,
		accountByKey: map[string]model.ClientAccountID{}}
	for _, account := range accounts {
		for _, key := range account.Keys {
			c.accountByKey[key] = account.ID
		}
	}
	return c
}

// AccountOf returns the client account that a key belongs to.
func (c *Config) AccountOf(key string) (model.ClientAccountID, bool) {
	id, known := c.accountByKey[key]
	return id, known
}

// Guaranteed returns the accelerators that are guaranteed to each account.
func (c *Config) Guaranteed() map[model.ClientAccountID]int {
	out := make(map[model.ClientAccountID]int, len(c.Accounts))
	for _, account := range c.Accounts {
		out[account.ID] = account.GuaranteedAccelerators
	}
	return out
}

// QueueOf returns the queue with the longest prefix of a path on a host, and
// the rest of the path behind the prefix.
func (c *Config) QueueOf(host, path string) (queue *Queue, rest string, found bool) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if queue == nil || len(q.PathPrefix) > len(queue.PathPrefix) {
			queue, rest = q, path[len(q.PathPrefix):]
		}
	}
	return queue, rest, queue != nil
}
