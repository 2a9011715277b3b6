// Package auditor checks the promises of the scheduler from outside: from what the workers really
// did, from what callers and operators were told, and from nothing of the scheduler's own state.
//
// # Usage
//
//	findings := auditor.Audit(auditor.Evidence{Events: platform.Events(), Calls: calls})
//	for _, finding := range findings { fmt.Println(finding) }
//
// A finding names the promise, how often it was checked and each violation that was found.
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

// Call is what one caller asked and was told. Told holds the answers in order of time.
type Call struct {
	// Key is the full key, with the caller's name.
	Key             string
	Job             modeler.Job
	Accepted        bool
	Cancelled       bool
	Answers         []modeler.Answer
	StandingService bool
	RefusedNotRun   bool
	LastReason      string
}

// Departure is a worker that began to leave, as the platform told everybody.
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

// TicketObservation is the number that an instance said it had in force.
type TicketObservation struct {
	Instance string
	Number   int64
	At       time.Time
}

// Evidence is everything that the audit may look at.
type Evidence struct {
	Events             []simulator.Event
	Calls              []Call
	Departures         []Departure
	Shutdowns          []GracefulShutdown
	TicketObservations []TicketObservation
	TicketAcceptedAt   map[int64]time.Time
	DepartureTimeout   time.Duration
	TicketTimeout      time.Duration
	// RestartedWorkers lists workers that a fault restarted: what they ran ended by that.
	RestartedWorkers map[string]bool
}

// Finding is the outcome for one promise.
type Finding struct {
	Guarantee  string   `json:"promise"`
	Checks     int      `json:"checks"`
	Violations []string `json:"violations,omitempty"`
}

// Passed tells whether the promise held and was checked at all.
func (f Finding) Passed() bool { return f.Checks > 0 && len(f.Violations) == 0 }

func (f *Finding) check(holds bool, format string, args ...any) {
	f.Checks++
	if !holds {
		f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
	}
}

// Audit checks all promises, in the order of the brief.
func Audit(evidence Evidence) []Finding {
	return []Finding{
		auditCapacity(evidence),
		auditOnePlace(evidence),
		auditWholeAnswers(evidence),
		auditNotRun(evidence),
		auditOnce(evidence),
		auditDepartures(evidence),
		auditStops(evidence),
		auditTickets(evidence),
		auditNothingLost(evidence),
	}
}

// load is what a worker holds at a moment.
type load struct {
	used  modeler.Resources
	slots int
}

func auditCapacity(evidence Evidence) Finding {
	finding := Finding{Guarantee: "no instance holds more than its processors, memory, accelerators and slots"}
	loads := make(map[string]load)
	for _, event := range evidence.Events {
		l := loads[event.Worker]
		if event.Started {
			l.used = l.used.Plus(event.Needs)
			l.slots += slotsOf(event)
			finding.check(l.used.Fits(event.Capacity) && l.slots <= event.Slots,
				"worker %s holds %+v and %d slots after %s", event.Worker, l.used, l.slots, event.Attempt.ID())
		} else {
			l.used = l.used.Minus(event.Needs)
			l.slots -= slotsOf(event)
		}
		loads[event.Worker] = l
	}
	return finding
}

func slotsOf(event simulator.Event) int {
	if event.Class == modeler.Quick {
		return 1
	}
	return 0
}

// taskName is a task of a key, whichever attempt.
type taskName struct {
	key  string
	task int
}

func nameOf(event simulator.Event) taskName {
	return taskName{key: event.Attempt.Key, task: event.Attempt.Task}
}

// auditOnePlace walks the events in order of time. Events of one worker come in order; between
// workers the stand-in's single clock decides, and of equal times an end goes first.
func auditOnePlace(evidence Evidence) Finding {
	finding := Finding{Guarantee: "nothing runs in two places at once"}
	events := append([]simulator.Event(nil), evidence.Events...)
	sort.SliceStable(events, func(i, j int) bool {
		if events[i].At.Equal(events[j].At) {
			return !events[i].Started && events[j].Started
		}
		return events[i].At.Before(events[j].At)
	})
	running := make(map[taskName]string)
	for _, event := range events {
		name := nameOf(event)
		if !event.Started {
			delete(running, name)
			continue
		}
		other, found := running[name]
		finding.check(!found, "%s task %d started on %s while it ran on %s", name.key, name.task, event.Worker, other)
		running[name] = event.Worker
	}
	return finding
}

