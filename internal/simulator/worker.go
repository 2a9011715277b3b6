package simulator

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// FenceMode is how requests and tasks of the former owner of a partition are fenced off.
type FenceMode string

// The fence modes: a worker rejects requests with a stale epoch, or relies on the expiry of leases alone.
const (
	CompareEpochs      FenceMode = "compare-epochs"
	WaitForLeaseExpiry FenceMode = "wait-out"
)

// maxRetainedRecords is the number of end records above which a worker drops the oldest records whose
// receipt has been confirmed. It keeps unconfirmed records.
const maxRetainedRecords = 4096

// Event is the start or the end of an attempt on a worker.
type Event struct {
	At         time.Time         `json:"at"`
	Worker     string            `json:"worker"`
	Attempt    modeler.Attempt   `json:"attempt"`
	Class      modeler.Class     `json:"class"`
	Needs      modeler.Resources `json:"needs"`
	Repeatable bool              `json:"repeatable"`
	Leaving    bool              `json:"leaving,omitempty"`
	Ended      connector.EndKind `json:"ended,omitempty"`
	Started    bool              `json:"started,omitempty"`
	Capacity   modeler.Resources `json:"capacity"`
	Slots      int               `json:"slots"`
}

// taskPayload is the part of a job's payload that controls a simulated task. A real worker would run
// the task instead.
type taskPayload struct {
	RunsFor modeler.Duration `json:"runs-for"`
	Fails   bool             `json:"fails"`
	// CrashesWorker makes the task crash its worker when it has run for RunsFor.
	CrashesWorker bool            `json:"crashes-worker"`
	Answer        json.RawMessage `json:"answer"`
}

type runningTask struct {
	request     connector.StartRequest
	startedAt   time.Time
	leaseEnd    time.Time
	finishTimer clockwork.Timer
	leaseTimer  clockwork.Timer
}

// worker runs tasks under leases. In mode CompareEpochs it rejects requests whose epoch is lower than
// the highest that it has seen for the partition. It refuses to start an attempt that a stop request
// reached first.
type worker struct {
	mu                 sync.Mutex
	info               modeler.Worker
	mode               FenceMode
	clock              clockwork.Clock
	recordEvent        func(Event)
	boot               string
	bootCount          int
	dead               bool
	hidden             bool
	highestEpochs      map[string]modeler.Epoch
	running            map[string]*runningTask
	stoppedBeforeStart map[string]bool
	ended              []connector.TaskEnded
	endedByID          map[string]*connector.TaskEnded
	confirmedSequence  int64
	lastSequence       int64
	free               modeler.Resources
	freeSlots          int
	changed            chan struct{}
}

func newWorker(info modeler.Worker, mode FenceMode, clock clockwork.Clock, recordEvent func(Event)) *worker {
	w := &worker{info: info, mode: mode, clock: clock, recordEvent: recordEvent}
	w.reset()
	return w
}

// reset gives the worker a new boot ID and clears its state, as a restart does.
func (w *worker) reset() {
	w.bootCount++
	w.boot = fmt.Sprintf("%s-boot-%d", w.info.Name, w.bootCount)
	w.highestEpochs = make(map[string]modeler.Epoch)
	w.running = make(map[string]*runningTask)
	w.stoppedBeforeStart = make(map[string]bool)
	w.endedByID = make(map[string]*connector.TaskEnded)
	w.ended = nil
	w.confirmedSequence = 0
	w.lastSequence = 0
	w.free = w.info.Capacity
	w.freeSlots = w.info.Slots
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// crashDowntime is how long a worker does not answer after a task has crashed it.
const crashDowntime = 3 * time.Second

// crash simulates a crash of the worker, which restarts after crashDowntime. The caller holds the mutex.
func (w *worker) crash() {
	w.discardTasks()
	w.dead = true
	w.clock.AfterFunc(crashDowntime, w.revive)
}

// restart simulates a restart: running tasks end, recorded as if their leases had expired, and the
// state of the worker is lost.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.discardTasks()
}

// discardTasks ends all tasks and resets the worker. The caller holds the mutex.
func (w *worker) discardTasks() {
	for id := range w.running {
		w.end(id, connector.EndedLeaseExpired, nil)
	}
	w.reset()
}

// acceptsEpoch reports whether a request with the given epoch is accepted. In mode CompareEpochs it
// rejects an epoch lower than the highest accepted for the partition, and otherwise records it as the
// highest.
func (w *worker) acceptsEpoch(partition string, epoch modeler.Epoch) bool {
	if w.mode == WaitForLeaseExpiry {
		return true
	}
	if epoch < w.highestEpochs[partition] {
		return false
	}
	w.highestEpochs[partition] = epoch
	return true
}

