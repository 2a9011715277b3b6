package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// applyKeys applies a version of the configuration in which team a has the given keys.
func (env *testEnv) applyKeys(version int64, keys ...string) {
	team := configprovider.Team{Name: "a"}
	for _, key := range keys {
		team.Keys = append(team.Keys, authenticator.DigestOf(key))
	}
	env.configuration.Apply(&configprovider.Configuration{
		Version: version, Queues: []configprovider.Queue{{Name: "plain", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 2, Target: time.Second}}},
		Teams: []configprovider.Team{team},
	})
}

// callerWith returns a caller of team a whose key was verified by a version of the configuration.
func callerWith(key string, version int64) cellscheduler.Caller {
	return cellscheduler.Caller{Team: "a", Key: authenticator.DigestOf(key), ConfigurationVersion: version}
}

// TestKeyIsVerifiedAgainByTheOwner: the submission of a job waits for an owner that reads its rows, and the key is
// taken away meanwhile.
func TestKeyIsVerifiedAgainByTheOwner(t *testing.T) {
	for name, test := range map[string]struct {
		// version and keys are the owner's configuration when it decides.
		version int64
		keys    []string
		caller  cellscheduler.Caller
		denied  bool
	}{
		"key still valid":                 {8, []string{"key"}, callerWith("key", 7), false},
		"key taken away":                  {8, []string{"other"}, callerWith("key", 7), true},
		"last key of the team taken away": {8, nil, callerWith("key", 7), true},
		"same version":                    {7, []string{"other"}, callerWith("key", 7), true},
		"the owner knows an older configuration than the verifier": {6, []string{"other"}, callerWith("key", 7), false},
		"key of another team":            {8, []string{"key"}, cellscheduler.Caller{Team: "b", Key: authenticator.DigestOf("key"), ConfigurationVersion: 7}, true},
		"public queue":                   {8, nil, cellscheduler.Caller{PublicQueue: "plain", ConfigurationVersion: 7}, false},
		"no teams known to the verifier": {8, nil, cellscheduler.Caller{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				env.applyKeys(5, "key")
				// The rows can't be read until the lock is released, so the submission is deferred.
				env.rowsBlocked = make(chan struct{})
				c, stop := env.startScheduler(2)
				defer stop()
				result := make(chan error, 1)
				definition := job("j", "plain", step(1, 1000))
				definition.Team = test.caller.Team
				go func() {
					_, err := c.SubmitFor(t.Context(), test.caller, definition)
					result <- err
				}()
				sleep(time.Second)
				env.applyKeys(test.version, test.keys...)
				close(env.rowsBlocked)
				err := <-result
				var unauthorized *cellscheduler.UnauthorizedError
				if denied := errors.As(err, &unauthorized); denied != test.denied || !test.denied && err != nil {
					t.Fatalf("error %v, want denied %t", err, test.denied)
				}
				sleep(3 * time.Second)
				if test.denied {
					var unknown *cellscheduler.UnknownJobError
					if _, err := c.State(t.Context(), "j"); !errors.As(err, &unknown) {
						t.Errorf("state of the denied job: error %v", err)
					}
					return
				}
				wantState(t, c, "j", steptracker.Completed)
			})
		})
	}
}

// TestOwnerWithOutdatedConfiguration: an owner that can't tell which keys are valid accepts nothing that depends
// on a key, and denies nothing that it has accepted.
func TestOwnerWithOutdatedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.applyKeys(5, "key")
		proven := true
		env.access = cellscheduler.Access{KeysProven: func() bool { return proven }}
		c, stop := env.startScheduler(1)
		defer stop()
		caller := callerWith("key", 5)
		definition := job("early", "plain", step(1, 1000))
		definition.Team = "a"
		if _, err := c.SubmitFor(t.Context(), caller, definition); err != nil {
			t.Fatal(err)
		}
		proven = false
		var refused *cellscheduler.RefusedError
		if _, err := c.SubmitFor(t.Context(), caller, job("late", "plain", step(1, 1000))); !errors.As(err, &refused) || !refused.Unavailable || refused.RetryAfter <= 0 {
			t.Errorf("a new job: error %v, want unavailable", err)
		}
		// A refusal would say that the job never runs.
		var unverified *cellscheduler.UnverifiedKeyError
		if _, err := c.SubmitFor(t.Context(), caller, definition); !errors.As(err, &unverified) {
			t.Errorf("the accepted job again: error %v, want UnverifiedKeyError", err)
		}
		if _, err := c.SubmitFor(t.Context(), cellscheduler.Caller{PublicQueue: "plain"}, job("public", "plain", step(1, 1000))); err != nil {
			t.Errorf("a job of a public queue: %v", err)
		}
		sleep(3 * time.Second)
		if state, err := c.StateFor(t.Context(), caller, "early"); err != nil || state != steptracker.Completed {
			t.Errorf("the accepted job is %q, error %v", state, err)
		}
	})
}

// TestTeamSurvivesTakeOver: a successor knows whose jobs it has read.
func TestTeamSurvivesTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.applyKeys(5, "key")
		first, stopFirst := env.startScheduler(1)
		definition := job("j", "plain", step(1, 1000))
		definition.Team = "a"
		if _, err := first.SubmitFor(t.Context(), callerWith("key", 5), definition); err != nil {
			t.Fatal(err)
		}
		stopFirst()
		second, stop := env.startScheduler(2)
		defer stop()
		var forbidden *cellscheduler.ForbiddenError
		other := cellscheduler.Caller{Team: "b", ConfigurationVersion: 5}
		if _, err := second.StateFor(t.Context(), other, "j"); !errors.As(err, &forbidden) {
			t.Errorf("another team sees the job: error %v", err)
		}
		if err := second.CancelFor(t.Context(), other, "j"); !errors.As(err, &forbidden) {
			t.Errorf("another team cancels the job: error %v", err)
		}
		sleep(3 * time.Second)
		if state, err := second.StateFor(t.Context(), callerWith("key", 5), "j"); err != nil || state != steptracker.Completed {
			t.Errorf("the job is %q, error %v", state, err)
		}
	})
}
