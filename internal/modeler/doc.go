// Package modeler holds the objects that the rest of the program talks about: workers, entry
// instances, resources, jobs, attempts and answers. It has no behaviour beyond arithmetic and
// the checks that need no other object, and it imports no other package of this module.
//
// # Usage
//
//	job := modeler.Job{Class: modeler.Batch, Team: "association", Tasks: 4, Repeatable: true}
//	digest, err := job.Digest()
//	if need := job.Needs; need.Fits(worker.Capacity) { … }
//
// Sizes carry their unit in their type: Processors are thousandths of a processor, memory is a
// datasize.ByteSize and JSON durations are written as "1m30s".
package modeler
