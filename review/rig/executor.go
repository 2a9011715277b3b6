package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold        = 10 * time.Second
	stopTime       = 100 * time.Millisecond
	restoreTime    = 600 * time.Millisecond
	saveInterval   = 500 * time.Millisecond
	maxListedEnds  = 500
	heartbeatTime  = 1500 * time.Millisecond
	ticketLifetime = 1500 * time.Millisecond
)

// taskSpec is the spec that the clients of the stand-in send. It tells an executor what its tasks do.
type taskSpec struct {
	// WorkMS is the duration of a task by step.
	WorkMS []int64 `json:"work_ms"`
	// CPU is what a task needs by step, and Label what its executor must have.
	CPU   []int64 `json:"cpu"`
	Label string  `json:"label"`
	// Ticket is set if the queue has advice.
	Ticket bool `json:"ticket"`
	// Saves is set if the tasks save their progress.
	Saves bool `json:"saves"`
}

// start is a start of a task, as an executor has seen it.
type start struct {
	at       time.Time
	executor string
	task     string
	run      int
	fence    int64
	label    bool
	// listed is set if the incarnation had answered a call for its lists, and so told when it was born.
	listed   bool
	used     int64
	capacity int64
}

// end is the end of a run, as an executor has listed it.
type end struct {
	at       time.Time
	executor string
	task     string
	run      int
	how      string
	// noted is when ack_cursor reached the end, or zero.
	noted time.Time
}

// journal collects what all executors have run.
type journal struct {
	mu     sync.Mutex
	starts []start
	ends   []end
	// refused counts the starts that were refused, by reason.
	refused map[string]int
	running map[string]int
}

func newJournal() *journal {
	return &journal{refused: make(map[string]int), running: make(map[string]int)}
}

// runningOf returns how many tasks of a job are running.
func (j *journal) runningOf(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for task, runs := range j.running {
		if strings.HasPrefix(task, job+".") {
			count += runs
		}
	}
	return count
}

// idleSince reports whether nothing of a job runs and nothing of it has started since a time.
func (j *journal) idleSince(job string, since time.Time) bool {
	if j.runningOf(job) > 0 {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.starts {
		if s.at.After(since) && strings.HasPrefix(s.task, job+".") {
			return false
		}
	}
	return true
}

// endsOf returns the ends of a job's tasks by how they ended.
func (j *journal) endsOf(job string) map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[string]int)
	for _, e := range j.ends {
		if strings.HasPrefix(e.task, job+".") {
			counts[e.how]++
		}
	}
	return counts
}

func (j *journal) refusals() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[string]int)
	for reason, count := range j.refused {
		counts[reason] = count
	}
	return counts
}

// executionRun is a run that an executor is working on.
type executionRun struct {
	run     int
	cpu     int64
	began   time.Time
	before  time.Duration
	work    time.Duration
	restore time.Duration
	saves   bool
	saved   string
	timer   *time.Timer
}

// worked returns how much of the work is done.
func (r *executionRun) worked() time.Duration {
	return min(r.work, r.before+max(0, time.Since(r.began)-r.restore))
}

// executor is a stand-in for an executor. It follows the section on running tasks of PROTOCOL.md.
type executor struct {
	id, zone, rack string
	service        string
	address        string
	store          *store
	record         *record
	journal        *journal

	mu       sync.Mutex
	up       bool
	kind     string
	capacity int64
	born     time.Time
	fence    int64
	leaseEnd time.Time
	running  map[string]*executionRun
	barred   map[string]int
	ends     []listedEnd
	sequence int64
	beats    int64
	changed  chan struct{}
	server   *http.Server
	nextBeat time.Time
	// listed is set once the incarnation has answered a call for its lists.
	listed bool
	// lapses are the times at which the lease lapsed, whether anything ran or not.
	lapses []time.Time
}

type listedEnd struct {
	// entry is the index of the end in the journal.
	entry    int
	sequence int64
	task     string
	run      int
	how      string
	saved    string
}

func newExecutor(id, zone, rack, kind, pool string, capacity int64, st *store, rec *record, jour *journal) (*executor, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{
		id: id, zone: zone, rack: rack, kind: kind, service: pool, capacity: capacity, address: listener.Addr().String(), store: st, record: rec, journal: jour,
	}
	e.begin(listener)
	return e, nil
}

// begin starts an incarnation that knows nothing of those before.
func (e *executor) begin(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up, e.born, e.fence, e.leaseEnd, e.listed = true, time.Now(), 0, time.Time{}, false
	e.running, e.barred, e.ends, e.sequence, e.beats = make(map[string]*executionRun), make(map[string]int), nil, 0, 0
	e.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.serveStart)
	mux.HandleFunc("POST /v1/run-stop", e.serveStop)
	mux.HandleFunc("POST /v1/hold", e.serveHold)
	mux.HandleFunc("POST /v1/pace", e.servePace)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	server := e.server
	go func() { _ = server.Serve(listener) }()
	go e.beat(e.born)
}

