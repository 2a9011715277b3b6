package cellserver_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellserver"
	"dotterelpost.example/dotterelpost/platform"
	"dotterelpost.example/dotterelpost/platform/standin"
)

const configuration = `{"version":3,
 "routes":[
  {"name":"q","host":"desk.example","path_prefix":"/jobs/","service":"desk","timeout_ms":3000,"target_latency_ms":600,"max_attempts":3,"stretch":1.5},
  {"name":"advised","host":"desk.example","path_prefix":"/jobs/advised/","service":"desk","timeout_ms":3000,"target_latency_ms":600,"max_attempts":3,"stretch":1.5,
   "advice":{"decide_ms":1,"per_item_ms":0.1,"valid_ms":1500}}],
 "services":[{"name":"desk"}],"limits":{"max_body_bytes":4096}}`

const twoStepJob = `{"spec":"x","steps":[{"count":3,"cpu":500,"mem_mb":64,"estimate_ms":20},{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":20,"after":[0]}]}`

func newPlatform(t *testing.T) *standin.Platform {
	p := standin.New(standin.Settings{Workers: 4, Processors: 8000, TaskDuration: 20 * time.Millisecond, Clock: clockwork.NewRealClock()})
	t.Cleanup(p.Close)
	p.PutConfiguration(configuration)
	return p
}

func startInstance(t *testing.T, p *standin.Platform, name string) *cellserver.Instance {
	t.Helper()
	return startStrictInstance(t, p, name, 0)
}

