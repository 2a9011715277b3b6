package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "dele69a"
	hostName    = "nony24.example"
	binary      = "target/dotterelpost"
	// readyTimeout is how long the instances may take to become ready.
	readyTimeout = 20 * time.Second
)

var (
	zones   = []string{"porto-a", "coimbra-a", "faro-a"}
	regions = []string{"norte", "centro", "sul"}
)

//go:embed instance.toml
var settingsFormat string

// world is one play: the stand-ins, the instances and what has been recorded.
type world struct {
	began     time.Time
	folder    string
	store     *store
	advisor   *httptest.Server
	instances []*instance
	executors []*executor
	done      chan struct{}
	client    *http.Client

	mu   sync.Mutex
	file io.Writer
	// decided is set once the result is recorded. What comes after it is not.
	decided bool
	tasks   map[string]task
	runs    []*runRecord
	// labels are the labels that tasks require, by job and step.
	labels map[string]string
	// withoutLabel counts the starts on executors without the required label, overCapacity those that brought an
	// executor over its capacity.
	withoutLabel, overCapacity int
}

// runRecord is what was seen of a run.
type runRecord struct {
	task     string
	run      int
	executor string
	began    time.Time
	// how is how it ended, empty while it runs.
	how     string
	endedAt time.Time
}

func newWorld(file io.Writer) (*world, error) {
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		began: time.Now(), folder: folder, store: newStore(), done: make(chan struct{}), file: file, tasks: make(map[string]task), labels: make(map[string]string),
		client: &http.Client{Timeout: 3500 * time.Millisecond},
	}
	w.advisor = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusTooManyRequests) }))
	return w, nil
}

func (w *world) close() {
	close(w.done)
	for _, i := range w.instances {
		i.kill()
	}
	for _, e := range w.executors {
		_ = e.server.Close()
	}
	w.store.server.CloseClientConnections()
	w.advisor.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// record writes a line with the time since the start.
func (w *world) record(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, values...)
}

// decide records the result.
func (w *world) decide(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, values...)
	w.decided = true
}

func (w *world) recordLocked(format string, values ...any) {
	if w.decided {
		return
	}
	_, _ = fmt.Fprintf(w.file, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// taskOf returns the behaviour of a task by its name, ID.K.STEP.INDEX, or by that of its job and step, ID.STEP.
func (w *world) taskOf(name string) (task, bool) {
	parts := strings.Split(name, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(parts) != 4 {
		return task{}, false
	}
	found, known := w.tasks[parts[0]+"."+parts[2]]
	return found, known
}

func (w *world) ranStart(e *executor, x *execution, used room) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, &runRecord{task: x.task, run: x.run, executor: e.id, began: x.began})
	w.recordLocked("start %s run %d on %s, %d of %d in use", x.task, x.run, e.id, used.CPU, e.capacity.CPU)
	if e.toldAt.IsZero() || !x.began.After(e.toldAt) {
		return
	}
	if !used.fits(e.capacity) {
		w.overCapacity++
		w.recordLocked("OVER CAPACITY: %s", e.id)
	}
	if label := w.labelOf(x.task); label != "" && !slices.Contains(e.labels, label) {
		w.withoutLabel++
		w.recordLocked("WITHOUT LABEL: %s requires %s, %s has %v", x.task, label, e.id, e.labels)
	}
}

// labelOf returns the label that a task requires. The mutex must be held.
func (w *world) labelOf(name string) string {
	parts := strings.Split(name, ".")
	return w.labels[parts[0]+"."+parts[2]]
}

func (w *world) ranEnd(e *executor, x *execution, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.task == x.task && r.run == x.run && r.executor == e.id && r.how == "" {
			r.how, r.endedAt = how, time.Now()
		}
	}
	w.recordLocked("end %s run %d on %s: %s", x.task, x.run, e.id, how)
}

// runsOf returns the runs of the tasks of a job.
func (w *world) runsOf(id string) []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []runRecord
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, id+".") {
			runs = append(runs, *r)
		}
	}
	return runs
}

// instance is an instance of the scheduler in a process of its own.
type instance struct {
	world            *world
	name             string
	settings         string
	front, readiness string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// portsPerInstance is how many adjoining ports an instance takes: two for the project, front and readiness.
const portsPerInstance = 4

const (
	firstPort, lastPort = 11000, 31000
	portsPerPlay        = 64
)

// nextPort is where the search for free ports goes on. Plays at the same time begin at different ports.
var nextPort = firstPort + os.Getpid()*portsPerPlay%(lastPort-firstPort)

// freePorts returns the first of some adjoining ports that are free and below those of outgoing connections.
func freePorts() (int, error) {
	for range 1000 {
		port := nextPort
		if nextPort += portsPerInstance; nextPort+portsPerInstance > lastPort {
			nextPort = firstPort
		}
		if areFree(port) {
			return port, nil
		}
	}
	return 0, errNotRun
}

func areFree(first int) bool {
	for port := first; port < first+portsPerInstance; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		defer func() { _ = listener.Close() }()
	}
	return true
}