// beat writes the entry of an incarnation at each heartbeat.
func (e *executor) beat(born time.Time) {
	for {
		e.mu.Lock()
		due := e.nextBeat
		e.mu.Unlock()
		time.Sleep(time.Until(due))
		e.mu.Lock()
		if !e.up || !e.born.Equal(born) {
			e.mu.Unlock()
			return
		}
		e.beats++
		entry := map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": e.capacity, "mem_mb": 131072, "gpu": 0}, "labels": []string{e.kind, e.rack},
			"clock_ms": e.clockLocked(), "seq": e.beats, "born": e.born.UnixMilli(),
		}
		first := e.beats == 1
		e.nextBeat = time.Now().Add(heartbeatTime)
		e.mu.Unlock()
		e.store.put("servers", e.id, entry)
		if first {
			e.record.line("executor %s: entry written, kind %s, cpu %d, born %d", e.id, e.kind, e.capacity, born.UnixMilli())
		}
	}
}

func (e *executor) clockLocked() int64 { return time.Since(e.born).Milliseconds() }

// crash ends the incarnation with all that it runs. Its address refuses connections then.
func (e *executor) crash() {
	e.mu.Lock()
	tasks := e.running
	for task, r := range e.running {
		r.timer.Stop()
		e.journal.mu.Lock()
		e.journal.running[task]--
		e.journal.mu.Unlock()
	}
	e.up, e.running = false, make(map[string]*executionRun)
	close(e.changed)
	e.changed = make(chan struct{})
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	names := make([]string, 0, len(tasks))
	for task, r := range tasks {
		names = append(names, fmt.Sprintf("%s run %d", task, r.run))
	}
	e.record.line("executor %s: crashed with %d runs: %s", e.id, len(names), strings.Join(names, ", "))
}

// restart starts a new incarnation under the same id and address. Its first heartbeat comes after a delay.
func (e *executor) restart(kind string, capacity int64, firstBeat time.Duration) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.kind, e.capacity, e.nextBeat = kind, capacity, time.Now().Add(firstBeat)
	e.mu.Unlock()
	e.begin(listener)
	e.record.line("executor %s: started again, kind %s, cpu %d, born %d", e.id, kind, capacity, e.born.UnixMilli())
	return nil
}

