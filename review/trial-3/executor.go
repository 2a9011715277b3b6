package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	beat        = 1500 * time.Millisecond
	restoreTime = 600 * time.Millisecond
	saveStep    = 500 * time.Millisecond
	maxListed   = 500
)

// run is a run of a task, from its start until its end.
type run struct {
	task   taskName
	number int
	step   *stepSpec
	// working is when the work began. done is the work of the checkpoint.
	working time.Time
	done    time.Duration
	timer   *time.Timer
	stopped bool
}

type end struct {
	number int
	run    *run
	how    string
	saved  string
}

// executor is a stand-in of an executor. It runs everything that it is told to. All runs end as done unless it crashes.
type executor struct {
	trial    *trial
	id       string
	address  string
	zone     int
	cpu, mem int64
	kind     string
	rack     string
	born     time.Time
	server   *http.Server

	// dark is set from a crash until the next start.
	dark    bool
	fence   int64
	lease   time.Time
	running map[string]*run
	old     map[string]int
	ends    []*end
	count   int
	changed chan struct{}
}

// clock returns the reading of the executor's clock.
func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// begin starts the executor, at the address that it had if there was one.
func (e *executor) begin() error {
	listener, err := net.Listen("tcp", cmp.Or(e.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	e.trial.mu.Lock()
	defer e.trial.mu.Unlock()
	e.dark, e.address, e.born = false, listener.Addr().String(), time.Now()
	e.fence, e.lease, e.count, e.ends = 0, time.Time{}, 0, nil
	e.running, e.old, e.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	server := e.server
	go func() { _ = server.Serve(listener) }()
	go e.report(e.born)
	return nil
}

// crash ends everything that runs on the executor, which answers nothing until it starts again.
func (e *executor) crash(downTime time.Duration) {
	e.trial.mu.Lock()
	e.dark = true
	e.trial.note("executor %s crashes with %d runs", e.id, len(e.running))
	for _, r := range e.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		e.trial.task(r.task).running--
	}
	e.running = make(map[string]*run)
	close(e.changed)
	server := e.server
	e.trial.mu.Unlock()
	time.Sleep(downTime)
	// It fails only if the listener is closed.
	_ = server.Close()
	if err := e.begin(); err != nil {
		e.trial.note("executor %s can't start again: %v", e.id, err)
		return
	}
	e.trial.note("executor %s is back", e.id)
}

// report writes the executor's report about itself again and again.
func (e *executor) report(born time.Time) {
	for n := 1; ; n++ {
		e.trial.mu.Lock()
		ended := e.dark || !e.born.Equal(born)
		e.trial.mu.Unlock()
		if ended {
			return
		}
		e.trial.store.put("servers", e.id, map[string]any{
			"service": service, "address": e.address, "zone": zones[e.zone], "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": n,
			"capacity": map[string]int64{"cpu": e.cpu, "mem_mb": e.mem, "gpu": 0}, "labels": []string{e.kind, e.rack}, "born": born.UnixMilli(), "remaining_ms": 0,
		})
		time.Sleep(beat)
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMS *int64 `json:"deadline_ms"`
	Fence      int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int    `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Expected-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := e.execute(r.URL.Path, &o)
	if status == 0 {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	reply(w, status, body)
}

func (e *executor) answer(status int, reason string) (int, any) {
	body := map[string]any{"clock_ms": e.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	return status, body
}

// execute carries out an order. Status 0 means that there is no answer.
func (e *executor) execute(path string, o *order) (int, any) {
	e.trial.mu.Lock()
	defer e.trial.mu.Unlock()
	if e.dark {
		return 0, nil
	}
	if o.Fence < e.fence {
		return e.answer(http.StatusConflict, "fence")
	}
	e.fence = o.Fence
	if o.DeadlineMS != nil {
		e.extend(*o.DeadlineMS)
	}
	switch path {
	case "/v1/run-start":
		return e.start(o)
	case "/v1/run-stop":
		e.old[o.Task] = max(e.old[o.Task], o.Run)
		if r := e.running[o.Task]; r != nil && r.number <= o.Run && !r.stopped {
			r.stopped = true
			e.later(stopTime, func() { e.end(r, "stopped") })
		}
		return e.answer(http.StatusOK, "")
	case "/v1/pace":
		return e.answer(http.StatusOK, "")
	case "/v1/hold":
		return e.hold(o)
	}
	return http.StatusNotFound, nil
}

// later calls f with the mutex held, unless the executor has crashed by then.
func (e *executor) later(after time.Duration, f func()) *time.Timer {
	born := e.born
	return time.AfterFunc(after, func() {
		e.trial.mu.Lock()
		defer e.trial.mu.Unlock()
		if !e.dark && e.born.Equal(born) {
			f()
		}
	})
}

// extend extends the lease, never beyond maxHold, and never shortens it. The mutex must be held.
func (e *executor) extend(deadline int64) {
	until := e.born.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if !until.After(e.lease) || !until.After(time.Now()) {
		return
	}
	e.lease = until
	e.later(time.Until(until), func() {
		if time.Now().Before(e.lease) {
			return
		}
		for _, r := range e.running {
			e.end(r, "lapsed")
		}
	})
}

func (e *executor) start(o *order) (int, any) {
	name, valid := parseTask(o.Task)
	if !valid {
		return e.answer(http.StatusBadRequest, "")
	}
	r := e.running[o.Task]
	switch {
	case r != nil && r.number == o.Run:
		return e.answer(http.StatusOK, "")
	case o.Run <= e.old[o.Task] || r != nil && o.Run < r.number:
		return e.answer(http.StatusConflict, "old")
	case o.DeadlineMS != nil && *o.DeadlineMS <= e.clock():
		return e.answer(http.StatusConflict, "late")
	}
	if r != nil {
		e.end(r, "stopped")
	}
	r = &run{task: name, number: o.Run, step: e.trial.step(name), working: time.Now()}
	e.running[o.Task] = r
	e.trial.task(name).running++
	e.trial.note("executor %s starts %s run %d", e.id, o.Task, o.Run)
	if e.trial.onStart != nil {
		e.trial.onStart(e, name)
	}
	if r.step == nil {
		return e.answer(http.StatusOK, "")
	}
	if o.Checkpoint != "" {
		r.done, r.working = checkpointWork(o.Checkpoint), time.Now().Add(restoreTime)
	}
	r.timer = e.later(max(0, time.Until(r.working)+r.step.work-r.done), func() { e.end(r, "done") })
	return e.answer(http.StatusOK, "")
}

// progress returns the work that a run has saved, as a checkpoint.
func (r *run) progress(stopping bool) string {
	if r.step == nil || !r.step.Saves {
		return ""
	}
	done := r.done + max(0, time.Since(r.working))
	if !stopping {
		done -= done % saveStep
	}
	if done < saveStep {
		return ""
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(r.task.String()))
	return fmt.Sprintf("%08x%08x", done.Milliseconds(), hash.Sum32())
}

func checkpointWork(text string) time.Duration {
	amount, err := strconv.ParseInt(text[:min(8, len(text))], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(amount) * time.Millisecond
}

// end ends a run and lists its end. The mutex must be held.
func (e *executor) end(r *run, how string) {
	key := r.task.String()
	if e.running[key] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	saved := ""
	if how != "done" {
		saved = r.progress(how == "stopped")
	}
	delete(e.running, key)
	e.old[key] = max(e.old[key], r.number)
	e.count++
	e.ends = append(e.ends, &end{number: e.count, run: r, how: how, saved: saved})
	record := e.trial.task(r.task)
	record.running--
	record.done = record.done || how == "done"
	e.trial.note("executor %s ends %s run %d: %s", e.id, key, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) hold(o *order) (int, any) {
	for len(e.ends) > 0 && e.ends[0].number <= o.AckCursor {
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 && o.WaitMS > 0 {
		changed, born := e.changed, e.born
		e.trial.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		e.trial.mu.Lock()
		if e.dark || !e.born.Equal(born) {
			return 0, nil
		}
	}
	running, completions := [][]any{}, [][]any{}
	for key, r := range e.running {
		running = append(running, []any{key, r.number, r.progress(false), 100, 0})
	}
	for _, one := range e.ends[:min(len(e.ends), maxListed)] {
		completions = append(completions, []any{one.number, one.run.task.String(), one.run.number, one.how, one.saved})
	}
	return http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "running": running, "completions": completions}
}
