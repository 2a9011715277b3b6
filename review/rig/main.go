// Command rig plays one case of the review: it starts the system's own processes beside a stand-in for the
// platform, its executors and its clients, on loopback addresses, and judges a rule.
//
//	rig --case NAME --record FILE --binary target/dotterelpost
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in
// the environment it leaves out the disruption.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// service is the name of the service that the executors belong to, secondService that of another one which
// some cases have.
const (
	service       = "balcao"
	secondService = "oficina"
)

// route is a queue of the stand-in.
type route struct {
	name, host, prefix string
	maxAttempts        int
	advice             bool
	// service is the service that runs the tasks; empty means the first one.
	service string
}

func (r route) wire() map[string]any {
	pool := r.service
	if pool == "" {
		pool = service
	}
	text := map[string]any{
		"name": r.name, "host": r.host, "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 3000,
		"priority": 1, "service": pool, "max_attempts": r.maxAttempts, "stretch": 4.0,
	}
	if r.advice {
		text["advice"] = map[string]any{"decide_ms": 6.5, "per_item_ms": 0.1, "valid_ms": ticketLifetime.Milliseconds()}
	}
	return text
}

// rig is a running deployment.
type rig struct {
	record    *record
	store     *store
	journal   *journal
	executors []*executor
	daemons   []*daemon
	client    *client
	binary    string
	folder    string
	advisor   *http.Server
	services  []string
	trouble   bool
	version   int
}

// does reports whether a part of the disruption takes place. ONLY in the environment leaves out the others.
func (r *rig) does(part string) bool {
	only := os.Getenv("ONLY")
	return r.trouble && (only == "" || only == part)
}

// outcome is the exit code of a case.
type outcome int

const (
	held      outcome = 0
	broken    outcome = 1
	cannotRun outcome = 2
)

// cases holds the cases by name.
var cases = make(map[string]func(*rig) outcome)

// settings describe the deployment of a case.
type settings struct {
	executors int
	kinds     []string
	cpu       int64
	routes    []route
	// services are the services; the executors belong to them by turns.
	services []string
}

func main() { os.Exit(int(run())) }

func run() outcome {
	name := flag.String("case", "", "name of the case")
	recordFile := flag.String("record", "record.txt", "file for the record")
	binary := flag.String("binary", "target/dotterelpost", "the system's program")
	keep := flag.String("keep-logs", "", "folder that receives the logs of the processes")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Println("unknown case")
		return cannotRun
	}
	rec, err := newRecord(*recordFile)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer rec.close()
	folder := *keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Println(err)
			return cannotRun
		}
		defer os.RemoveAll(folder)
	}
	r := &rig{record: rec, journal: newJournal(), binary: *binary, folder: folder, trouble: os.Getenv("TROUBLE") != "0", client: newClient(rec)}
	defer r.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.close()
		if *keep == "" {
			_ = os.RemoveAll(folder)
		}
		os.Exit(int(cannotRun))
	}()
	rec.line("case %s, trouble %t", *name, r.trouble)
	result := play(r)
	rec.verdict("case %s, trouble %t: exit %d", *name, r.trouble, result)
	return result
}

func (r *rig) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	for _, e := range r.executors {
		e.close()
	}
	if r.store != nil {
		r.store.close()
	}
	if r.advisor != nil {
		_ = r.advisor.Close()
	}
}

