// Package modeler defines the data types that the other packages share: workers, instances,
// resources, jobs, attempts, results and answers. It contains only arithmetic and checks on single
// values, and it imports no other package of this module.
//
// # Usage
//
//	job := modeler.Job{Class: modeler.Batch, Team: "association", Tasks: 4, Repeatable: true}
//	digest, err := job.Digest()
//	if need := job.Needs; need.Fits(worker.Capacity) { … }
//
// The types carry the units: Processors counts thousandths of a processor, memory is a
// datasize.ByteSize, and a Duration is written to JSON as "1m30s".
package modeler
