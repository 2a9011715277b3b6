// Package journaler stores the journals of partitions in the table service, with group commit, and
// their snapshots in the object store.
//
// # Usage
//
//	journal, stop := journaler.New(settings, writer, piggybacker, pacer, clock, log)
//	journal.Open("north-1", epoch, versionOfOwnerRow)
//	journal.Append("north-1", entry, linger, func(err error) { … })
//	recovered, err := journaler.Load(ctx, store, "north-1")
//
// A Journal collects the entries of all partitions and writes them in one transaction, so the cost
// per entry falls as load grows. The version of a partition's owner row is a precondition of each
// of its journal rows, so that an owner that has been deposed cannot write any more entries.
package journaler
