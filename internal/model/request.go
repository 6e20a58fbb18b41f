package model

import "time"

// Request is a caller's request as an entry host admitted it.
type Request struct {
	ID         RequestID
	Account    ClientAccountID
	Idempotent bool
	// Deadline is the instant after which the caller no longer wants the answer.
	Deadline time.Time
	// BodyHash is a hash of the body, which tells a resent request from another
	// request that uses the same ID.
	BodyHash uint64
	// Slots is how many slots of a backend server the request occupies, at least 1.
	Slots int
	Body  []byte
}
