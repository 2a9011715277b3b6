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

// FenceMode says what a worker knows of epochs.
type FenceMode string

// The modes: a worker compares epochs, or knows nothing but the end of a lease.
const (
	CompareEpochs      FenceMode = "compare-epochs"
	WaitForLeaseExpiry FenceMode = "wait-out"
)

// rememberedRecords bounds the confirmed records that a worker still remembers.
const rememberedRecords = 4096

// Event is what really happened on a worker.
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

// behaviour is what the stand-in reads in a payload; a real worker would run the task instead.
type behaviour struct {
	RunsFor modeler.Duration `json:"runs-for"`
	Fails   bool             `json:"fails"`
	Answer  json.RawMessage  `json:"answer"`
}

type runningTask struct {
	start     connector.StartRequest
	startedAt time.Time
	leaseEnd  time.Time
	timer     clockwork.Timer
	lease     clockwork.Timer
}

// worker runs tasks under leases. In mode CompareEpochs it obeys no epoch of a partition lower
// than the highest that it has seen.
type worker struct {
	mu        sync.Mutex
	info      modeler.Worker
	mode      FenceMode
	clock     clockwork.Clock
	record    func(Event)
	boot      string
	boots     int
	dead      bool
	hidden    bool
	epochs    map[string]modeler.Epoch
	running   map[string]*runningTask
	refused   map[string]bool
	ended     []connector.TaskEnded
	endedByID map[string]*connector.TaskEnded
	confirmed int64
	sequence  int64
	free      modeler.Resources
	freeSlots int
	changed   chan struct{}
}

func newWorker(info modeler.Worker, mode FenceMode, clock clockwork.Clock, record func(Event)) *worker {
	w := &worker{info: info, mode: mode, clock: clock, record: record}
	w.forget()
	return w
}

// forget is what a restart does to a worker: its tasks end and its memory is empty.
func (w *worker) forget() {
	w.boots++
	w.boot = fmt.Sprintf("%s-boot-%d", w.info.Name, w.boots)
	w.epochs = make(map[string]modeler.Epoch)
	w.running = make(map[string]*runningTask)
	w.refused = make(map[string]bool)
	w.endedByID = make(map[string]*connector.TaskEnded)
	w.ended = nil
	w.confirmed = 0
	w.sequence = 0
	w.free = w.info.Capacity
	w.freeSlots = w.info.Slots
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.running {
		w.end(id, connector.EndedLeaseExpired, nil)
	}
	w.forget()
}

func (w *worker) obeys(partition string, epoch modeler.Epoch) bool {
	if w.mode == WaitForLeaseExpiry {
		return true
	}
	if epoch < w.epochs[partition] {
		return false
	}
	w.epochs[partition] = epoch
	return true
}

func (w *worker) start(ask connector.StartRequest) (connector.StartReply, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := ask.Attempt.ID()
	if w.running[id] != nil {
		return connector.StartReply{Accepted: true}, w.changed
	}
	if record := w.endedByID[id]; record != nil {
		return connector.StartReply{Accepted: true, Ended: record}, nil
	}
	if refusal := w.refusalOf(ask, id); refusal != "" {
		return connector.StartReply{Refusal: refusal}, nil
	}
	w.run(ask, id)
	return connector.StartReply{Accepted: true}, w.changed
}

func (w *worker) refusalOf(ask connector.StartRequest, id string) connector.Refusal {
	switch {
	case !w.obeys(ask.Attempt.Partition, ask.Attempt.Epoch):
		return connector.RefusedStaleEpoch
	case ask.Boot != w.boot:
		return connector.RefusedWrongBoot
	case w.refused[id]:
		return connector.RefusedStopped
	case !ask.LeaseEnd.After(w.clock.Now()):
		return connector.RefusedLeaseExpired
	case w.info.Leaving:
		return connector.RefusedLeaving
	case !ask.Needs.Fits(w.free), ask.Class == modeler.Quick && w.freeSlots == 0:
		return connector.RefusedCapacity
	}
	return ""
}

func (w *worker) run(ask connector.StartRequest, id string) {
	now := w.clock.Now()
	var act behaviour
	if err := json.Unmarshal(ask.Payload, &act); err != nil {
		act = behaviour{}
	}
	task := &runningTask{start: ask, startedAt: now, leaseEnd: ask.LeaseEnd}
	w.running[id] = task
	w.free = w.free.Minus(ask.Needs)
	if ask.Class == modeler.Quick {
		w.freeSlots--
	}
	w.record(w.event(ask, Event{At: now, Started: true}))
	boot := w.boot
	if act.RunsFor > 0 || ask.Class != modeler.StandingService {
		task.timer = w.clock.AfterFunc(time.Duration(act.RunsFor), func() { w.finish(boot, id, act) })
	}
	task.lease = w.clock.AfterFunc(ask.LeaseEnd.Sub(now), func() { w.lapse(boot, id) })
}

