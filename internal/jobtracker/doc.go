// Package jobtracker keeps the jobs of one partition and what is known of each of their tasks. It
// is a pure state machine: journal entries and workers' lists go in, answers come out. It does no
// I/O and is used from one goroutine.
//
// # Usage
//
//	tracker := jobtracker.New()
//	err := tracker.Restore(snapshot, entries)    // what was written
//	tracker.AdoptRunning(site, running)          // what the workers say
//	queue := tracker.Settle(bootOf)              // what that leaves to be run
//	answer := job.Answer()
//
// The rule that everything here serves: a task is queued only when it is proved that no earlier
// attempt of it runs or can still start. A task that was read from the journal is Unproven until
// every worker of the partition obeys the new epoch and has shown its list; Settle then decides.
package jobtracker
