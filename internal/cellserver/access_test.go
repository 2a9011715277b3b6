package cellserver_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellserver"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/platform/standin"
)

// submitUntilDecided submits a job of one task to an instance, and repeats that while the instance is not available.
func submitUntilDecided(t *testing.T, caller *standin.Caller, instance *cellserver.Instance, queue, id string) standin.Answer {
	t.Helper()
	for {
		answer, _ := caller.Submit(t.Context(), instance.CallerAddress(), queue, id, []steptracker.Step{{Tasks: 1}})
		if answer != standin.NotAccepted && answer != standin.Undecided {
			return answer
		}
	}
}

// TestKeysThroughPlatformProtocol: teams submit jobs to one instance and ask others for their state. Then one of
// them loses its key.
func TestKeysThroughPlatformProtocol(t *testing.T) {
	p := newPlatform(t)
	queues := []configprovider.Queue{{Name: "q", Policy: configprovider.Policy{MaxFailures: 3, Stretch: 2}}, {Name: "open", Policy: configprovider.Policy{MaxFailures: 3, Stretch: 2}, Public: true}}
	teams := []standin.Team{{Name: "crew", Keys: []string{"key-1", "key-2"}}, {Name: "rivals", Keys: []string{"key-3"}}}
	if err := p.PutTeams(4, queues, teams); err != nil {
		t.Fatal(err)
	}
	const limit = 5 * time.Second
	first, second := startStrictInstance(t, p, "a", limit), startStrictInstance(t, p, "b", limit)
	defer first.Kill()
	defer second.Kill()
	anybody, closeIdle := standin.NewCaller()
	defer closeIdle()
	crew, rivals, stranger := anybody.WithKey("key-1"), anybody.WithKey("key-3"), anybody.WithKey("key-4")
	for _, test := range []struct {
		caller    *standin.Caller
		queue, id string
		want      standin.Answer
	}{
		{crew, "q", "0000000000000001", standin.Accepted},
		{anybody.WithKey("key-2"), "q", "0000000000000001", standin.Accepted},
		{rivals, "q", "0000000000000001", standin.Forbidden},
		{anybody, "q", "0000000000000002", standin.Unauthorized},
		{stranger, "q", "0000000000000002", standin.Unauthorized},
		{stranger, "open", "0000000000000003", standin.Accepted},
		{anybody, "open", "0000000000000004", standin.Accepted},
		{stranger, "none", "0000000000000005", standin.NoSuchQueue},
	} {
		for _, instance := range []*cellserver.Instance{first, second} {
			if got := submitUntilDecided(t, test.caller, instance, test.queue, test.id); got != test.want {
				t.Errorf("job %s of queue %s: answer %d, want %d", test.id, test.queue, got, test.want)
			}
		}
	}
	if _, answer := crew.State(t.Context(), second.CallerAddress(), "q", "0000000000000001"); answer != standin.Accepted {
		t.Errorf("the team's own job: answer %d", answer)
	}
	if _, answer := rivals.State(t.Context(), second.CallerAddress(), "q", "0000000000000001"); answer != standin.Forbidden {
		t.Errorf("another team's job: answer %d", answer)
	}
	teams[0].Keys = []string{"key-2"}
	if err := p.PutTeams(5, queues, teams); err != nil {
		t.Fatal(err)
	}
	for _, instance := range []*cellserver.Instance{first, second} {
		for {
			if _, answer := crew.State(t.Context(), instance.CallerAddress(), "q", "0000000000000001"); answer == standin.Unauthorized {
				break
			}
		}
		if _, answer := anybody.WithKey("key-2").State(t.Context(), instance.CallerAddress(), "q", "0000000000000001"); answer != standin.Accepted {
			t.Errorf("the team's other key: answer %d", answer)
		}
	}
}