func (w *worker) event(ask connector.StartRequest, event Event) Event {
	event.Worker = w.info.Name
	event.Attempt = ask.Attempt
	event.Class = ask.Class
	event.Needs = ask.Needs
	event.Repeatable = ask.Repeatable
	event.Leaving = w.info.Leaving
	event.Capacity = w.info.Capacity
	event.Slots = w.info.Slots
	return event
}

func (w *worker) finish(boot, id string, act behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.running[id]
	if w.boot != boot || task == nil {
		return
	}
	result := modeler.NewResult(task.start.Attempt.Key, task.start.Attempt.Task, !act.Fails, string(act.Answer))
	w.end(id, connector.EndedFinished, &result)
}

func (w *worker) lapse(boot, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.running[id]
	if w.boot != boot || task == nil {
		return
	}
	if left := task.leaseEnd.Sub(w.clock.Now()); left > 0 {
		task.lease = w.clock.AfterFunc(left, func() { w.lapse(boot, id) })
		return
	}
	w.end(id, connector.EndedLeaseExpired, nil)
}

func (w *worker) end(id string, kind connector.EndKind, result *modeler.Result) *connector.TaskEnded {
	task := w.running[id]
	delete(w.running, id)
	if task.timer != nil {
		task.timer.Stop()
	}
	task.lease.Stop()
	w.free = w.free.Plus(task.start.Needs)
	if task.start.Class == modeler.Quick {
		w.freeSlots++
	}
	now := w.clock.Now()
	w.sequence++
	record := connector.TaskEnded{
		Boot:     w.boot,
		Sequence: w.sequence,
		Class:    task.start.Class,
		Attempt:  task.start.Attempt,
		Kind:     kind,
		Needs:    task.start.Needs,
		Result:   result,
		At:       now,
	}
	w.ended = append(w.ended, record)
	w.endedByID[id] = &record
	w.record(w.event(task.start, Event{At: now, Ended: kind}))
	close(w.changed)
	w.changed = make(chan struct{})
	return &record
}

func (w *worker) sync(ask connector.SyncRequest) (connector.SyncReply, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := connector.SyncReply{Boot: w.boot, Leaving: w.info.Leaving}
	if !w.obeys(ask.Partition, ask.Epoch) {
		reply.Refusal = connector.RefusedStaleEpoch
		return reply, nil
	}
	for _, task := range w.running {
		if task.start.Attempt.Partition == ask.Partition && ask.LeaseEnd.After(task.leaseEnd) {
			task.leaseEnd = ask.LeaseEnd
		}
	}
	w.confirm(ask.Confirmed)
	for _, record := range w.ended {
		if record.Sequence > ask.Known {
			reply.Ended = append(reply.Ended, record)
		}
	}
	if len(reply.Ended) > 0 {
		return reply, nil
	}
	return reply, w.changed
}

func (w *worker) confirm(sequence int64) {
	w.confirmed = max(w.confirmed, min(sequence, w.sequence))
	surplus := len(w.ended) - rememberedRecords
	for surplus > 0 && w.ended[0].Sequence <= w.confirmed {
		delete(w.endedByID, w.ended[0].Attempt.ID())
		w.ended = w.ended[1:]
		surplus--
	}
}

func (w *worker) fence(ask connector.FenceRequest) connector.FenceReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := connector.FenceReply{Boot: w.boot, Last: w.sequence}
	if !w.obeys(ask.Partition, ask.Epoch) {
		reply.Refusal = connector.RefusedStaleEpoch
		return reply
	}
	for _, task := range w.running {
		reply.Running = append(reply.Running, connector.RunningTask{
			Attempt:   task.start.Attempt,
			Class:     task.start.Class,
			Needs:     task.start.Needs,
			StartedAt: task.startedAt,
			LeaseEnd:  task.leaseEnd,
		})
	}
	reply.Ended = append(reply.Ended, w.ended...)
	return reply
}

func (w *worker) stop(ask connector.StopRequest) connector.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.obeys(ask.Attempt.Partition, ask.Epoch) {
		return connector.StopReply{Refusal: connector.RefusedStaleEpoch}
	}
	if ask.Boot != w.boot {
		return connector.StopReply{Refusal: connector.RefusedWrongBoot}
	}
	id := ask.Attempt.ID()
	if w.running[id] != nil {
		return connector.StopReply{Ended: w.end(id, connector.EndedStopped, nil)}
	}
	if record := w.endedByID[id]; record != nil {
		return connector.StopReply{Ended: record}
	}
	w.refused[id] = true
	return connector.StopReply{NeverRan: true}
}

// lookUp returns how an attempt ended, or the channel that tells of the next change. Both are nil
// when the worker does not know the attempt, because it restarted.
func (w *worker) lookUp(attempt modeler.Attempt) (*connector.TaskEnded, <-chan struct{}) {
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

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Leaving = true
}

// die ends the machine: what it runs ends, and it answers nobody.
func (w *worker) die() {
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

func (w *worker) hide(hidden bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hidden = hidden
}

func (w *worker) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// describe returns the worker as the platform's list shows it, if it does.
func (w *worker) describe() (info modeler.Worker, listed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info, !w.dead && !w.hidden
}