// startInstances starts n instances and waits until all are ready.
func (w *world) startInstances(n int) error {
	for number := range n {
		port, err := freePorts()
		if err != nil {
			return err
		}
		zone := number % len(zones)
		i := &instance{
			world: w, name: fmt.Sprintf("front-%s-%d", zones[zone], number), front: "127.0.0.1:" + strconv.Itoa(port+2), readiness: "127.0.0.1:" + strconv.Itoa(port+3),
		}
		i.settings = filepath.Join(w.folder, i.name+".toml")
		text := fmt.Sprintf(settingsFormat, i.name, zones[zone], regions[zone], port, port+1, w.advisor.Listener.Addr().String(), i.front, i.readiness, w.store.address())
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.instances = append(w.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (w *world) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range w.instances {
		for !i.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errNotRun, i.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.record("all instances are ready")
	return nil
}

func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command(binary, "attend")
	p.Env = []string{"DOTTERELPOST_NODE_FILE=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.process, i.ended = p, ended
	go func() {
		_ = p.Wait()
		close(ended)
	}()
	i.world.record("instance %s started", i.name)
	return nil
}

func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	_ = i.process.Process.Kill()
	<-i.ended
}

func (i *instance) ready() bool {
	response, err := i.world.client.Get("http://" + i.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// owner returns the instance that owns the cell. This is only used to choose the process to end.
func (w *world) owner() *instance {
	var stored struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal([]byte(w.store.value("owners", serviceName, "owner")), &stored) == nil {
		name, _, _ := strings.Cut(stored.Holder, "@")
		for _, i := range w.instances {
			if i.name == name {
				return i
			}
		}
	}
	return w.instances[0]
}

// route is a route of the configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path_prefix"`
	Service  string  `json:"service"`
	Kind     string  `json:"kind"`
	Timeout  int     `json:"timeout_ms"`
	Target   int     `json:"target_latency_ms"`
	Priority int     `json:"priority,omitempty"`
	Attempts int     `json:"max_attempts"`
	Stretch  float64 `json:"stretch"`
}

func newRoute(name string, attempts int) route {
	return route{
		Name: name, Host: hostName, Prefix: "/" + name + "/", Service: serviceName, Kind: "unsafe", Timeout: 3000, Target: 3000, Priority: 1,
		Attempts: attempts, Stretch: 4,
	}
}

// configure writes a configuration as the operator.
func (w *world) configure(version int, routes ...route) error {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 30000},
		"services": []map[string]any{{"name": serviceName, "health_path": "/healthz", "max_conns": 64, "admission_control": false}},
	})
	if err != nil {
		return err
	}
	w.store.put("op", "config", string(text))
	names := make([]string, 0, len(routes))
	for i := range routes {
		names = append(names, routes[i].Name)
	}
	w.record("configuration %d is acknowledged, routes %v", version, names)
	return nil
}

// call sends one request of a client to an instance and returns the status, 0 without an answer, and the body.
func (w *world) call(i *instance, method, path string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+i.front+path, content)
	if err != nil {
		return 0, ""
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Timeout-Ms", "3000")
	response, err := w.client.Do(request)
	if err != nil {
		w.record("%s %s at %s: no answer", method, path, i.name)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	w.record("%s %s at %s: %d %s", method, path, i.name, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// submit hands a job in, at one instance after the other until it is accepted.
func (w *world) submit(queue, id string, steps []step, behaviours ...task) error {
	return w.submitJob(queue, id, map[string]any{"spec": id, "steps": steps}, steps, behaviours)
}

// submitAt hands a job in that is due once, at a time.
func (w *world) submitAt(due time.Time, queue, id string, steps []step, behaviours ...task) error {
	return w.submitJob(queue, id, map[string]any{"spec": id, "steps": steps, "run_count": 1, "start_time_ms": due.UnixMilli()}, steps, behaviours)
}

func (w *world) submitJob(queue, id string, body map[string]any, steps []step, behaviours []task) error {
	w.mu.Lock()
	for number, behaviour := range behaviours {
		name := id + "." + strconv.Itoa(number)
		w.tasks[name], w.labels[name] = behaviour, steps[number].Label
	}
	w.mu.Unlock()
	for try := range 20 {
		status, _ := w.call(w.instances[try%len(w.instances)], http.MethodPost, "/"+queue+"/"+id, body)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: job %s is not accepted", errNotRun, id)
}

// state asks the instances for the state of a job until one answers, for a while.
func (w *world) state(queue, id string) string {
	for try := range 12 {
		status, text := w.call(w.instances[try%len(w.instances)], http.MethodGet, "/"+queue+"/"+id, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
		if status == http.StatusGone || status == http.StatusNotFound {
			return strconv.Itoa(status)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// step is a step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu,omitempty"`
	Mem      int64  `json:"mem_mb,omitempty"`
	Estimate int    `json:"estimate_ms,omitempty"`
	After    []int  `json:"after,omitempty"`
	Label    string `json:"requirements,omitempty"`
	Lasts    bool   `json:"perpetual,omitempty"`
}

// behaves returns the behaviour of tasks whose runs all take the same time and end the same way.
func behaves(cpu int64, lasts time.Duration, how string) task {
	return task{needs: room{CPU: cpu}, runs: func(int) (time.Duration, string) { return lasts, how }}
}
