package auditor_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/auditor"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func started(second int, worker, key string, number int) simulator.Event {
	return simulator.Event{
		At: at(second), Worker: worker, Started: true, Repeatable: true,
		Attempt:  modeler.Attempt{Key: key, Number: number},
		Needs:    modeler.Resources{Processors: 1000},
		Capacity: modeler.Resources{Processors: 2000},
	}
}

func ended(second int, worker, key string, number int, kind connector.EndKind) simulator.Event {
	event := started(second, worker, key, number)
	event.Started, event.Ended = false, kind
	return event
}

func nonRepeatable(event simulator.Event) simulator.Event {
	event.Repeatable = false
	return event
}

func acceptedCall(key string, answers ...modeler.Answer) auditor.Call {
	return auditor.Call{Key: key, Accepted: true, Job: modeler.Job{Tasks: 1}, Answers: answers}
}

func answer(key string, state modeler.State) modeler.Answer {
	a := modeler.Answer{Key: key, State: state}
	if state == modeler.Done {
		a.Results = []modeler.Result{modeler.NewResult(key, 0, true, "body")}
	}
	return a
}

// TestAuditDetectsEachViolation guards against a check that can never fail: for each guarantee it
// audits evidence that satisfies it and similar evidence that violates it.
func TestAuditDetectsEachViolation(t *testing.T) {
	truncated := answer("k", modeler.Done)
	truncated.Results[0].Body = "bo"
	foreign := answer("k", modeler.Done)
	foreign.Results[0] = modeler.NewResult("other", 0, true, "body")
	for _, c := range []struct {
		name                string
		guarantee           int
		satisfied, violated auditor.Evidence
	}{
		{
			"capacity", 0,
			auditor.Evidence{Events: []simulator.Event{started(0, "w", "a", 1), started(1, "w", "b", 1), ended(2, "w", "a", 1, connector.EndedFinished), started(3, "w", "c", 1)}},
			auditor.Evidence{Events: []simulator.Event{started(0, "w", "a", 1), started(1, "w", "b", 1), started(2, "w", "c", 1)}},
		},
		{
			"single placement", 1,
			auditor.Evidence{Events: []simulator.Event{started(0, "w", "a", 1), ended(2, "w", "a", 1, connector.EndedLeaseExpired), started(2, "v", "a", 2)}},
			auditor.Evidence{Events: []simulator.Event{started(0, "w", "a", 1), ended(3, "w", "a", 1, connector.EndedLeaseExpired), started(2, "v", "a", 2)}},
		},
		{
			"complete answer", 2,
			auditor.Evidence{Calls: []auditor.Call{acceptedCall("k", answer("k", modeler.Done))}},
			auditor.Evidence{Calls: []auditor.Call{acceptedCall("k", truncated)}},
		},
		{
			"answer to own request", 2,
			auditor.Evidence{Calls: []auditor.Call{acceptedCall("k", answer("k", modeler.Done))}},
			auditor.Evidence{Calls: []auditor.Call{acceptedCall("k", foreign)}},
		},
		{
			"not run", 3,
			auditor.Evidence{Calls: []auditor.Call{acceptedCall("k", answer("k", modeler.NotRun))}},
			auditor.Evidence{Calls: []auditor.Call{acceptedCall("k", answer("k", modeler.NotRun))}, Events: []simulator.Event{started(0, "w", "k", 1)}},
		},
		{
			"at most once", 4,
			auditor.Evidence{Events: []simulator.Event{nonRepeatable(started(0, "w", "a", 1))}},
			auditor.Evidence{Events: []simulator.Event{nonRepeatable(started(0, "w", "a", 1)), nonRepeatable(ended(1, "w", "a", 1, connector.EndedLeaseExpired)), nonRepeatable(started(2, "w", "a", 2))}},
		},
		{
			"departure", 5,
			auditor.Evidence{DepartureTimeout: 3 * time.Second, Departures: []auditor.Departure{{Worker: "w", At: at(0)}}, Events: []simulator.Event{started(2, "w", "a", 1)}},
			auditor.Evidence{DepartureTimeout: 3 * time.Second, Departures: []auditor.Departure{{Worker: "w", At: at(0)}}, Events: []simulator.Event{started(4, "w", "a", 1)}},
		},
		{
			"graceful shutdown", 6,
			auditor.Evidence{Shutdowns: []auditor.GracefulShutdown{{Began: at(1)}}, Events: []simulator.Event{started(0, "w", "a", 1), ended(5, "w", "a", 1, connector.EndedFinished)}},
			auditor.Evidence{Shutdowns: []auditor.GracefulShutdown{{Began: at(1)}}, Events: []simulator.Event{started(0, "w", "a", 1), ended(5, "w", "a", 1, connector.EndedLeaseExpired)}},
		},
		{
			"ticket never reverts", 7,
			auditor.Evidence{TicketObservations: []auditor.TicketObservation{{Instance: "i", Number: 1}, {Instance: "i", Number: 2}}},
			auditor.Evidence{TicketObservations: []auditor.TicketObservation{{Instance: "i", Number: 2}, {Instance: "i", Number: 1}}},
		},
		{
			"ticket in force in time", 7,
			auditor.Evidence{TicketTimeout: 13 * time.Second, TicketAcceptedAt: map[int64]time.Time{2: at(0)}, TicketObservations: []auditor.TicketObservation{{Instance: "i", Number: 1, At: at(12)}}},
			auditor.Evidence{TicketTimeout: 13 * time.Second, TicketAcceptedAt: map[int64]time.Time{2: at(0)}, TicketObservations: []auditor.TicketObservation{{Instance: "i", Number: 1, At: at(14)}}},
		},
		{
			"accepted request kept", 8,
			auditor.Evidence{Calls: []auditor.Call{acceptedCall("k", answer("k", modeler.Waiting), answer("k", modeler.Done))}},
			auditor.Evidence{Calls: []auditor.Call{acceptedCall("k", answer("k", modeler.Waiting))}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if finding := auditor.Audit(c.satisfied)[c.guarantee]; len(finding.Violations) > 0 {
				t.Errorf("violation reported for evidence that satisfies the guarantee: %q", finding.Violations)
			}
			if finding := auditor.Audit(c.violated)[c.guarantee]; len(finding.Violations) == 0 {
				t.Errorf("violation not detected: %s", finding.Guarantee)
			}
		})
	}
}
