package cellmanager_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// verdict returns how a manager decides on a key for the queue q or open: "ok" with the team, "401" with
// the cause, or "503".
func verdict(manager *cellmanager.Manager, queue, key string) string {
	caller, err := manager.Authenticate(&configprovider.Queue{Name: queue}, "", key)
	var refused *cellscheduler.RefusedError
	var unauthorized *cellscheduler.UnauthorizedError
	switch {
	case err == nil:
		return "ok " + caller.Team
	case errors.As(err, &refused) && refused.Unavailable && refused.RetryAfter > 0:
		return "503"
	case errors.As(err, &unauthorized):
		return "401 " + string(unauthorized.Cause)
	default:
		return err.Error()
	}
}

func wantVerdict(t *testing.T, manager *cellmanager.Manager, queue, key, want string) {
	t.Helper()
	if got := verdict(manager, queue, key); got != want {
		t.Errorf("key %q for queue %s: %s, want %s", key, queue, got, want)
	}
}

func TestKeyIsResolvedToItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		for _, test := range []struct{ queue, key, want string }{
			{"q", "key-a", "ok a"},
			{"q", "key-b", "ok b"},
			{"q", "", "401 no-key"},
			{"q", "key-c", "401 unknown-key"},
			{"open", "", "ok "},
			{"open", "key-c", "ok "},
			{"open", "key-a", "ok a"},
		} {
			wantVerdict(t, others[0], test.queue, test.key, test.want)
		}
	})
}

// TestRevocationFailsClosed takes a key away while an instance can't learn of it. Past the limit the key must
// have no effect there.
func TestRevocationFailsClosed(t *testing.T) {
	for fault, start := range map[string]func(c *cluster, instance *cellmanager.Manager){
		"refused by the store and cut off from its peers": func(c *cluster, instance *cellmanager.Manager) {
			c.refused[name(instance)], c.silent[instance.Incarnation()] = true, true
		},
		"the store does not answer it and it is cut off from its peers": func(c *cluster, instance *cellmanager.Manager) {
			c.hanging[name(instance)], c.silent[instance.Incarnation()] = true, true
		},
		"the store is down": func(c *cluster, _ *cellmanager.Manager) { c.down = true },
		"the store answers that its history is lost, and refuses reads": func(c *cluster, _ *cellmanager.Manager) { c.historyLost = true },
		"the row can't be decoded": func(c *cluster, _ *cellmanager.Manager) {
			c.version++
			c.rows["op//config"] = connector.Row{Key: "op//config", Value: []byte("not JSON"), Version: c.version}
		},
		"the row has no value": func(c *cluster, _ *cellmanager.Manager) {
			c.version++
			c.rows["op//config"] = connector.Row{Key: "op//config", Version: c.version}
		},
		"the row is gone": func(c *cluster, _ *cellmanager.Manager) { delete(c.rows, "op//config") },
	} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTeamCluster(t)
				_, others, stop := startThree(t, c)
				defer stopAll(stop)
				instance := others[0]
				c.set(func() { start(c, instance) })
				revokedAt := time.Now()
				wantVerdict(t, instance, "q", "key-a", "ok a")
				// A row that is gone is found out by the next snapshot, which is six seconds apart.
				sleep(limit)
				if fault == "the row is gone" {
					sleep(7 * time.Second)
				}
				for time.Since(revokedAt) < 20*time.Second {
					wantVerdict(t, instance, "q", "key-a", "503")
					wantVerdict(t, instance, "q", "key-c", "503")
					wantVerdict(t, instance, "open", "key-a", "ok ")
					if instance.Ready() {
						t.Error("the instance is ready")
					}
					sleep(100 * time.Millisecond)
				}
				c.set(func() {
					clear(c.refused)
					clear(c.hanging)
					clear(c.silent)
					c.down, c.historyLost = false, false
				})
				c.putConfiguration(t, configurationRow{Version: 3, Teams: true, Keys: map[string]string{"key-a2": "a"}})
				sleep(4 * time.Second)
				wantVerdict(t, instance, "q", "key-a", "401 unknown-key")
				wantVerdict(t, instance, "q", "key-a2", "ok a")
			})
		})
	}
}

// shortLimit is a revocation limit that passes while a watch on a dead connection waits and is repeated
// through a peer.
const shortLimit = 3 * time.Second

