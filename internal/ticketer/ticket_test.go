package ticketer_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

func exampleTickets(t testing.TB) []ticketer.Ticket {
	t.Helper()
	var tickets []ticketer.Ticket
	for _, file := range []string{"cell", "association", "footlights"} {
		text, err := os.ReadFile("../../examples/" + file + "/ticket.json")
		if err != nil {
			t.Fatal(err)
		}
		ticket, faults := ticketer.Parse(file, text)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		tickets = append(tickets, ticket)
	}
	return tickets
}

// TestExamplesFollowEachOther checks that the example tickets can be applied one after the other.
func TestExamplesFollowEachOther(t *testing.T) {
	state := &ticketer.State{}
	for _, ticket := range exampleTickets(t) {
		if faults := ticketer.Check("example", state, ticket); len(faults) > 0 {
			t.Fatal(faults)
		}
		state = state.Apply(ticket, time.Time{})
	}
	if state.Number != 3 || len(state.Pools) != 6 || len(state.Contracts) != 6 {
		t.Errorf("got %+v", state)
	}
}

func TestTicketReplacesWholeObjectsAndNothingElse(t *testing.T) {
	old := &ticketer.State{Number: 4}
	old.Policies = []ticketer.Policy{
		{Team: "a", Class: modeler.Quick, Pools: []string{"x"}, QueueLimit: 1, MaxStartAttempts: 9},
		{Team: "a", Class: modeler.Batch, Pools: []string{"x"}, QueueLimit: 2},
	}
	var ticket ticketer.Ticket
	ticket.Policies = []ticketer.Policy{{Team: "a", Class: modeler.Quick, Pools: []string{"y"}, QueueLimit: 3}}
	next := old.Apply(ticket, time.Time{})
	quick, _ := next.PolicyOf("a", modeler.Quick)
	batch, _ := next.PolicyOf("a", modeler.Batch)
	if next.Number != 5 || quick.MaxStartAttempts != 0 || quick.Pools[0] != "y" || batch.QueueLimit != 2 {
		t.Errorf("got %+v", next)
	}
	if before, _ := old.PolicyOf("a", modeler.Quick); before.QueueLimit != 1 {
		t.Error("Apply changed the state that it was applied to")
	}
}

// TestFollowerNeverGoesBack checks that a state with a lower or equal number is ignored.
func TestFollowerNeverGoesBack(t *testing.T) {
	follower := ticketer.NewFollower()
	var notified []int64
	follower.OnChange(func(state *ticketer.State) { notified = append(notified, state.Number) })
	for _, number := range []int64{2, 1, 2, 5, 4} {
		follower.Advance(&ticketer.State{Number: number})
	}
	if follower.State().Number != 5 || len(notified) != 2 {
		t.Errorf("got number %d in force and notifications %v, want 5 and two notifications", follower.State().Number, notified)
	}
}

// FuzzParse checks that no input makes the parser panic, and that a ticket that it accepts is accepted
// again after encoding.
func FuzzParse(f *testing.F) {
	for _, ticket := range exampleTickets(f) {
		text, err := json.Marshal(ticket)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add(`{"after": 1, "after": 2}`)
	f.Add(`{"after": 0, "author": "a", "reason": "r", "limits": [{"team": "t", "quota": {"processors": 1e308, "memory": "999999999TB"}}]}`)
	f.Add(`{"after": 0, "author": "a", "reason": "r", "limits": [{"team": "t", "quota": {"processors": 1e999999999, "memory": "1GB"}}]}`)
	f.Add(`{"after": 0, "author": "a", "reason": "r", "limits": [{"team": "t", "quota": {"processors": 1e-99999999, "memory": "1GB"}}]}`)
	f.Add(strings.Repeat("[", 20000))
	f.Fuzz(func(t *testing.T, text string) {
		ticket, faults := ticketer.Parse("fuzz", []byte(text))
		if len(faults) > 0 {
			return
		}
		encoded, err := json.Marshal(ticket)
		if err != nil {
			t.Fatalf("accepted ticket can't be encoded: %v", err)
		}
		if _, faults := ticketer.Parse("again", encoded); len(faults) > 0 {
			t.Fatalf("accepted ticket is rejected after encoding: %v", faults)
		}
		ticketer.Check("fuzz", &ticketer.State{}, ticket)
	})
}

func TestFollowerIsProvenForALimitedTime(t *testing.T) {
	start := time.Unix(1000, 0)
	follower := ticketer.NewFollower()
	if follower.Proven(start) {
		t.Error("proven before the table was read")
	}
	follower.Confirm(start)
	// An answer that arrives late does not shorten the proof.
	follower.Confirm(start.Add(-time.Second))
	for after, want := range map[time.Duration]bool{0: true, 12 * time.Second: true, ticketer.InForceLimit: false} {
		if got := follower.Proven(start.Add(after)); got != want {
			t.Errorf("proven after %s: %t", after, got)
		}
	}
}