func auditWholeAnswers(evidence Evidence) Finding {
	finding := Finding{Guarantee: "everybody gets the whole answer to its own request"}
	for _, call := range evidence.Calls {
		for _, answer := range call.Answers {
			finding.check(answer.Key == call.Key, "%s was told about %s", call.Key, answer.Key)
			if answer.State == modeler.Done {
				finding.check(len(answer.Results) == call.Job.Tasks, "%s is done with %d of %d results", call.Key, len(answer.Results), call.Job.Tasks)
			}
			for i := range answer.Results {
				finding.check(answer.Results[i].ValidFor(call.Key), "%s got a result that is not whole", call.Key)
			}
		}
	}
	return finding
}

func auditNotRun(evidence Evidence) Finding {
	finding := Finding{Guarantee: "what is told to be not run did not run"}
	starts := startsByKey(evidence.Events)
	for _, call := range evidence.Calls {
		notRun := call.RefusedNotRun
		for _, answer := range call.Answers {
			notRun = notRun || answer.State == modeler.NotRun
		}
		if notRun {
			finding.check(starts[call.Key] == 0, "%s was told not-run (%s) and started %d times", call.Key, call.LastReason, starts[call.Key])
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

func auditOnce(evidence Evidence) Finding {
	finding := Finding{Guarantee: "a request that is not repeatable runs at most once"}
	starts := make(map[taskName]int)
	for _, event := range evidence.Events {
		if event.Started && !event.Repeatable {
			starts[nameOf(event)]++
		}
	}
	for name, count := range starts {
		finding.check(count == 1, "%s task %d started %d times", name.key, name.task, count)
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
		finding.check(late == 0, "worker %s got %d tasks over %s after it began to leave", departure.Worker, late, evidence.DepartureTimeout)
	}
	return finding
}

// auditStops looks at what was running when a graceful shutdown began: none of it may be stopped
// or lapse, unless its caller cancelled it or its worker restarted.
func auditStops(evidence Evidence) Finding {
	finding := Finding{Guarantee: "a planned stop interrupts nothing"}
	cancelled := make(map[string]bool)
	for _, call := range evidence.Calls {
		cancelled[call.Key] = call.Cancelled
	}
	for _, stop := range evidence.Shutdowns {
		finding.check(stop.Err == nil, "stop of %s ended with %v", stop.Instance, stop.Err)
		running := runningAt(evidence.Events, stop.Began)
		for _, event := range evidence.Events {
			before, found := running[nameOf(event)]
			if !found || event.Started || event.Attempt != before || event.At.Before(stop.Began) {
				continue
			}
			excused := cancelled[event.Attempt.Key] || evidence.RestartedWorkers[event.Worker]
			finding.check(event.Ended == connector.EndedFinished || excused,
				"%s was %s on %s after the planned stop of %s", event.Attempt.ID(), event.Ended, event.Worker, stop.Instance)
		}
	}
	return finding
}

func runningAt(events []simulator.Event, at time.Time) map[taskName]modeler.Attempt {
	running := make(map[taskName]modeler.Attempt)
	for _, event := range events {
		if event.At.After(at) {
			continue
		}
		if event.Started {
			running[nameOf(event)] = event.Attempt
		} else {
			delete(running, nameOf(event))
		}
	}
	return running
}

func auditTickets(evidence Evidence) Finding {
	finding := Finding{Guarantee: "an accepted ticket is in force everywhere in time and never reverts"}
	highest := make(map[string]int64)
	for _, sighting := range evidence.TicketObservations {
		finding.check(sighting.Number >= highest[sighting.Instance], "instance %s went back from ticket %d to %d",
			sighting.Instance, highest[sighting.Instance], sighting.Number)
		highest[sighting.Instance] = max(highest[sighting.Instance], sighting.Number)
		for number, at := range evidence.TicketAcceptedAt {
			if sighting.At.After(at.Add(evidence.TicketTimeout)) {
				finding.check(sighting.Number >= number, "instance %s has ticket %d in force %s after %d was accepted",
					sighting.Instance, sighting.Number, sighting.At.Sub(at), number)
			}
		}
	}
	return finding
}

func auditNothingLost(evidence Evidence) Finding {
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
		finding.check(holds, "%s was accepted and is %q at the end (%s)", call.Key, last.State, call.LastReason)
	}
	return finding
}

// Text writes a finding for people.
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
