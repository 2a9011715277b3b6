// Package leaseholder claims partitions for this instance, renews the claims and notices when they are
// lost. It decides ownership by compare-and-set on rows of the table and by nothing else.
//
// # Usage
//
//	holder, stop := leaseholder.New(settings, dependencies)
//	holder.SetPartitions(names)              // those of this region, from the tickets
//	until := holder.OwnedUntil("north-1", 7)
//	err := holder.Transfer(ctx, "north-1", successor)
//
// # Rows
//
// The row of a partition names its owner and the epoch; it changes only when the owner does, so
// that journal transactions can name its version as a precondition. One row an instance counts
// renewals for all partitions that the instance owns: one write renews them all.
//
// # Take-over
//
// A partition is taken over only after both rows were seen to stand still for a whole lease,
// through reads that all succeeded. One failed read begins the watch anew: a table outage
// therefore causes no take-over, however long it lasts. The claim has both versions as
// preconditions, so an owner that renews at the last moment keeps its partitions.
package leaseholder
