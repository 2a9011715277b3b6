// Package committer commits transactions to the table service at most once and determines their
// outcome even if replies are lost.
//
// # Usage
//
//	writer := committer.NewWriter(table, "north-1.1a2b/journal", clock)
//	outcome, err := writer.Commit(ctx, transaction)
//
// A Writer sends one transaction at a time. To each transaction it adds a put of its own writer
// row, which holds the transaction's ID, with the precondition that the row has not changed since
// the writer's previous transaction. If a reply is lost, the transaction is in doubt and the writer
// reads the row back. If the row holds the ID, the transaction was committed. Otherwise it is safe
// to send the transaction again: even if the first request arrives late, only one of the two can
// meet the precondition.
package committer
