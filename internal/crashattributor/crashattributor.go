// Package crashattributor decides which run has crashed a worker, and when a task that crashes its
// workers is given up. It does no I/O, reads no clock and keeps no state.
//
// # Usage
//
//	verdicts := crashattributor.Attribute(runs)
//	task.CrashHistory.RecordCrash(verdicts[i])
//	if task.CrashHistory.GivenUp() { ... }
//
// The package is designed for a few tasks in a hundred that crash every worker shortly after it has
// started them, among many short tasks that share the workers, while workers also crash for other
// reasons. A run that its worker has outlived for a while is cleared. If several runs remain, each is
// suspected, and its task runs next in isolation: no other run starts on the worker until the worker has
// outlived this one's start. A crash then has one possible cause.
//
// A task is given up only after two crashes of which each had no other possible cause, because one may
// coincide with a crash for another reason.
package crashattributor

import "time"

// SurvivalPeriod is how long a worker must outlive the start of a run to clear the run.
const SurvivalPeriod = 100 * time.Millisecond

const (
	// maxAttributed is the number of crashes attributed to a task after which it is given up.
	maxAttributed = 2
	// maxUnexplained is the number of crashes after which a task runs in isolation although it was not
	// suspected, because it may crash its workers late.
	maxUnexplained = 3
	// maxCrashes is the number of crashes after which a suspected task is given up although the crashes
	// could not be attributed.
	maxCrashes = 5
)

// Run is a run that a worker may have been executing when it crashed.
type Run struct {
	Job string
	// Outlived is set if the worker is known to have outlived the start of the run by SurvivalPeriod.
	Outlived bool
	// StartUnknown is set if it is not known when the run started, or whether it did.
	StartUnknown bool
	// Isolated is set if no run of another job was started on the worker after this one or shortly
	// before it.
	Isolated bool
}

// Verdict says whether a run may have crashed its worker.
type Verdict int

// The verdicts.
const (
	// Unknown: nothing is known about the run's part in the crash.
	Unknown Verdict = iota
	// Cleared: the worker had outlived the start of the run.
	Cleared
	// Suspected: the run and runs of other jobs may have crashed the worker.
	Suspected
	// Attributed: only runs of this job may have crashed the worker.
	Attributed
	// NoCrash: the worker ended as planned. Attribute does not return it.
	NoCrash
)

// Attribute returns a verdict for each run of a worker that has crashed.
func Attribute(runs []Run) []Verdict {
	verdicts := make([]Verdict, len(runs))
	isolated := false
	suspects := make(map[string]bool)
	for i := range runs {
		isolated = isolated || runs[i].Isolated && !runs[i].StartUnknown
		if !runs[i].Outlived && !runs[i].StartUnknown {
			suspects[runs[i].Job] = true
		}
	}
	for i := range runs {
		switch run := &runs[i]; {
		case run.StartUnknown:
			verdicts[i] = Unknown
		case run.Isolated:
			verdicts[i] = Attributed
		case run.Outlived:
			verdicts[i] = Cleared
		case isolated:
			verdicts[i] = Unknown
		case len(suspects) == 1:
			verdicts[i] = Attributed
		default:
			verdicts[i] = Suspected
		}
	}
	return verdicts
}

// History is what is known about the crashes of the workers that ran a task. It is stored with the task.
type History struct {
	// Crashes counts the crashed workers.
	Crashes int `json:"crashes,omitempty"`
	// Suspected counts those of which a run of the task may have been the cause, since a run was last
	// cleared. Attributed counts those among them that had no other possible cause.
	Suspected  int `json:"suspected,omitempty"`
	Attributed int `json:"attributed,omitempty"`
}

// RecordCrash records a crash of the worker that ran the task.
func (h *History) RecordCrash(verdict Verdict) {
	if verdict == NoCrash {
		return
	}
	h.Crashes++
	switch verdict {
	case Attributed:
		h.Suspected++
		h.Attributed++
	case Suspected:
		h.Suspected++
	case Cleared:
		h.Suspected, h.Attributed = 0, 0
	case Unknown, NoCrash:
	}
}

// RecordSurvival records that a run of the task has ended on a worker that did not crash.
func (h *History) RecordSurvival() { h.Suspected, h.Attributed = 0, 0 }

// NeedsIsolation reports whether the next run of the task must start in isolation.
func (h *History) NeedsIsolation() bool { return h.Suspected > 0 || h.CrashesLate() }

// CrashesLate reports whether the task may crash its workers later than shortly after its start, so that
// it must be isolated for its whole run.
func (h *History) CrashesLate() bool { return h.Crashes >= maxUnexplained }

// GivenUp reports whether the task must not be started again.
func (h *History) GivenUp() bool {
	return h.Attributed >= maxAttributed || h.Suspected > 0 && h.Crashes >= maxCrashes
}
