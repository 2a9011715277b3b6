// Package journaler keeps the journals of partitions in the table service by group commit, and their
// snapshots in the object store.
//
// # Usage
//
//	journal, stop := journaler.New(settings, writer, companion, pace, clock, log)
//	journal.Open("north-1", epoch, versionOfOwnerRow)
//	journal.Append("north-1", entry, linger, func(err error) { … })
//	recovered, err := journaler.Load(ctx, store, "north-1")
//
// A Journal gathers entries of all partitions and sends them as one transaction, so that the cost
// of an entry falls as load grows. The row that names the owner of a partition is a precondition
// of each of its journal rows: an owner that was deposed can't write another entry.
package journaler
