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

const twoSteps = `{"spec":"x","steps":[{"count":3,"cpu":500,"mem_mb":64,"estimate_ms":20},{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":20,"after":[0]}]}`

func newPlatform(t *testing.T) *standin.Platform {
	p := standin.New(standin.Settings{Workers: 4, Processors: 8000, TaskDuration: 20 * time.Millisecond, Clock: clockwork.NewRealClock()})
	t.Cleanup(p.Close)
	p.PutConfiguration(configuration)
	return p
}

func startInstance(t *testing.T, p *standin.Platform, name string) *cellserver.Instance {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	instance, err := cellserver.Start(platform.Settings{
		Name: name, AvailabilityZone: "z", Region: "r", IP: loopback.Addr(), MeshAddress: loopback, MetricsAddress: loopback,
		CallerAddress: loopback, ReadinessAddress: loopback, StoreAddress: p.Store(), AdvisorAddress: p.Advisor(),
		MaxLease: 10 * time.Second, GracePeriod: 4 * time.Second, StateRetention: time.Minute,
	}, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return instance
}

// call sends one request, and again until it is answered otherwise than "not now".
func call(t *testing.T, at *cellserver.Instance, method, path, body string) (status int, answer map[string]any) {
	t.Helper()
	for {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+at.CallerAddress().String()+path, bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "desk.example"
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		answer = nil
		// Not every answer has a body.
		_ = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusGatewayTimeout {
			return response.StatusCode, answer
		}
	}
}

func await(t *testing.T, at *cellserver.Instance, path, want string) {
	t.Helper()
	for {
		status, answer := call(t, at, http.MethodGet, path, "")
		if status != http.StatusOK {
			t.Fatalf("%s: status %d, %v", path, status, answer)
		}
		if answer["state"] == want {
			return
		}
	}
}

func wantNoFaults(t *testing.T, p *standin.Platform, done int) {
	t.Helper()
	faults, starts, ended := p.ExecutionLog().Summary()
	for _, fault := range faults {
		t.Error(fault)
	}
	if ended != done {
		t.Errorf("%d tasks are done after %d starts, want %d", ended, starts, done)
	}
}

// TestThroughThePlatformsProtocol hands jobs in at one instance and asks for them at others.
func TestThroughThePlatformsProtocol(t *testing.T) {
	p := newPlatform(t)
	var instances []*cellserver.Instance
	for _, name := range []string{"a", "b", "c"} {
		instance := startInstance(t, p, name)
		defer instance.Kill()
		instances = append(instances, instance)
	}
	for i, prefix := range []string{"/jobs/", "/jobs/advised/", "/jobs/"} {
		path := fmt.Sprintf("%s%016x", prefix, i)
		if status, answer := call(t, instances[i], http.MethodPost, path, twoSteps); status != http.StatusOK {
			t.Fatalf("POST %s: %d %v", path, status, answer)
		}
		// The same job again, at another instance, remains one job.
		if status, _ := call(t, instances[(i+1)%3], http.MethodPost, path, twoSteps); status != http.StatusOK {
			t.Errorf("POST %s again: %d", path, status)
		}
		await(t, instances[(i+2)%3], path, "completed")
	}
	wantNoFaults(t, p, 15)
	for path, want := range map[string]int{
		"/jobs/00000000000000ff":  http.StatusGone,
		"/other/0000000000000001": http.StatusNotFound,
		"/jobs/short":             http.StatusBadRequest,
		"/jobs/":                  http.StatusOK,
	} {
		if status, _ := call(t, instances[0], http.MethodGet, path, ""); status != want {
			t.Errorf("GET %s: %d, want %d", path, status, want)
		}
	}
	for name, body := range map[string]string{
		"cut short": `{"steps":[`, "no steps": `{}`, "negative": `{"steps":[{"count":-1}]}`,
		"cycle": `{"steps":[{"count":1,"after":[0]}]}`, "too long": `{"spec":"` + string(bytes.Repeat([]byte("x"), 5000)) + `"}`,
	} {
		if status, _ := call(t, instances[0], http.MethodPost, "/jobs/00000000000000aa", body); status/100 != 4 {
			t.Errorf("%s: status %d", name, status)
		}
	}
}

// TestAcceptedJobSurvivesItsOwner ends the instance that accepted a job.
func TestAcceptedJobSurvivesItsOwner(t *testing.T) {
	p := newPlatform(t)
	first := startInstance(t, p, "a")
	if status, answer := call(t, first, http.MethodPost, "/jobs/0000000000000001", twoSteps); status != http.StatusOK {
		t.Fatalf("POST: %d %v", status, answer)
	}
	first.Kill()
	second := startInstance(t, p, "b")
	defer second.Kill()
	await(t, second, "/jobs/0000000000000001", "completed")
	wantNoFaults(t, p, 5)
}

// TestLostAnswersOfTheStoreAndOfWorkers: what was done without an answer is found out, not done again.
func TestLostAnswersOfTheStoreAndOfWorkers(t *testing.T) {
	p := newPlatform(t)
	instance := startInstance(t, p, "a")
	defer instance.Kill()
	call(t, instance, http.MethodGet, "/jobs/", "")
	p.SetStoreFault(standin.RepliesLost)
	accepted := make(chan int, 1)
	go func() {
		status, _ := call(t, instance, http.MethodPost, "/jobs/0000000000000001", twoSteps)
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
	await(t, instance, "/jobs/0000000000000001", "completed")
	p.Workers()[0].Restart()
	call(t, instance, http.MethodPost, "/jobs/0000000000000002", twoSteps)
	await(t, instance, "/jobs/0000000000000002", "completed")
	wantNoFaults(t, p, 10)
}

// TestLeavingHandsOver: a planned stop leaves its jobs to another instance.
func TestLeavingHandsOver(t *testing.T) {
	p := newPlatform(t)
	first := startInstance(t, p, "a")
	call(t, first, http.MethodPost, "/jobs/0000000000000001", twoSteps)
	second := startInstance(t, p, "b")
	defer second.Kill()
	first.Shutdown()
	await(t, second, "/jobs/0000000000000001", "completed")
	wantNoFaults(t, p, 5)
}
