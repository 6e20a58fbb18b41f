// Package rowpush sends committed rows directly from the process that wrote them
// to the process that follows their table, in addition to the store's change feed.
//
// Load pattern: feeds that deliver nothing for a second while the store loses its
// history, that stall together with their connection, or that answer tens of times
// slower than usual, while urgent jobs arrive that have to start within a second.
//
// A push is a hint: the feed delivers the rows of a lost push, and a receiver
// ignores rows that its feed has already delivered.
package rowpush
