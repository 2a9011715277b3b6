// Package auditor checks the guarantees of the scheduler as an external observer: it compares the
// events of the workers with the answers that callers and operators received, and uses no internal
// state of the scheduler.
//
// # Usage
//
//	findings := auditor.Audit(auditor.Evidence{Events: platform.Events(), Calls: calls})
//	for _, finding := range findings { fmt.Println(finding.Text()) }
//
// A finding names the guarantee, the number of checks and each violation.
package auditor

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// Call is one request of a caller with the answers that it received, in chronological order.
type Call struct {
	// Key is the full idempotency key, prefixed with the caller's name.
	Key             string
	Job             modeler.Job
	Accepted        bool
	Cancelled       bool
	Answers         []modeler.Answer
	StandingService bool
	// RefusedNotRun is set if the request was refused with the statement that it has not run.
	RefusedNotRun bool
	// LastReason is the reason in the last answer, or the last error returned instead of an answer.
	LastReason string
}

// Departure records when the platform marked a worker as leaving in the instance list.
type Departure struct {
	Worker string
	At     time.Time
}

// GracefulShutdown is a graceful shutdown of an instance.
type GracefulShutdown struct {
	Instance string
	Began    time.Time
	Ended    time.Time
	Err      error
}

// TicketObservation is the ticket number that an instance reported as being in force.
type TicketObservation struct {
	Instance string
	Number   int64
	At       time.Time
}

// Evidence is the input of an audit.
type Evidence struct {
	Events             []simulator.Event
	Calls              []Call
	Departures         []Departure
	Shutdowns          []GracefulShutdown
	TicketObservations []TicketObservation
	// TicketAcceptedAt holds the time at which each ticket was accepted, by ticket number.
	TicketAcceptedAt map[int64]time.Time
	// DepartureTimeout is the time after which a leaving worker must not start new tasks.
	DepartureTimeout time.Duration
	// TicketTimeout is the time within which an accepted ticket must be in force on every instance.
	TicketTimeout time.Duration
	// RestartedWorkers holds the workers that an injected fault restarted. The restart ended their tasks.
	RestartedWorkers map[string]bool
}

// Finding is the result of checking one guarantee.
type Finding struct {
	Guarantee  string   `json:"promise"`
	Checks     int      `json:"checks"`
	Violations []string `json:"violations,omitempty"`
}

// Passed reports whether the guarantee was checked at least once and never violated.
func (f Finding) Passed() bool { return f.Checks > 0 && len(f.Violations) == 0 }

func (f *Finding) check(holds bool, format string, args ...any) {
	f.Checks++
	if !holds {
		f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
	}
}

// Audit checks all guarantees and returns one finding for each, always in the same order.
func Audit(evidence Evidence) []Finding {
	return []Finding{
		auditCapacity(evidence),
		auditSinglePlacement(evidence),
		auditCompleteAnswers(evidence),
		auditNotRun(evidence),
		auditAtMostOnce(evidence),
		auditDepartures(evidence),
		auditShutdowns(evidence),
		auditTickets(evidence),
		auditAcceptedKept(evidence),
	}
}

// workerUsage holds the resources and slots in use on a worker.
type workerUsage struct {
	used  modeler.Resources
	slots int
}

func auditCapacity(evidence Evidence) Finding {
	finding := Finding{Guarantee: "no instance holds more than its processors, memory, accelerators and slots"}
	usage := make(map[string]workerUsage)
	for _, event := range evidence.Events {
		u := usage[event.Worker]
		if event.Started {
			u.used = u.used.Plus(event.Needs)
			u.slots += slotsOf(event)
			finding.check(u.used.Fits(event.Capacity) && u.slots <= event.Slots,
				"worker %s holds %+v and %d slots after %s", event.Worker, u.used, u.slots, event.Attempt.ID())
		} else {
			u.used = u.used.Minus(event.Needs)
			u.slots -= slotsOf(event)
		}
		usage[event.Worker] = u
	}
	return finding
}

func slotsOf(event simulator.Event) int {
	if event.Class == modeler.Quick {
		return 1
	}
	return 0
}

// taskID identifies a task of a key across its attempts.
type taskID struct {
	key  string
	task int
}

func taskIDOf(event simulator.Event) taskID {
	return taskID{key: event.Attempt.Key, task: event.Attempt.Task}
}

// auditSinglePlacement replays the events in chronological order. The events of one worker are
// already in order; those of different workers are ordered by the simulator's single clock, and at
// equal times an end precedes a start.
func auditSinglePlacement(evidence Evidence) Finding {
	finding := Finding{Guarantee: "nothing runs in two places at once"}
	events := append([]simulator.Event(nil), evidence.Events...)
	sort.SliceStable(events, func(i, j int) bool {
		if events[i].At.Equal(events[j].At) {
			return !events[i].Started && events[j].Started
		}
		return events[i].At.Before(events[j].At)
	})
	running := make(map[taskID]string)
	for _, event := range events {
		id := taskIDOf(event)
		if !event.Started {
			delete(running, id)
			continue
		}
		other, found := running[id]
		finding.check(!found, "%s task %d started on %s while it ran on %s", id.key, id.task, event.Worker, other)
		running[id] = event.Worker
	}
	return finding
}

func auditCompleteAnswers(evidence Evidence) Finding {
	finding := Finding{Guarantee: "every caller gets the complete answer to its own request"}
	for _, call := range evidence.Calls {
		for _, answer := range call.Answers {
			finding.check(answer.Key == call.Key, "%s received the answer of %s", call.Key, answer.Key)
			if answer.State == modeler.Done {
				finding.check(len(answer.Results) == call.Job.Tasks, "%s is done with %d of %d results", call.Key, len(answer.Results), call.Job.Tasks)
			}
			for i := range answer.Results {
				finding.check(answer.Results[i].ValidFor(call.Key), "%s received a truncated or foreign result", call.Key)
			}
		}
	}
	return finding
}

