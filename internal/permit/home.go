package permit

import "dragonflyyard/internal/wire"

// HomeStartUnixMS returns the instant, in milliseconds since the Unix epoch,
// from which a home agent may grant claims in a range: it accepts only IDs
// minted after that instant. The start given in the assignment is not enough,
// since the write of the assignment may take effect long after it was planned.
// Starts under the previous assignment end at most Validity after the new one
// was accepted, which happened before this agent received it.
func HomeStartUnixMS(limits Limits, r wire.HomeRange, receivedUnixMS int64) int64 {
	return max(r.SinceUnixMS, receivedUnixMS+limits.Validity.Milliseconds())
}
