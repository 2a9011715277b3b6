// Package committer writes to the table service so that a lost reply is never guessed about.
//
// # Usage
//
//	writer := committer.NewWriter(table, "north-1.1a2b/journal", clock)
//	outcome, err := writer.Commit(ctx, transaction)
//
// A Writer sends one transaction at a time. Each also puts a row of the writer's own that names
// the transaction's id, with the precondition that this row stands as the last transaction left
// it. After a lost reply the writer reads the row back. If it names the id, the transaction took
// effect. If not, the same transaction may be sent again: should the lost one still arrive late,
// only one of the two meets the precondition.
package committer