// TestProofIsRenewedThroughPeer: an instance that the store refuses or does not answer keeps serving keys as long
// as a peer reaches the store, and learns of a revocation.
func TestProofIsRenewedThroughPeer(t *testing.T) {
	for fault, start := range map[string]func(c *cluster, instances ...*cellmanager.Manager){
		"refused":       func(c *cluster, i ...*cellmanager.Manager) { c.refused[name(i[0])] = true },
		"not answered":  func(c *cluster, i ...*cellmanager.Manager) { c.hanging[name(i[0])] = true },
		"nor is a peer": func(c *cluster, i ...*cellmanager.Manager) { c.hanging[name(i[0])], c.hanging[name(i[1])] = true, true },
	} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTeamCluster(t)
				if fault != "nor is a peer" {
					c.revocationLimit = shortLimit
				}
				owner, others, stop := startThree(t, c)
				defer stopAll(stop)
				instance := others[0]
				// The watch has just been sent when the fault begins, or will be soon.
				sleep(300 * time.Millisecond)
				c.set(func() { start(c, instance, others[1], owner) })
				for range 200 {
					wantVerdict(t, instance, "q", "key-a", "ok a")
					sleep(100 * time.Millisecond)
				}
				c.putConfiguration(t, configurationRow{Version: 3, Teams: true, Keys: map[string]string{"key-b": "b"}})
				sleep(4 * time.Second)
				wantVerdict(t, instance, "q", "key-a", "401 unknown-key")
				wantVerdict(t, instance, "q", "key-b", "ok b")
			})
		})
	}
}

// TestSuspendedMachine: the monotonic clock stands still while a machine is suspended, and the key is taken
// away meanwhile. The first decision after it must not use the old configuration.
func TestSuspendedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		c.set(func() { c.suspended[name(others[0])] = 10 * time.Second })
		wantVerdict(t, others[0], "q", "key-a", "503")
		wantVerdict(t, others[1], "q", "key-a", "ok a")
		sleep(500 * time.Millisecond)
		wantVerdict(t, others[0], "q", "key-a", "ok a")
	})
}

// TestQuietConfigurationStaysConfirmed: the answers of a watch that tell of no change confirm the configuration,
// and no other calls are made for it.
func TestQuietConfigurationStaysConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		for range 300 {
			wantVerdict(t, others[0], "q", "key-a", "ok a")
			sleep(100 * time.Millisecond)
		}
		if c.configurationReads != 0 {
			t.Errorf("the configuration was read %d times beside the watch", c.configurationReads)
		}
	})
}

// TestStartedInstanceKnowsNoKeys: an instance that has read no configuration is not ready.
func TestStartedInstanceKnowsNoKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		c.set(func() { c.down = true })
		manager, stop := c.start("a")
		defer stop()
		sleep(3 * time.Second)
		if manager.Ready() || manager.Configuration().Current() != nil {
			t.Error("an instance without a configuration is ready")
		}
	})
}

// TestWithoutStrictRevocation: an instance without a revocation limit uses its configuration at any age.
func TestWithoutStrictRevocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		c.revocationLimit = 0
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		c.set(func() { c.down = true })
		sleep(time.Minute)
		wantVerdict(t, others[0], "q", "key-a", "ok a")
		wantVerdict(t, others[0], "q", "key-c", "401 unknown-key")
	})
}

// authenticate returns the caller with a key.
func authenticate(t *testing.T, manager *cellmanager.Manager, queue, key string) cellscheduler.Caller {
	t.Helper()
	caller, err := manager.Authenticate(manager.Configuration().Current().Queue(queue), "", key)
	if err != nil {
		t.Fatal(err)
	}
	return caller
}

// submitAs submits a job of one task on behalf of a caller.
func submitAs(t *testing.T, manager *cellmanager.Manager, queue, id string, caller cellscheduler.Caller) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	job := &steptracker.Job{ID: id, Queue: queue, Team: caller.Team, Steps: []steptracker.Step{{Tasks: 1}}}
	return manager.Submit(ctx, manager.Configuration().Current().Queue(queue), caller, job)
}

// TestJobBelongsToItsTeam: another team may neither repeat, see nor cancel a job, at any instance.
func TestJobBelongsToItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		owner, others, stop := startThree(t, c)
		defer stopAll(stop)
		q := others[0].Configuration().Current().Queue("q")
		a, b := authenticate(t, others[0], "q", "key-a"), authenticate(t, others[0], "q", "key-b")
		anybody, open := authenticate(t, others[0], "open", ""), authenticate(t, others[0], "open", "key-a")
		for id, submitted := range map[string]struct {
			queue  string
			caller cellscheduler.Caller
		}{"of-a": {"q", a}, "open": {"open", anybody}, "open-of-a": {"open", open}, "old": {"q", cellscheduler.Caller{}}} {
			if err := submitAs(t, others[0], submitted.queue, id, submitted.caller); err != nil {
				t.Fatal(err)
			}
		}
		for _, manager := range append(others, owner) {
			for _, test := range []struct {
				id      string
				caller  cellscheduler.Caller
				allowed bool
			}{
				{"of-a", a, true},
				{"of-a", b, false},
				{"of-a", anybody, false},
				{"of-a", open, true},
				{"open", anybody, true},
				{"open", b, true},
				{"open-of-a", anybody, true},
				{"open-of-a", b, false},
				{"old", b, true},
				{"old", anybody, false},
			} {
				_, err := manager.State(t.Context(), q, test.caller, test.id)
				var forbidden *cellscheduler.ForbiddenError
				if denied := errors.As(err, &forbidden); denied == test.allowed || test.allowed && err != nil {
					t.Errorf("state of %s for %+v: error %v, want allowed %t", test.id, test.caller.Team, err, test.allowed)
				}
				if test.allowed {
					continue
				}
				if err := submitAs(t, manager, "q", test.id, test.caller); !errors.As(err, &forbidden) || strings.Contains(err.Error(), "team a") {
					t.Errorf("submission of %s by %q: error %v", test.id, test.caller.Team, err)
				}
				if err := manager.Cancel(t.Context(), q, test.caller, test.id); !errors.As(err, &forbidden) {
					t.Errorf("cancellation of %s by %q: error %v", test.id, test.caller.Team, err)
				}
			}
		}
		if state, err := owner.State(t.Context(), q, a, "of-a"); err != nil || state != steptracker.Queued {
			t.Errorf("after the denied cancellations the job is %q, error %v", state, err)
		}
		var unauthorized *cellscheduler.UnauthorizedError
		a.Key = authenticator.DigestOf("revoked")
		if err := submitAs(t, others[0], "q", "late", a); !errors.As(err, &unauthorized) || unauthorized.Cause != cellscheduler.UnknownKey {
			t.Errorf("submission with a key that the owner does not know: error %v", err)
		}
	})
}