func auditNotRun(evidence Evidence) Finding {
	finding := Finding{Guarantee: "a request that is answered as not run has not run"}
	starts := startsByKey(evidence.Events)
	for _, call := range evidence.Calls {
		notRun := call.RefusedNotRun
		for _, answer := range call.Answers {
			notRun = notRun || answer.State == modeler.NotRun
		}
		if notRun {
			finding.check(starts[call.Key] == 0, "%s was answered not-run (%s), but started %d times", call.Key, call.LastReason, starts[call.Key])
		}
	}
	return finding
}

func startsByKey(events []simulator.Event) map[string]int {
	starts := make(map[string]int)
	for _, event := range events {
		if event.Started {
			starts[event.Attempt.Key]++
		}
	}
	return starts
}

func auditAtMostOnce(evidence Evidence) Finding {
	finding := Finding{Guarantee: "a request that is not repeatable runs at most once"}
	starts := make(map[taskID]int)
	for _, event := range evidence.Events {
		if event.Started && !event.Repeatable {
			starts[taskIDOf(event)]++
		}
	}
	for id, count := range starts {
		finding.check(count == 1, "%s task %d started %d times", id.key, id.task, count)
	}
	return finding
}

func auditDepartures(evidence Evidence) Finding {
	finding := Finding{Guarantee: "a leaving backend server gets no new work after a few seconds"}
	for _, departure := range evidence.Departures {
		late := 0
		for _, event := range evidence.Events {
			if event.Started && event.Worker == departure.Worker && event.At.After(departure.At.Add(evidence.DepartureTimeout)) {
				late++
			}
		}
		finding.check(late == 0, "worker %s started %d tasks more than %s after it began to leave", departure.Worker, late, evidence.DepartureTimeout)
	}
	return finding
}

// auditShutdowns checks the tasks that were running when a graceful shutdown began: none of them may
// be stopped or lose its lease, unless its caller cancelled it or its worker restarted.
func auditShutdowns(evidence Evidence) Finding {
	finding := Finding{Guarantee: "a graceful shutdown interrupts no task"}
	cancelled := make(map[string]bool)
	for _, call := range evidence.Calls {
		cancelled[call.Key] = call.Cancelled
	}
	for _, shutdown := range evidence.Shutdowns {
		finding.check(shutdown.Err == nil, "graceful shutdown of %s failed: %v", shutdown.Instance, shutdown.Err)
		running := runningAt(evidence.Events, shutdown.Began)
		for _, event := range evidence.Events {
			attempt, found := running[taskIDOf(event)]
			if !found || event.Started || event.Attempt != attempt || event.At.Before(shutdown.Began) {
				continue
			}
			excused := cancelled[event.Attempt.Key] || evidence.RestartedWorkers[event.Worker]
			finding.check(event.Ended == connector.EndedFinished || excused,
				"%s was %s on %s after the graceful shutdown of %s began", event.Attempt.ID(), event.Ended, event.Worker, shutdown.Instance)
		}
	}
	return finding
}

func runningAt(events []simulator.Event, at time.Time) map[taskID]modeler.Attempt {
	running := make(map[taskID]modeler.Attempt)
	for _, event := range events {
		if event.At.After(at) {
			continue
		}
		if event.Started {
			running[taskIDOf(event)] = event.Attempt
		} else {
			delete(running, taskIDOf(event))
		}
	}
	return running
}

func auditTickets(evidence Evidence) Finding {
	finding := Finding{Guarantee: "an accepted ticket is in force everywhere in time and never reverts"}
	highest := make(map[string]int64)
	for _, observation := range evidence.TicketObservations {
		finding.check(observation.Number >= highest[observation.Instance], "instance %s reverted from ticket %d to %d",
			observation.Instance, highest[observation.Instance], observation.Number)
		highest[observation.Instance] = max(highest[observation.Instance], observation.Number)
		for number, at := range evidence.TicketAcceptedAt {
			if observation.At.After(at.Add(evidence.TicketTimeout)) {
				finding.check(observation.Number >= number, "instance %s has ticket %d in force %s after %d was accepted",
					observation.Instance, observation.Number, observation.At.Sub(at), number)
			}
		}
	}
	return finding
}

func auditAcceptedKept(evidence Evidence) Finding {
	finding := Finding{Guarantee: "nothing that was accepted is lost"}
	for _, call := range evidence.Calls {
		if !call.Accepted {
			continue
		}
		last := modeler.Answer{}
		if len(call.Answers) > 0 {
			last = call.Answers[len(call.Answers)-1]
		}
		holds := last.State.Final() || call.StandingService && last.State == modeler.Placed
		finding.check(holds, "%s was accepted, but its last state is %q (%s)", call.Key, last.State, call.LastReason)
	}
	return finding
}

// Text returns the finding as human-readable text: one line, and one more for each violation shown.
func (f Finding) Text() string {
	verdict := "held"
	if !f.Passed() {
		verdict = "BROKEN"
	}
	line := fmt.Sprintf("%-7s %6d checks  %s", verdict, f.Checks, f.Guarantee)
	const shown = 3
	for i, violation := range f.Violations {
		if i == shown {
			return line + fmt.Sprintf("\n        and %d more", len(f.Violations)-shown)
		}
		line += "\n        " + violation
	}
	return strings.TrimRight(line, "\n")
}
