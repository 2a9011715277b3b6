// Package ticketer holds change tickets: their format, their checks, how one is accepted and how
// an instance follows them.
//
// # Usage
//
//	ticket, faults := ticketer.Parse("season.json", text)
//	state, err := store.Submit(ctx, ticket)
//	tablewatcher.Learn(number)
//	current := tablewatcher.State()
//
// A ticket carries the whole new state of each object that it touches: a partition, a pool, a
// policy, a limit or a contract. State is the sum of all tickets up to its number. The head row of
// the table holds the number and the state; accepting a ticket is a compare-and-set on it, so that
// of two operators who saw the same number exactly one wins. A follower never goes back to a
// lower number, whoever offers it.
package ticketer
