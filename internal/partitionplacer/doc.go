// Package partitionplacer chooses the workers for the tasks of a partition. It does no I/O, reads
// no clock and takes no locks; all calls must come from one goroutine.
//
// # Usage
//
//	placer := partitionplacer.New(seed)
//	index := placer.Add(worker, pool)
//	request := partitionplacer.Request{Class: modeler.Batch, Needs: needs, Pools: pools, Tasks: 1}
//	placements, shortage := placer.Place(request)
//	placer.Release(placements[0].Worker, needs, modeler.Batch)
//
// Place reserves processors, memory and accelerators for the placements that it returns. It never
// reserves more than the capacity of a worker, so callers that release only what was reserved can't
// overload a worker.
//
// The workers of a pool are indexed in buckets by free processors and free memory. The search for a
// best fit starts in the bucket of the request and ends with the first bucket that has a fitting
// worker. Quick requests are placed on the one with the most free slots of a few random workers
// instead: best fit would send all requests of a burst to the same worker.
package partitionplacer