// start starts an attempt, unless it was started before. The channel is closed at the next change of
// the worker's tasks; it is nil if the attempt has ended or was refused.
func (w *worker) start(request connector.StartRequest) (connector.StartReply, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := request.Attempt.ID()
	if w.running[id] != nil {
		return connector.StartReply{Accepted: true}, w.changed
	}
	if record := w.endedByID[id]; record != nil {
		return connector.StartReply{Accepted: true, Ended: record}, nil
	}
	if refusal := w.startRefusal(request, id); refusal != "" {
		return connector.StartReply{Refusal: refusal}, nil
	}
	w.startTask(request, id)
	return connector.StartReply{Accepted: true}, w.changed
}

func (w *worker) startRefusal(request connector.StartRequest, id string) connector.Refusal {
	switch {
	case !w.acceptsEpoch(request.Attempt.Partition, request.Attempt.Epoch):
		return connector.RefusedStaleEpoch
	case request.Boot != w.boot:
		return connector.RefusedWrongBoot
	case w.stoppedBeforeStart[id]:
		return connector.RefusedStopped
	case !request.LeaseEnd.After(w.clock.Now()):
		return connector.RefusedLeaseExpired
	case w.info.Leaving:
		return connector.RefusedLeaving
	case !request.Needs.Fits(w.free), request.Class == modeler.Quick && w.freeSlots == 0:
		return connector.RefusedCapacity
	}
	return ""
}

func (w *worker) startTask(request connector.StartRequest, id string) {
	now := w.clock.Now()
	var payload taskPayload
	if err := json.Unmarshal(request.Payload, &payload); err != nil {
		payload = taskPayload{}
	}
	task := &runningTask{request: request, startedAt: now, leaseEnd: request.LeaseEnd}
	w.running[id] = task
	w.free = w.free.Minus(request.Needs)
	if request.Class == modeler.Quick {
		w.freeSlots--
	}
	w.recordEvent(w.event(request, Event{At: now, Started: true}))
	boot := w.boot
	if payload.RunsFor > 0 || request.Class != modeler.StandingService {
		task.finishTimer = w.clock.AfterFunc(time.Duration(payload.RunsFor), func() { w.finish(boot, id, payload) })
	}
	task.leaseTimer = w.clock.AfterFunc(request.LeaseEnd.Sub(now), func() { w.expireLease(boot, id) })
}

func (w *worker) event(request connector.StartRequest, event Event) Event {
	event.Worker = w.info.Name
	event.Attempt = request.Attempt
	event.Class = request.Class
	event.Needs = request.Needs
	event.Repeatable = request.Repeatable
	event.Leaving = w.info.Leaving
	event.Capacity = w.info.Capacity
	event.Slots = w.info.Slots
	return event
}

func (w *worker) finish(boot, id string, payload taskPayload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.running[id]
	if w.boot != boot || task == nil {
		return
	}
	if payload.CrashesWorker {
		w.crash()
		return
	}
	result := modeler.NewResult(task.request.Attempt.Key, task.request.Attempt.Task, !payload.Fails, string(payload.Answer))
	w.end(id, connector.EndedFinished, &result)
}

func (w *worker) expireLease(boot, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.running[id]
	if w.boot != boot || task == nil {
		return
	}
	if left := task.leaseEnd.Sub(w.clock.Now()); left > 0 {
		task.leaseTimer = w.clock.AfterFunc(left, func() { w.expireLease(boot, id) })
		return
	}
	w.end(id, connector.EndedLeaseExpired, nil)
}

func (w *worker) end(id string, kind connector.EndKind, result *modeler.Result) *connector.TaskEnded {
	task := w.running[id]
	delete(w.running, id)
	if task.finishTimer != nil {
		task.finishTimer.Stop()
	}
	task.leaseTimer.Stop()
	w.free = w.free.Plus(task.request.Needs)
	if task.request.Class == modeler.Quick {
		w.freeSlots++
	}
	now := w.clock.Now()
	w.lastSequence++
	record := connector.TaskEnded{
		Boot:     w.boot,
		Sequence: w.lastSequence,
		Class:    task.request.Class,
		Attempt:  task.request.Attempt,
		Kind:     kind,
		Needs:    task.request.Needs,
		Result:   result,
		At:       now,
	}
	w.ended = append(w.ended, record)
	w.endedByID[id] = &record
	w.recordEvent(w.event(task.request, Event{At: now, Ended: kind}))
	close(w.changed)
	w.changed = make(chan struct{})
	return &record
}

