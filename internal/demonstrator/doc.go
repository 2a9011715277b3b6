// Package demonstrator runs the demo: the stand-in platform and three entry instances in three
// regions in one process, both users' example tickets and work, and faults on the way. At the end
// the auditor checks the promises of the brief.
//
// # Usage
//
//	report, err := demonstrator.Run(ctx, demonstrator.Options{Seed: 1, Progress: os.Stderr})
//	if !report.Passed() { os.Exit(1) }
//
// Waiting times in the report are measured from outside: from when a caller first sent its request
// to when a worker first started it. The wait includes the faults that the demo brings about.
package demonstrator
