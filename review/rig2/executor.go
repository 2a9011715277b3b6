package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 10 * time.Second
	stopTime     = 20 * time.Millisecond
	maxEndsShown = 500
)

// room is the capacity of an executor, or what a task requests.
type room struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

func (r room) plus(other room) room {
	return room{r.CPU + other.CPU, r.Mem + other.Mem, r.GPU + other.GPU}
}

func (r room) fits(capacity room) bool {
	return r.CPU <= capacity.CPU && r.Mem <= capacity.Mem && r.GPU <= capacity.GPU
}

// task is how a task behaves: what each of its runs takes, for how long, and how it ends.
type task struct {
	needs room
	runs  func(run int) (time.Duration, string)
}

// execution is one run of a task on an executor.
type execution struct {
	task    string
	run     int
	needs   room
	began   time.Time
	lasts   time.Duration
	timer   *time.Timer
	stopped bool
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// executor is a stand-in for an executor: a sequence of lives under one id and one address.
type executor struct {
	world *world
	id    string
	zone  string

	listener *powerListener
	server   *http.Server
	address  string

	mu sync.Mutex
	up bool
	// dark is closed when the machine has lost its power for good.
	dark     chan struct{}
	capacity room
	labels   []string
	born     time.Time
	seq      int64
	fence    int64
	running  map[string]*execution
	refused  map[string]int
	ends     []ended
	number   int64
	changed  chan struct{}
	deadline time.Duration
	lapse    *time.Timer
	// cut is set while the executor does not reach the store. reportedAt is when it last wrote its entry.
	cut        bool
	reportedAt time.Time
	// toldAt is when this life first answered with its list, which names its start.
	toldAt time.Time
}

func (w *world) newExecutor(id, zone string, capacity room, labels ...string) (*executor, error) {
	e := &executor{world: w, id: id, zone: zone}
	if err := e.start(capacity, labels...); err != nil {
		return nil, err
	}
	w.executors = append(w.executors, e)
	go e.beat()
	return e, nil
}

// start begins a new life of the executor.
func (e *executor) start(capacity room, labels ...string) error {
	address := e.address
	if address == "" {
		port, err := freePorts()
		if err != nil {
			return err
		}
		address = "127.0.0.1:" + strconv.Itoa(port)
	}
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	listener := &powerListener{Listener: opened, closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.serveStart)
	mux.HandleFunc("POST /v1/run-stop", e.serveStop)
	mux.HandleFunc("POST /v1/hold", e.serveHold)
	mux.HandleFunc("POST /v1/pace", e.servePace)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	e.mu.Lock()
	e.listener, e.server, e.address = listener, server, listener.Addr().String()
	e.up, e.capacity, e.labels, e.born = true, capacity, labels, time.Now()
	e.seq, e.fence, e.number, e.deadline, e.ends = 0, 0, 0, 0, nil
	e.toldAt, e.dark = time.Time{}, make(chan struct{})
	e.running, e.refused, e.changed = make(map[string]*execution), make(map[string]int), make(chan struct{})
	e.mu.Unlock()
	e.world.record("executor %s begins a life, capacity %d, labels %v", e.id, capacity.CPU, labels)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.world.record("executor %s: %v", e.id, err)
		}
	}()
	e.report()
	return nil
}

// crash ends the life of the executor: nothing runs any more, and connections are reset.
func (e *executor) crash() {
	e.mu.Lock()
	e.up = false
	for _, x := range e.running {
		x.timer.Stop()
		e.world.ranEnd(e, x, "crash")
	}
	e.running = make(map[string]*execution)
	if e.lapse != nil {
		e.lapse.Stop()
	}
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.world.record("executor %s crashes", e.id)
}

// loseForGood takes the power from the executor's machine: nothing runs any more, its connections go silent, and new ones
// are not established.
func (e *executor) loseForGood() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	close(e.dark)
	for _, x := range e.running {
		x.timer.Stop()
		e.world.ranEnd(e, x, "power lost")
	}
	e.running = make(map[string]*execution)
	if e.lapse != nil {
		e.lapse.Stop()
	}
	e.world.record("executor %s loses its power for good", e.id)
	return e.listener.fallSilent()
}

// keepSilent holds a call until its caller gives up, if the machine has lost its power. It reports whether it has. The
// mutex must not be held.
func (e *executor) keepSilent(r *http.Request) bool {
	e.mu.Lock()
	dark := e.dark
	e.mu.Unlock()
	select {
	case <-dark:
		select {
		case <-r.Context().Done():
		case <-e.world.done:
		}
		return true
	default:
		return false
	}
}

// setCut cuts the executor from the store, or ends that.
func (e *executor) setCut(cut bool) {
	e.mu.Lock()
	e.cut = cut
	up := e.up
	e.mu.Unlock()
	e.world.record("executor %s cut from the store: %t", e.id, cut)
	if !cut && up {
		e.report()
	}
}

// beat writes the entry at each heartbeat. The platform removes it after three of silence.
func (e *executor) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.world.done:
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		silent := time.Since(e.reportedAt) > 3*heartbeat
		reaches := e.up && !e.cut
		e.mu.Unlock()
		if reaches {
			e.report()
		} else if silent {
			e.world.store.drop("servers", e.id)
		}
	}
}

