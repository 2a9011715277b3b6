// Package leaseholder claims partition leases for this instance, renews them and detects their
// loss. Ownership is decided only by compare-and-set on rows of the table.
//
// # Usage
//
//	holder, stop := leaseholder.New(settings, dependencies)
//	holder.SetPartitions(names)              // those of this region, from the tickets
//	until := holder.OwnedUntil("north-1", 7)
//	grant, err := holder.Transfer(ctx, "north-1", successor)
//
// # Rows
//
// Each partition has an owner row with its owner and epoch. It changes only when the owner changes,
// so that journal transactions can use its version as a precondition. Each instance has one renewal
// row with a counter, so that a single write renews the leases of all partitions that it owns.
//
// # Take-over
//
// An instance takes over a partition only if both rows, the owner row and the owner's renewal row,
// have not changed for a whole lease, and every read during that time succeeded. A failed read
// restarts the observation, so a table outage of any length causes no take-over. The claim has the
// versions of both rows as preconditions, so an owner that renews at the last moment keeps its
// partitions.
package leaseholder