// sync extends the leases of a partition's tasks and returns the end records that the client does not
// know yet. If there are none, the channel is closed at the next change; otherwise, and after a
// refusal, it is nil.
func (w *worker) sync(request connector.SyncRequest) (connector.SyncReply, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := connector.SyncReply{Boot: w.boot, Leaving: w.info.Leaving}
	if !w.acceptsEpoch(request.Partition, request.Epoch) {
		reply.Refusal = connector.RefusedStaleEpoch
		return reply, nil
	}
	for _, task := range w.running {
		if task.request.Attempt.Partition == request.Partition && request.LeaseEnd.After(task.leaseEnd) {
			task.leaseEnd = request.LeaseEnd
		}
	}
	w.confirm(request.Confirmed)
	for _, record := range w.ended {
		if record.Sequence > request.Known {
			reply.Ended = append(reply.Ended, record)
		}
	}
	if len(reply.Ended) > 0 {
		return reply, nil
	}
	return reply, w.changed
}

func (w *worker) confirm(sequence int64) {
	w.confirmedSequence = max(w.confirmedSequence, min(sequence, w.lastSequence))
	surplus := len(w.ended) - maxRetainedRecords
	for surplus > 0 && w.ended[0].Sequence <= w.confirmedSequence {
		delete(w.endedByID, w.ended[0].Attempt.ID())
		w.ended = w.ended[1:]
		surplus--
	}
}

func (w *worker) fence(request connector.FenceRequest) connector.FenceReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := connector.FenceReply{Boot: w.boot, Last: w.lastSequence}
	if !w.acceptsEpoch(request.Partition, request.Epoch) {
		reply.Refusal = connector.RefusedStaleEpoch
		return reply
	}
	for _, task := range w.running {
		reply.Running = append(reply.Running, connector.RunningTask{
			Attempt:   task.request.Attempt,
			Class:     task.request.Class,
			Needs:     task.request.Needs,
			StartedAt: task.startedAt,
			LeaseEnd:  task.leaseEnd,
		})
	}
	reply.Ended = append(reply.Ended, w.ended...)
	return reply
}

func (w *worker) stop(request connector.StopRequest) connector.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.acceptsEpoch(request.Attempt.Partition, request.Epoch) {
		return connector.StopReply{Refusal: connector.RefusedStaleEpoch}
	}
	if request.Boot != w.boot {
		return connector.StopReply{Refusal: connector.RefusedWrongBoot}
	}
	id := request.Attempt.ID()
	if w.running[id] != nil {
		return connector.StopReply{Ended: w.end(id, connector.EndedStopped, nil)}
	}
	if record := w.endedByID[id]; record != nil {
		return connector.StopReply{Ended: record}
	}
	w.stoppedBeforeStart[id] = true
	return connector.StopReply{NeverRan: true}
}

// attemptOutcome returns how an attempt ended, and the channel that is closed at the next change. The
// record is nil while the attempt runs; both are nil if the worker does not know the attempt because it
// restarted.
func (w *worker) attemptOutcome(attempt modeler.Attempt) (*connector.TaskEnded, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := attempt.ID()
	if record := w.endedByID[id]; record != nil {
		return record, w.changed
	}
	if w.running[id] == nil {
		return nil, nil
	}
	return nil, w.changed
}

// setCapacity changes the capacity. Running tasks stay, also those beyond it.
func (w *worker) setCapacity(capacity modeler.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Capacity = capacity
	var used modeler.Resources
	for _, task := range w.running {
		used = used.Plus(task.request.Needs)
	}
	w.free = modeler.Resources{
		Processors:   capacity.Processors - min(used.Processors, capacity.Processors),
		Memory:       capacity.Memory - min(used.Memory, capacity.Memory),
		Accelerators: capacity.Accelerators - min(used.Accelerators, capacity.Accelerators),
	}
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Leaving = true
}

// kill simulates a machine failure: all tasks end, and the worker no longer answers requests.
func (w *worker) kill() {
	w.restart()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
}

func (w *worker) revive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = false
}

func (w *worker) setHidden(hidden bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hidden = hidden
}

func (w *worker) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// describe returns the worker's entry in the instance list and whether it is listed.
func (w *worker) describe() (info modeler.Worker, listed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info, !w.dead && !w.hidden
}
