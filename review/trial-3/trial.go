package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	service  = "balcao"
	host     = "desk.example"
	prefix   = "/quotes/"
	attempts = 3
)

// stepSpec is a step as a client submits it, and how its tasks behave.
type stepSpec struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu,omitempty"`
	MemoryMB   int64 `json:"mem_mb,omitempty"`
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	After      []int `json:"after,omitempty"`
	Saves      bool  `json:"saves_progress,omitempty"`

	work time.Duration
}

type jobSpec struct {
	Spec       string     `json:"spec"`
	Steps      []stepSpec `json:"steps"`
	RunCount   int        `json:"run_count,omitempty"`
	StartMS    int64      `json:"start_time_ms,omitempty"`
	IntervalMS int64      `json:"interval_ms,omitempty"`
}

// job is what the clients have seen of a job.
type job struct {
	id       string
	spec     jobSpec
	accepted time.Time
}

type taskName struct {
	job            string
	k, step, index int
}

func (n taskName) String() string { return fmt.Sprintf("%s.%d.%d.%d", n.job, n.k, n.step, n.index) }

func parseTask(text string) (taskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	numbers := [3]int{}
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskName{}, false
		}
		numbers[i] = number
	}
	return taskName{parts[0], numbers[0], numbers[1], numbers[2]}, true
}

// taskRecord is what the executors have seen of a task.
type taskRecord struct {
	running int
	done    bool
}

type trial struct {
	program, folder string
	store           *store
	instances       []*instance
	executors       []*executor
	began0          time.Time
	record          *os.File

	mu     sync.Mutex
	jobs   map[string]*job
	tasks  map[taskName]*taskRecord
	broken []string
	// onStart, if set, is called for each start with the mutex held.
	onStart func(e *executor, name taskName)
}

func newTrial(program, recordFile string) (*trial, error) {
	folder, err := os.MkdirTemp("", "trial-3-")
	if err != nil {
		return nil, err
	}
	t := &trial{program: program, folder: folder, began0: time.Now(), jobs: make(map[string]*job), tasks: make(map[taskName]*taskRecord)}
	if t.record, err = os.Create(recordFile); err != nil {
		return nil, err
	}
	t.store, err = newStore(func(reason string) {
		if t.store == nil || t.store.refused.Load() < 20 {
			t.note("store refuses a call: %s", reason)
		}
	})
	return t, err
}

// note writes a line to the record.
func (t *trial) note(format string, values ...any) {
	_, _ = fmt.Fprintf(t.record, "%8.3f  %s\n", time.Since(t.began0).Seconds(), fmt.Sprintf(format, values...))
}

// breaks notes that a rule was broken. The mutex must be held.
func (t *trial) breaks(rule, format string, values ...any) {
	text := rule + ": " + fmt.Sprintf(format, values...)
	t.broken = append(t.broken, text)
	t.note("BROKEN %s", text)
}

func (t *trial) start(instances, executors int, cpu, mem int64) error {
	ports, err := freePorts(4 * instances)
	if err != nil {
		return err
	}
	t.configure()
	for n := range executors {
		e := &executor{trial: t, id: fmt.Sprintf("i-%08x", 0x51c30000+n*7919), zone: n % 3, cpu: cpu, mem: mem, kind: []string{"a", "b"}[n%2], rack: fmt.Sprintf("r%d-%d", n%3, n/8)}
		if err := e.begin(); err != nil {
			return err
		}
		t.executors = append(t.executors, e)
	}
	for n := range instances {
		i, err := newInstance(t.program, t.folder, n, ports[4*n:], t.store.address)
		if err != nil {
			return err
		}
		t.instances = append(t.instances, i)
	}
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range t.instances {
			if i.ready() {
				ready++
			}
		}
		if ready == len(t.instances) {
			t.note("%d processes are ready, owner %s", ready, t.owner().name)
			return nil
		}
		if time.Now().After(limit) {
			return os.ErrDeadlineExceeded
		}
	}
}

func (t *trial) configure() {
	t.store.put("op", "config", map[string]any{
		"version":  7,
		"routes":   []map[string]any{{"name": "quotes", "host": host, "path_prefix": prefix, "service": service, "timeout_ms": 3000, "target_latency_ms": 1200, "max_attempts": attempts, "stretch": 2.0, "priority": 1}},
		"services": []map[string]any{{"name": service, "admission_control": false}},
		"limits":   map[string]any{"max_body_bytes": 262144, "max_header_bytes": 16384},
	})
}

// close ends everything that the trial has started.
func (t *trial) close() {
	for _, i := range t.instances {
		i.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.folder)
	} else if logs, err := filepath.Glob(filepath.Join(t.folder, "*.log")); err == nil {
		fmt.Fprintln(os.Stderr, logs)
	}
	_ = t.record.Close()
}

// owner returns the instance that the store names as the owner of the cell.
func (t *trial) owner() *instance {
	var stored struct {
		Owner string `json:"owner"`
	}
	_ = json.Unmarshal(t.store.get("owners", service, "owner"), &stored)
	for _, i := range t.instances {
		if strings.HasPrefix(stored.Owner, i.name+"@") {
			return i
		}
	}
	return t.instances[0]
}

func (t *trial) step(name taskName) *stepSpec {
	j := t.jobs[name.job]
	if j == nil || name.step >= len(j.spec.Steps) {
		return nil
	}
	return &j.spec.Steps[name.step]
}

func (t *trial) task(name taskName) *taskRecord {
	record := t.tasks[name]
	if record == nil {
		record = &taskRecord{}
		t.tasks[name] = record
	}
	return record
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// call sends a request of a client to an instance. Status 0 means that there was no answer.
func call(i *instance, method, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil
		}
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+i.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Timeout-Ms", "3000")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

func (t *trial) anyone() *instance { return t.instances[rand.IntN(len(t.instances))] }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, with up to four more attempts.
func (t *trial) submit(spec jobSpec) { t.submitAs(newID(), spec) }

func (t *trial) submitAs(id string, spec jobSpec) {
	j := &job{id: id, spec: spec}
	j.spec.Spec = "quote " + j.id
	t.mu.Lock()
	t.jobs[j.id] = j
	t.mu.Unlock()
	for attempt := range 5 {
		status, _ := call(t.anyone(), http.MethodPost, prefix+j.id, j.spec)
		t.note("client hands in %s, attempt %d: %d", j.id, attempt+1, status)
		if status/100 == 2 {
			t.mu.Lock()
			j.accepted = time.Now()
			t.mu.Unlock()
		}
		if status/100 == 2 || status == http.StatusBadRequest {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// look asks for the state of a job.
func (t *trial) look(j *job) string {
	status, text := call(t.anyone(), http.MethodGet, prefix+j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(text, &body)
	}
	t.note("client asks for %s: %d %s", j.id, status, body.State)
	return body.State
}