func (e *executor) report() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut || !e.up {
		return
	}
	e.seq++
	e.reportedAt = time.Now()
	text, err := json.Marshal(map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"seq": e.seq, "capacity": e.capacity, "labels": e.labels, "born": e.born.UnixMilli(),
	})
	if err == nil {
		e.world.store.put("servers", e.id, string(text))
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence_token"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

// accept reads an order. It replies and returns false if the order is not for this life or its token is stale. The
// mutex is held when it returns true.
func (e *executor) accept(out http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if e.keepSilent(r) {
		panic(http.ErrAbortHandler)
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if r.Header.Get("Expected-Instance") != e.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < e.fence {
		e.answer(out, http.StatusConflict, "fence")
		e.mu.Unlock()
		return o, false
	}
	e.fence = o.Fence
	return o, true
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// extend extends the lease of all that runs.
func (e *executor) extend(o *order) {
	if o.Deadline == 0 {
		return
	}
	until := min(time.Duration(o.Deadline)*time.Millisecond, e.clock()+maxHold)
	if until <= e.deadline {
		return
	}
	e.deadline = until
	born := e.born
	if e.lapse != nil {
		e.lapse.Stop()
	}
	e.lapse = time.AfterFunc(until-e.clock(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born != born || e.clock() < e.deadline {
			return
		}
		for _, x := range e.running {
			x.timer.Stop()
			e.end(x, "lapsed")
		}
	})
}

func (e *executor) answer(out http.ResponseWriter, status int, reason string) {
	writeJSON(out, status, struct {
		Clock  int64  `json:"clock_ms"`
		Reason string `json:"reason,omitempty"`
	}{e.clock().Milliseconds(), reason})
}

func (e *executor) serveStart(out http.ResponseWriter, r *http.Request) {
	o, accepted := e.accept(out, r)
	if !accepted {
		return
	}
	defer e.mu.Unlock()
	if x := e.running[o.Task]; x != nil && x.run == o.Run {
		e.extend(&o)
		e.answer(out, http.StatusOK, "")
		return
	}
	if o.Run <= e.refused[o.Task] || e.running[o.Task] != nil {
		e.extend(&o)
		e.answer(out, http.StatusConflict, "old")
		return
	}
	if time.Duration(o.Deadline)*time.Millisecond < e.clock() {
		e.answer(out, http.StatusConflict, "late")
		return
	}
	behaviour, known := e.world.taskOf(o.Task)
	if !known {
		e.answer(out, http.StatusBadRequest, "")
		return
	}
	e.extend(&o)
	lasts, how := behaviour.runs(o.Run)
	x := &execution{task: o.Task, run: o.Run, needs: behaviour.needs, began: time.Now(), lasts: lasts}
	x.timer = time.AfterFunc(lasts, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[x.task] == x && !x.stopped {
			e.end(x, how)
		}
	})
	e.running[o.Task] = x
	used := room{}
	for _, other := range e.running {
		used = used.plus(other.needs)
	}
	e.world.ranStart(e, x, used)
	e.answer(out, http.StatusOK, "")
}

// end ends a run and lists its end. The mutex must be held.
func (e *executor) end(x *execution, how string) {
	delete(e.running, x.task)
	e.refused[x.task] = max(e.refused[x.task], x.run)
	e.number++
	e.ends = append(e.ends, ended{e.number, x.task, x.run, how})
	e.world.ranEnd(e, x, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) serveStop(out http.ResponseWriter, r *http.Request) {
	o, accepted := e.accept(out, r)
	if !accepted {
		return
	}
	defer e.mu.Unlock()
	e.refused[o.Task] = max(e.refused[o.Task], o.Run)
	if x := e.running[o.Task]; x != nil && x.run <= o.Run && !x.stopped {
		x.stopped = true
		x.timer.Stop()
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.running[x.task] == x {
				e.end(x, "stopped")
			}
		})
	}
	e.answer(out, http.StatusOK, "")
}

func (e *executor) servePace(out http.ResponseWriter, r *http.Request) {
	if _, accepted := e.accept(out, r); accepted {
		e.answer(out, http.StatusOK, "")
		e.mu.Unlock()
	}
}

func (e *executor) serveHold(out http.ResponseWriter, r *http.Request) {
	o, accepted := e.accept(out, r)
	if !accepted {
		return
	}
	defer e.mu.Unlock()
	e.extend(&o)
	e.ends = slices.DeleteFunc(e.ends, func(end ended) bool { return end.number <= o.Cursor })
	if len(e.ends) == 0 && o.Wait > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		silent := e.keepSilent(r)
		e.mu.Lock()
		if silent {
			panic(http.ErrAbortHandler)
		}
	}
	if !e.up {
		panic(http.ErrAbortHandler)
	}
	if e.toldAt.IsZero() {
		e.toldAt = time.Now()
	}
	running, ends := make([][]any, 0, len(e.running)), make([][]any, 0, len(e.ends))
	for _, x := range e.running {
		percent := min(100, int(100*time.Since(x.began)/max(1, x.lasts)))
		running = append(running, []any{x.task, x.run, "", percent, x.needs.CPU})
	}
	for _, end := range e.ends[:min(maxEndsShown, len(e.ends))] {
		ends = append(ends, []any{end.number, end.task, end.run, end.how, ""})
	}
	writeJSON(out, http.StatusOK, struct {
		Clock       int64   `json:"clock_ms"`
		Born        int64   `json:"born"`
		Running     [][]any `json:"running"`
		Completions [][]any `json:"completions"`
	}{e.clock().Milliseconds(), e.born.UnixMilli(), running, ends})
}

func (e *executor) String() string { return fmt.Sprintf("%s (%s)", e.id, e.labels) }
