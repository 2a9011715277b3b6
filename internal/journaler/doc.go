// Package journaler writes to the table service so that a lost reply is never guessed about, and
// keeps the journals of partitions there by group commit.
//
// # Usage
//
//	writer := journaler.NewWriter(table, "north-1.journal", clock)
//	outcome, err := writer.Commit(ctx, transaction)
//
//	journal, stop := journaler.New(settings, writer, companion, pace, clock, log)
//	journal.Open("north-1", epoch, versionOfOwnerRow)
//	journal.Append("north-1", entry, linger, func(err error) { … })
//
// A Writer sends one transaction at a time. Each also puts a row of the writer's own that names
// the transaction's id, with the precondition that this row stands as the last transaction left
// it. After a lost reply the writer reads the row back. If it names the id, the transaction took
// effect. If not, the same transaction may be sent again: should the lost one still arrive late,
// only one of the two meets the precondition.
//
// A Journal gathers entries of all partitions while the last transaction is in flight and sends
// them as the next one, so that the cost of an entry falls as load grows. The row that names the
// owner of a partition is a precondition of each of its journal rows: an owner that was deposed
// can't write another entry.
package journaler