// startStrictInstance starts an instance with a revocation limit.
func startStrictInstance(t *testing.T, p *standin.Platform, name string, revocationLimit time.Duration) *cellserver.Instance {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	instance, err := cellserver.Start(platform.Settings{
		Name: name, AvailabilityZone: "z", Region: "r", IP: loopback.Addr(), MeshAddress: loopback, MetricsAddress: loopback,
		CallerAddress: loopback, ReadinessAddress: loopback, StoreAddress: p.Store(), AdvisorAddress: p.Advisor(),
		MaxLease: 10 * time.Second, GracePeriod: 4 * time.Second, StateRetention: time.Minute, RevocationLimit: revocationLimit,
	}, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return instance
}

// callUntilAvailable sends a request and repeats it while the answer is 503 or 504.
func callUntilAvailable(t *testing.T, instance *cellserver.Instance, method, path, body string) (status int, answer map[string]any) {
	t.Helper()
	for {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+instance.CallerAddress().String()+path, bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "desk.example"
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		answer = nil
		// The error is ignored because not every response has a body.
		_ = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusGatewayTimeout {
			return response.StatusCode, answer
		}
	}
}

// awaitState polls a job until it has the wanted state.
func awaitState(t *testing.T, instance *cellserver.Instance, path, want string) {
	t.Helper()
	for {
		status, answer := callUntilAvailable(t, instance, http.MethodGet, path, "")
		if status != http.StatusOK {
			t.Fatalf("%s: status %d, %v", path, status, answer)
		}
		if answer["state"] == want {
			return
		}
	}
}

// checkExecutions checks that no execution rule was violated and that the given number of tasks ended.
func checkExecutions(t *testing.T, p *standin.Platform, done int) {
	t.Helper()
	faults, starts, ended := p.ExecutionLog().Summary()
	for _, fault := range faults {
		t.Error(fault)
	}
	if ended != done {
		t.Errorf("%d tasks ended after %d starts, want %d", ended, starts, done)
	}
}

// TestJobsThroughPlatformProtocol submits jobs to one instance and reads their state from others.
func TestJobsThroughPlatformProtocol(t *testing.T) {
	p := newPlatform(t)
	var instances []*cellserver.Instance
	for _, name := range []string{"a", "b", "c"} {
		instance := startInstance(t, p, name)
		defer instance.Kill()
		instances = append(instances, instance)
	}
	for i, prefix := range []string{"/jobs/", "/jobs/advised/", "/jobs/"} {
		path := fmt.Sprintf("%s%016x", prefix, i)
		if status, answer := callUntilAvailable(t, instances[i], http.MethodPost, path, twoStepJob); status != http.StatusOK {
			t.Fatalf("POST %s: %d %v", path, status, answer)
		}
		// Submitting the same job again to another instance creates no second job.
		if status, _ := callUntilAvailable(t, instances[(i+1)%3], http.MethodPost, path, twoStepJob); status != http.StatusOK {
			t.Errorf("POST %s again: %d", path, status)
		}
		awaitState(t, instances[(i+2)%3], path, "completed")
	}
	checkExecutions(t, p, 15)
	for path, want := range map[string]int{
		"/jobs/00000000000000ff":  http.StatusGone,
		"/other/0000000000000001": http.StatusNotFound,
		"/jobs/short":             http.StatusBadRequest,
		"/jobs/":                  http.StatusOK,
	} {
		if status, _ := callUntilAvailable(t, instances[0], http.MethodGet, path, ""); status != want {
			t.Errorf("GET %s: %d, want %d", path, status, want)
		}
	}
	for name, body := range map[string]string{
		"truncated": `{"steps":[`, "no steps": `{}`, "negative": `{"steps":[{"count":-1}]}`,
		"cycle": `{"steps":[{"count":1,"after":[0]}]}`, "too long": `{"spec":"` + string(bytes.Repeat([]byte("x"), 5000)) + `"}`,
	} {
		if status, _ := callUntilAvailable(t, instances[0], http.MethodPost, "/jobs/00000000000000aa", body); status/100 != 4 {
			t.Errorf("%s: status %d", name, status)
		}
	}
}

// TestAcceptedJobSurvivesOwnerFailure kills the instance that accepted a job. Another one must complete
// it.
func TestAcceptedJobSurvivesOwnerFailure(t *testing.T) {
	p := newPlatform(t)
	first := startInstance(t, p, "a")
	if status, answer := callUntilAvailable(t, first, http.MethodPost, "/jobs/0000000000000001", twoStepJob); status != http.StatusOK {
		t.Fatalf("POST: %d %v", status, answer)
	}
	first.Kill()
	second := startInstance(t, p, "b")
	defer second.Kill()
	awaitState(t, second, "/jobs/0000000000000001", "completed")
	checkExecutions(t, p, 5)
}

// TestLostRepliesOfStoreAndWorkers drops the replies of the store and of workers. The instance must find
// out the outcome of each operation instead of repeating it.
func TestLostRepliesOfStoreAndWorkers(t *testing.T) {
	p := newPlatform(t)
	instance := startInstance(t, p, "a")
	defer instance.Kill()
	callUntilAvailable(t, instance, http.MethodGet, "/jobs/", "")
	p.SetStoreFault(standin.RepliesLost)
	accepted := make(chan int, 1)
	go func() {
		status, _ := callUntilAvailable(t, instance, http.MethodPost, "/jobs/0000000000000001", twoStepJob)
		accepted <- status
	}()
	for _, worker := range p.Workers() {
		worker.DropReplies(true)
	}
	p.CompactHistory()
	p.SetStoreFault(standin.NoFault)
	if status := <-accepted; status != http.StatusOK {
		t.Fatalf("POST: %d", status)
	}
	for _, worker := range p.Workers() {
		worker.DropReplies(false)
	}
	awaitState(t, instance, "/jobs/0000000000000001", "completed")
	p.Workers()[0].Restart()
	callUntilAvailable(t, instance, http.MethodPost, "/jobs/0000000000000002", twoStepJob)
	awaitState(t, instance, "/jobs/0000000000000002", "completed")
	checkExecutions(t, p, 10)
}

// TestShutdownHandsOverJobs checks that another instance completes the jobs of one that is shut down.
func TestShutdownHandsOverJobs(t *testing.T) {
	p := newPlatform(t)
	first := startInstance(t, p, "a")
	callUntilAvailable(t, first, http.MethodPost, "/jobs/0000000000000001", twoStepJob)
	second := startInstance(t, p, "b")
	defer second.Kill()
	first.Shutdown()
	awaitState(t, second, "/jobs/0000000000000001", "completed")
	checkExecutions(t, p, 5)
}
