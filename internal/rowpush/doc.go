// Package rowpush passes committed rows from the process that wrote them to the
// one that follows their table, beside the store's feed.
//
// Load pattern: feeds that hear nothing for a second while the store loses its
// history, that went silent with their connection or answer tens of times slower
// than usual, while urgent jobs come that have to start within a second.
//
// A push is a hint. What is lost on its way comes with the feed, and a receiver
// takes nothing that its feed has shown already.
package rowpush
