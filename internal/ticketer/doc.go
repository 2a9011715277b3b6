// Package ticketer defines change tickets: their format, their validation, how the table accepts one
// and how an instance follows the accepted ones.
//
// # Usage
//
//	ticket, faults := ticketer.Parse("season.json", text)
//	state, err := store.Submit(ctx, ticket)
//	follower.Advance(state)
//	current := follower.State()
//
// A ticket carries the complete new value of each object that it changes: a partition, a pool, a
// policy, a limit, a contract or the write limit of the table. A State is the result of applying all
// tickets up to its number. The head row of the table holds the number and the state. A ticket is
// accepted by a compare-and-set on this row, so if two operators submit tickets based on the same
// number, exactly one succeeds. A follower never returns to a lower number.
package ticketer
