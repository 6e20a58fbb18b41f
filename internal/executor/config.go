package executor

import (
	"time"

	"dragonflyyard/internal/model"
)

// Config holds the identity and limits of a Core. Zero limits take the value
// of DefaultConfig.
type Config struct {
	ID          model.BackendServerID
	Incarnation model.Incarnation
	// Started is the process's start time by its wall clock.
	Started time.Time
	// Slots and Connections are the backend server's own limits.
	Slots       int
	Connections int
	// ClockSkewBound is the largest difference between any two processes' clocks.
	ClockSkewBound time.Duration
	// LongestPermit is the longest validity of a permit that entry hosts issue.
	LongestPermit time.Duration
	// Horizon is how long claims and requests are remembered after their ID was minted.
	Horizon time.Duration
	// MaxRecords bounds the claims and, apart from them, the requests remembered.
	MaxRecords int
	// AnswerTTL and MaxAnswerBytes bound the kept answers.
	AnswerTTL      time.Duration
	MaxAnswerBytes int
	// MaxBodyBytes bounds one request body; MaxPartialBytes all incomplete ones.
	MaxBodyBytes    int
	MaxPartialBytes int
	// MaxWaiters bounds the connections that wait for one answer.
	MaxWaiters int
	// LeaveLinger is how long a leaving agent stays to answer late messages.
	LeaveLinger time.Duration
	// MaxLinger bounds the graceful stop after the last started request ended.
	MaxLinger time.Duration
}

// DefaultConfig returns the limits that an agent uses unless set otherwise.
func DefaultConfig() Config {
	return Config{
		Slots:           8,
		Connections:     64,
		ClockSkewBound:  500 * time.Millisecond,
		LongestPermit:   2500 * time.Millisecond,
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
	setDefault(&c.Slots, d.Slots)
	setDefault(&c.Connections, d.Connections)
	setDefault(&c.ClockSkewBound, d.ClockSkewBound)
	setDefault(&c.LongestPermit, d.LongestPermit)
	setDefault(&c.Horizon, d.Horizon)
	setDefault(&c.MaxRecords, d.MaxRecords)
	setDefault(&c.AnswerTTL, d.AnswerTTL)
	setDefault(&c.MaxAnswerBytes, d.MaxAnswerBytes)
	setDefault(&c.MaxBodyBytes, d.MaxBodyBytes)
	setDefault(&c.MaxPartialBytes, d.MaxPartialBytes)
	setDefault(&c.MaxWaiters, d.MaxWaiters)
	setDefault(&c.LeaveLinger, d.LeaveLinger)
	setDefault(&c.MaxLinger, d.MaxLinger)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
