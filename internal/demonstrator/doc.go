// Package demonstrator runs the demo in one process: the simulated platform, one instance in
// each of three regions, the example tickets and workloads of two teams, and injected faults. At the
// end, the auditor checks the guarantees of the scheduler.
//
// # Usage
//
//	report, err := demonstrator.Run(ctx, demonstrator.Options{Seed: 1, Progress: os.Stderr})
//	if !report.Passed() { os.Exit(1) }
//
// The waiting times in the report are measured from outside the scheduler: from when a caller first
// sent its request to when a worker first started it. They include delays due to the injected faults.
package demonstrator
