// Package partitionplacer decides which worker a task goes to. It is a pure model: no I/O, no clock, no
// locks; its owner calls it from one goroutine.
//
// # Usage
//
//	placer := partitionplacer.New(seed)
//	index := placer.Add(worker, pool)
//	placements, shortage := placer.Place(partitionplacer.Request{Class: modeler.Batch, Needs: needs, Pools: pools, Tasks: 1})
//	placer.Release(placements[0].Worker, needs, modeler.Batch)
//
// Place reserves what it returns, in every dimension, before it returns. The sum of reservations
// on a worker never passes its capacity, so a caller that releases only what it reserved can't
// overload a worker.
//
// The workers of a pool stand in buckets by free processors. A best fit starts in the bucket of
// the need and stops at the first worker that also has the memory and the accelerators. A quick
// request takes the least loaded of a few random workers with a free slot instead: a best fit
// would send every request of a storm to the same worker.
package partitionplacer