func (e *executor) close() {
	e.mu.Lock()
	e.up = false
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// order holds the fields of all calls to an executor.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// read decodes a call and refuses it if it is for another incarnation or its fencing token is too low. If
// it accepts the call, it returns with the mutex held.
func (e *executor) read(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	e.mu.Lock()
	if o.Fence < e.fence {
		e.replyLocked(w, http.StatusConflict, "fence")
		e.mu.Unlock()
		return o, false
	}
	e.fence = o.Fence
	return o, true
}

// holdLocked extends the lease to a time on the executor's clock.
func (e *executor) holdLocked(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	until := e.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if !until.After(e.leaseEnd) {
		return
	}
	e.leaseEnd = until
	born := e.born
	time.AfterFunc(time.Until(until), func() { e.lapse(born) })
}

// lapse ends everything that runs if the lease has expired.
func (e *executor) lapse(born time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.born.Equal(born) || !e.up || time.Now().Before(e.leaseEnd) {
		return
	}
	e.lapses = append(e.lapses, time.Now())
	e.record.line("executor %s: the lease lapses", e.id)
	for task := range e.running {
		e.endLocked(task, "lapsed")
	}
}

// lapsedBetween reports whether the lease lapsed between two times.
func (e *executor) lapsedBetween(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.lapses {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// inUse returns the cores in use and all cores of the executors, in thousandths.
func inUse(executors []*executor) (used, capacity int64) {
	for _, e := range executors {
		e.mu.Lock()
		capacity += e.capacity
		for _, r := range e.running {
			used += r.cpu
		}
		e.mu.Unlock()
	}
	return used, capacity
}

func (e *executor) replyLocked(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": e.clockLocked(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		e.journal.mu.Lock()
		e.journal.refused[reason]++
		e.journal.mu.Unlock()
	}
	writeJSON(w, status, body)
}

func (e *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	o, accepted := e.read(w, r)
	if !accepted {
		return
	}
	defer e.mu.Unlock()
	if current := e.running[o.Task]; current != nil && current.run == o.Run {
		e.replyLocked(w, http.StatusOK, "")
		return
	}
	e.holdLocked(o.DeadlineMS)
	if o.Run <= e.barred[o.Task] {
		e.replyLocked(w, http.StatusConflict, "old")
		return
	}
	if o.DeadlineMS < e.clockLocked() {
		e.replyLocked(w, http.StatusConflict, "late")
		return
	}
	var spec taskSpec
	var job, step string
	if parts := strings.Split(o.Task, "."); len(parts) == 4 {
		job, step = parts[0], parts[2]
	}
	number := 0
	if _, err := fmt.Sscanf(step, "%d", &number); err != nil || json.Unmarshal([]byte(o.Spec), &spec) != nil || number >= len(spec.WorkMS) || job == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if spec.Ticket && !validTicket(o.Ticket, o.Task[:strings.LastIndex(o.Task, ".")], e.id, e.born) {
		e.record.line("executor %s: start of %s run %d refused (409, ticket), ticket %q", e.id, o.Task, o.Run, o.Ticket)
		e.replyLocked(w, http.StatusConflict, "ticket")
		return
	}
	current := &executionRun{run: o.Run, cpu: spec.CPU[number], began: time.Now(), work: time.Duration(spec.WorkMS[number]) * time.Millisecond, saves: spec.Saves}
	if done, found := progressOf(o.Checkpoint); found && spec.Saves {
		current.before, current.restore, current.saved = done, restoreTime, o.Checkpoint
	}
	used := current.cpu
	for _, other := range e.running {
		used += other.cpu
	}
	task := o.Task
	current.timer = time.AfterFunc(current.restore+current.work-current.before, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[task] == current {
			e.endLocked(task, "done")
		}
	})
	e.running[task] = current
	s := start{at: time.Now(), executor: e.id, task: task, run: o.Run, fence: o.Fence, label: spec.Label == "" || spec.Label == e.kind, listed: e.listed, used: used, capacity: e.capacity}
	e.journal.mu.Lock()
	e.journal.starts = append(e.journal.starts, s)
	e.journal.running[task]++
	e.journal.mu.Unlock()
	e.record.line("executor %s: starts %s run %d, fence %d, checkpoint %q, %d of %d cpu in use", e.id, task, o.Run, o.Fence, o.Checkpoint, used, e.capacity)
	e.replyLocked(w, http.StatusOK, "")
}

// saveLocked makes a new checkpoint of a run, at most once in an interval.
func (r *executionRun) saveLocked() string {
	if !r.saves {
		return ""
	}
	done := r.worked().Truncate(saveInterval)
	if saved, found := progressOf(r.saved); done > 0 && (!found || done > saved) {
		random := make([]byte, 4)
		if _, err := rand.Read(random); err == nil {
			r.saved = fmt.Sprintf("%08x%s", done.Milliseconds(), hex.EncodeToString(random))
		}
	}
	return r.saved
}

// progressOf returns the work that a checkpoint stands for.
func progressOf(checkpoint string) (time.Duration, bool) {
	var milliseconds int64
	if len(checkpoint) != 16 {
		return 0, false
	}
	if _, err := fmt.Sscanf(checkpoint[:8], "%08x", &milliseconds); err != nil {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// endLocked ends a run and lists its end.
func (e *executor) endLocked(task, how string) {
	r := e.running[task]
	r.timer.Stop()
	delete(e.running, task)
	e.barred[task] = max(e.barred[task], r.run)
	e.sequence++
	e.journal.mu.Lock()
	e.journal.running[task]--
	e.ends = append(e.ends, listedEnd{len(e.journal.ends), e.sequence, task, r.run, how, r.saveLocked()})
	e.journal.ends = append(e.journal.ends, end{at: time.Now(), executor: e.id, task: task, run: r.run, how: how})
	e.journal.mu.Unlock()
	e.record.line("executor %s: %s run %d ended %s", e.id, task, r.run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) serveStop(w http.ResponseWriter, r *http.Request) {
	o, accepted := e.read(w, r)
	if !accepted {
		return
	}
	defer e.mu.Unlock()
	e.barred[o.Task] = max(e.barred[o.Task], o.Run)
	if current := e.running[o.Task]; current != nil && current.run <= o.Run {
		born := e.born
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up && e.born.Equal(born) && e.running[o.Task] == current {
				e.endLocked(o.Task, "stopped")
			}
		})
	}
	e.replyLocked(w, http.StatusOK, "")
}

func (e *executor) servePace(w http.ResponseWriter, r *http.Request) {
	_, accepted := e.read(w, r)
	if !accepted {
		return
	}
	defer e.mu.Unlock()
	e.replyLocked(w, http.StatusOK, "")
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	o, accepted := e.read(w, r)
	if !accepted {
		return
	}
	e.holdLocked(o.DeadlineMS)
	e.journal.mu.Lock()
	for len(e.ends) > 0 && e.ends[0].sequence <= o.AckCursor {
		e.journal.ends[e.ends[0].entry].noted = time.Now()
		e.ends = e.ends[1:]
	}
	e.journal.mu.Unlock()
	born := e.born
	if len(e.ends) == 0 && o.WaitMS > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	if !e.up || !e.born.Equal(born) {
		panic(http.ErrAbortHandler)
	}
	e.listed = true
	running, ends := [][]any{}, [][]any{}
	for task, current := range e.running {
		percent := 0
		if current.work > 0 {
			percent = int(100 * current.worked() / current.work)
		}
		running = append(running, []any{task, current.run, current.saveLocked(), percent, current.cpu})
	}
	for _, listed := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ends = append(ends, []any{listed.sequence, listed.task, listed.run, listed.how, listed.saved})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockLocked(), "born": e.born.UnixMilli(), "running": running, "completions": ends})
}