// configure sends a version of the configuration with the given routes.
func (r *rig) configure(routes ...route) {
	r.version += 3
	var wire []any
	names := make([]string, 0, len(routes))
	for _, q := range routes {
		wire, names = append(wire, q.wire()), append(names, q.name+" (to "+q.wire()["service"].(string)+")")
	}
	var services []any
	for _, name := range r.services {
		services = append(services, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false, "spare": false,
		})
	}
	r.store.put("op", "config", map[string]any{
		"version": r.version, "routes": wire, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	r.record.line("operator: configuration %d with the routes %s is acknowledged", r.version, strings.Join(names, ", "))
}

// begin starts the deployment and waits until all daemons are ready.
func (r *rig) begin(s settings) bool {
	var err error
	if r.store, err = newStore(r.record); err != nil {
		r.record.verdict("cannot start the store: %v", err)
		return false
	}
	advice, err := r.beginAdvisor()
	if err != nil {
		r.record.verdict("cannot start the advisor: %v", err)
		return false
	}
	if r.services = s.services; len(r.services) == 0 {
		r.services = []string{service}
	}
	r.configure(s.routes...)
	zones := []string{"porto-a", "coimbra-a", "faro-a"}
	regions := []string{"norte", "centro", "sul"}
	for i := range s.executors {
		kind := s.kinds[i%len(s.kinds)]
		e, err := newExecutor(fmt.Sprintf("i-%08x%02x", 0x3fa1c200+i*7919, i), zones[i%3], fmt.Sprintf("r%d-1", i%3+1), kind, r.services[i%len(r.services)], s.cpu, r.store, r.record, r.journal)
		if err != nil {
			r.record.verdict("cannot start an executor: %v", err)
			return false
		}
		r.executors = append(r.executors, e)
	}
	for i := range 5 {
		d, err := startDaemon(r.folder, r.binary, fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3], regions[i%3], r.store.address, advice)
		if d != nil && d.process != nil {
			r.daemons = append(r.daemons, d)
		}
		if err != nil {
			r.record.verdict("cannot start a daemon: %v", err)
			return false
		}
	}
	return r.awaitReady(20 * time.Second)
}

func (r *rig) awaitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		ready := 0
		for _, d := range r.daemons {
			if isReady(d.readiness) {
				ready++
			}
		}
		if ready == len(r.daemons) {
			// The owner has looked at all executors by then.
			time.Sleep(3 * time.Second)
			r.record.line("all daemons are ready, the owner is %s", r.store.owner(service))
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.record.verdict("the daemons did not become ready")
	return false
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// fronts returns the addresses of all daemons but the excluded one.
func (r *rig) fronts(excluded *daemon) []string {
	var fronts []string
	for _, d := range r.daemons {
		if d != excluded {
			fronts = append(fronts, d.front)
		}
	}
	return fronts
}

// owner returns the daemon that owns the cell.
func (r *rig) owner() *daemon {
	name, _, _ := strings.Cut(r.store.owner(service), "@")
	for _, d := range r.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// awaitOwnerOtherThan waits until another daemon owns the cell.
func (r *rig) awaitOwnerOtherThan(former *daemon, limit time.Duration) *daemon {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if d := r.owner(); d != nil && d != former {
			return d
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// ticketOf returns the ticket for a step on an incarnation of an executor.
func ticketOf(step, executor string, born, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d/%d", step, executor, born.UnixMilli(), at.UnixMilli())
}

func validTicket(ticket, step, executor string, born time.Time) bool {
	parts := strings.Split(ticket, "/")
	if len(parts) != 4 || parts[0] != step || parts[1] != executor || parts[2] != fmt.Sprint(born.UnixMilli()) {
		return false
	}
	var issued int64
	_, err := fmt.Sscanf(parts[3], "%d", &issued)
	return err == nil && time.Since(time.UnixMilli(issued)) <= ticketLifetime
}

// beginAdvisor starts a stand-in for the advice service. It allows each executor.
func (r *rig) beginAdvisor() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(w http.ResponseWriter, request *http.Request) {
		var call struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(request.Body).Decode(&call); err != nil || len(call.Workers) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(6500*time.Microsecond + time.Duration(len(call.Workers))*100*time.Microsecond)
		good := [][]string{}
		for _, id := range call.Workers {
			for _, e := range r.executors {
				if e.id == id {
					e.mu.Lock()
					good = append(good, []string{id, ticketOf(call.Step, id, e.born, time.Now())})
					e.mu.Unlock()
				}
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketLifetime.Milliseconds()})
	})
	r.advisor = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	server := r.advisor
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
