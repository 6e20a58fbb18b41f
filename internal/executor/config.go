package executor

import (
	"cmp"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
)

// Config holds the identity and limits of a Core. Limits that are zero take their
// value from DefaultConfig.
type Config struct {
	ID          model.BackendServerID
	Incarnation model.Incarnation
	// Started is the start time of the process by its wall clock.
	Started time.Time
	// Slots and Connections are the backend server's own limits.
	Slots       int
	Connections int
	// ClockSkewBound bounds the difference between any two processes' clocks.
	ClockSkewBound time.Duration
	// LongestPermit is the longest validity of a permit that entry hosts issue:
	// permit.LongestValidity.
	LongestPermit time.Duration
	// Horizon is how long claims and requests are kept after their ID was minted.
	Horizon time.Duration
	// MaxRecords bounds the number of kept claims and, separately, of kept requests.
	MaxRecords int
	// AnswerTTL and MaxAnswerBytes bound the kept answers.
	AnswerTTL      time.Duration
	MaxAnswerBytes int
	// MaxBodyBytes bounds one request body, MaxPartialBytes the total of all
	// incomplete ones.
	MaxBodyBytes    int
	MaxPartialBytes int
	// MaxWaiters bounds the connections that wait for the answer of one request.
	MaxWaiters int
	// LeaveLinger is how long a stopping agent keeps running at least, to answer
	// late messages.
	LeaveLinger time.Duration
	// MaxLinger bounds the graceful stop, measured from the end of the last started
	// request.
	MaxLinger time.Duration
}

// DefaultConfig returns the limits that an agent uses unless configured otherwise.
func DefaultConfig() Config {
	return Config{
		Slots:           8,
		Connections:     64,
		ClockSkewBound:  500 * time.Millisecond,
		LongestPermit:   permit.LongestValidity,
		Horizon:         5 * time.Minute,
		MaxRecords:      200_000,
		AnswerTTL:       time.Minute,
		MaxAnswerBytes:  64 << 20,
		MaxBodyBytes:    8 << 20,
		MaxPartialBytes: 32 << 20,
		MaxWaiters:      4,
		LeaveLinger:     time.Second,
		MaxLinger:       20 * time.Second,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.Slots = cmp.Or(c.Slots, d.Slots)
	c.Connections = cmp.Or(c.Connections, d.Connections)
	c.ClockSkewBound = cmp.Or(c.ClockSkewBound, d.ClockSkewBound)
	c.LongestPermit = cmp.Or(c.LongestPermit, d.LongestPermit)
	c.Horizon = cmp.Or(c.Horizon, d.Horizon)
	c.MaxRecords = cmp.Or(c.MaxRecords, d.MaxRecords)
	c.AnswerTTL = cmp.Or(c.AnswerTTL, d.AnswerTTL)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, d.MaxAnswerBytes)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, d.MaxBodyBytes)
	c.MaxPartialBytes = cmp.Or(c.MaxPartialBytes, d.MaxPartialBytes)
	c.MaxWaiters = cmp.Or(c.MaxWaiters, d.MaxWaiters)
	c.LeaveLinger = cmp.Or(c.LeaveLinger, d.LeaveLinger)
	c.MaxLinger = cmp.Or(c.MaxLinger, d.MaxLinger)
	return c
}