// TestCallsWithoutTeamsAreUnchanged: without teams the calls between instances are those of the versions that
// knew none, but for the policy of the queue, which those ignore.
func TestCallsWithoutTeamsAreUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		q := others[0].Configuration().Current().Queue("q")
		caller, err := others[0].Authenticate(q, "", "any")
		if err != nil || caller != (cellscheduler.Caller{}) {
			t.Fatalf("a caller without teams: %+v, %v", caller, err)
		}
		job := &steptracker.Job{ID: "j", Queue: "q", Payload: "p", Steps: []steptracker.Step{{Tasks: 1}}}
		want := fmt.Appendf(bytes.TrimSuffix(mustMarshal(t, job), []byte("}")), `,"policy":{"version":%d,"max-failures":%d}}`, q.Version, q.MaxFailures)
		c.set(func() { c.calls = nil })
		if err := others[0].Submit(t.Context(), q, caller, job); err != nil {
			t.Fatal(err)
		}
		if _, err := others[0].State(t.Context(), q, caller, "j"); err != nil {
			t.Fatal(err)
		}
		if err := others[0].Cancel(t.Context(), q, caller, "j"); err != nil {
			t.Fatal(err)
		}
		for _, call := range c.calls {
			switch call.GetKind() {
			case messenger.CallKind_CALL_KIND_SUBMIT:
				if !bytes.Equal(call.GetJob(), want) {
					t.Errorf("submission %s, want %s", call.GetJob(), want)
				}
			case messenger.CallKind_CALL_KIND_STATUS, messenger.CallKind_CALL_KIND_CANCEL:
				if len(call.GetJob()) != 0 {
					t.Errorf("%s with %s", call.GetKind(), call.GetJob())
				}
			default:
			}
		}
		if len(c.calls) < 3 {
			t.Errorf("%d calls between instances, want at least 3", len(c.calls))
		}
	})
}

// TestKeysAreNotLogged: neither keys nor their digests are in the log, whatever becomes of the call.
func TestKeysAreNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		c.logs = &lockedBuffer{}
		_, others, stop := startThree(t, c)
		if err := submitAs(t, others[0], "q", "j", authenticate(t, others[0], "q", "key-a")); err != nil {
			t.Fatal(err)
		}
		wantVerdict(t, others[0], "q", "key-c", "401 unknown-key")
		// Denials beyond the bound are counted and not logged.
		for range 1000 {
			verdict(others[0], "q", "key-c")
		}
		c.set(func() { c.down = true })
		sleep(2 * limit)
		wantVerdict(t, others[0], "q", "key-a", "503")
		stopAll(stop)
		text := c.logs.buffer.String()
		for _, cause := range []cellscheduler.DenialCause{cellscheduler.UnknownKey, cellscheduler.ConfigurationAge} {
			if !strings.Contains(text, `"cause":"`+string(cause)+`"`) {
				t.Errorf("no denial is logged with the cause %s", cause)
			}
		}
		if lines := strings.Count(text, `"msg":"denied"`); lines > 110 {
			t.Errorf("%d denials are logged", lines)
		}
		for _, key := range []string{"key-a", "key-c"} {
			digest := authenticator.DigestOf(key)
			for _, secret := range []string{key, hex.EncodeToString(digest[:]), base64.StdEncoding.EncodeToString(digest[:]), strings.Trim(strings.ReplaceAll(string(mustMarshal(t, digest)), ",", " "), "[]")} {
				if strings.Contains(text, secret) {
					t.Errorf("the log contains %s", secret)
				}
			}
		}
	})
}

func mustMarshal(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
