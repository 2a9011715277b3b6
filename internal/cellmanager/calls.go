package cellmanager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

const (
	// tryAgain is the pause before a call is handed on again.
	tryAgain = 60 * time.Millisecond
	// onePatience bounds one attempt of a call, so that a silent owner does not use up the
	// caller's whole time.
	onePatience = 1200 * time.Millisecond
	// advicePatience is added to how long the advisor takes for a call: others may wait before it.
	advicePatience = 2 * time.Second
)

// answer is what an owner says to a call, besides refusals.
type answer struct {
	Known   bool                 `json:"known,omitempty"`
	Unknown bool                 `json:"unknown,omitempty"`
	State   steptracker.State    `json:"state,omitempty"`
	Pending int                  `json:"pending,omitempty"`
	Advice  *workerdriver.Advice `json:"advice,omitempty"`
}

// Submit hands a job to the owner of the queue's cell. A *cellscheduler.RefusedError or a *NoOwnerError
// means that the job was not accepted.
func (m *Manager) Submit(ctx context.Context, queue *configprovider.Queue, job *steptracker.Job) error {
	body, err := json.Marshal(job)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	_, err = m.route(ctx, queue.Service, &messenger.Call{Kind: messenger.CallKind_CALL_KIND_SUBMIT, Key: job.ID, Job: body})
	return err
}

// State asks for the state of a job. The error is a *cellscheduler.UnknownJobError if there is none.
func (m *Manager) State(ctx context.Context, queue *configprovider.Queue, id string) (steptracker.State, error) {
	reply, err := m.route(ctx, queue.Service, &messenger.Call{Kind: messenger.CallKind_CALL_KIND_STATUS, Key: id})
	if err == nil && reply.Unknown {
		err = &cellscheduler.UnknownJobError{ID: id}
	}
	return reply.State, err
}

// Cancel cancels a job.
func (m *Manager) Cancel(ctx context.Context, queue *configprovider.Queue, id string) error {
	reply, err := m.route(ctx, queue.Service, &messenger.Call{Kind: messenger.CallKind_CALL_KIND_CANCEL, Key: id})
	if err == nil && reply.Unknown {
		err = &cellscheduler.UnknownJobError{ID: id}
	}
	return err
}

// Pending returns how many accepted jobs of a queue have started no task.
func (m *Manager) Pending(ctx context.Context, queue *configprovider.Queue) (int, error) {
	reply, err := m.route(ctx, queue.Service, &messenger.Call{Kind: messenger.CallKind_CALL_KIND_PENDING, Key: queue.Name})
	return reply.Pending, err
}

// route hands a call to the owner of a cell, again and again until there is an answer or the time is
// over. A refusal counts only if no earlier attempt may have been accepted.
func (m *Manager) route(ctx context.Context, name string, call *messenger.Call) (answer, error) {
	call.Partition = name
	var doubt error
	for try := 1; ; try++ {
		reply, err := m.attempt(ctx, name, call)
		var refused *cellscheduler.RefusedError
		if call.GetKind() != messenger.CallKind_CALL_KIND_STATUS || try > 1 {
			m.Log.Info("routed", "job", call.GetKey(), "kind", call.GetKind().String(), "cell", name, "to", m.holder(name), "try", try, "error", err)
		}
		switch {
		case err == nil:
			return reply, nil
		case errors.As(err, &refused):
			if doubt != nil {
				return reply, &InDoubtError{Cell: name, Err: doubt}
			}
			return reply, err
		case !neverSent(err):
			doubt = err
		case doubt == nil && m.hopeless(err):
			// Nobody can take the cell over before the store answers, so the caller had better know
			// at once that nothing was accepted.
			return reply, &NoOwnerError{Cell: name}
		}
		select {
		case <-ctx.Done():
			if doubt != nil {
				return reply, &InDoubtError{Cell: name, Err: doubt}
			}
			return reply, &NoOwnerError{Cell: name}
		case <-m.changed(name):
		case <-m.Clock.After(tryAgain):
		}
	}
}

// hopeless tells whether a call that was not sent will find no owner for a while: there is none, and the
// store that decides who is does not answer.
func (m *Manager) hopeless(err error) bool {
	var notOwner *notOwnerError
	return !errors.As(err, &notOwner) && m.store.Unavailable()
}

// neverSent tells whether a failed attempt can't have had an effect.
func neverSent(err error) bool {
	var noOwner *NoOwnerError
	var notOwner *notOwnerError
	var noLink *mesher.NotConnectedError
	var left *cellscheduler.ShuttingDownError
	return errors.As(err, &left) || errors.As(err, &noOwner) || errors.As(err, &notOwner) || errors.As(err, &noLink)
}

// notOwnerError tells that a peer was asked that does not own the cell.
type notOwnerError struct{ Cell string }

func (e *notOwnerError) Error() string { return "the peer does not own cell " + e.Cell }

func (m *Manager) holder(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.cells[name]; c != nil {
		return c.ownership.Owner
	}
	return ""
}

func (m *Manager) changed(name string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.cells[name]; c != nil {
		return c.changed
	}
	return nil
}

// attempt asks whoever owns the cell now.
func (m *Manager) attempt(ctx context.Context, name string, call *messenger.Call) (answer, error) {
	m.mu.Lock()
	c := m.cells[name]
	var own *cellscheduler.Scheduler
	holder := ""
	if c != nil {
		own, holder = c.scheduler, c.ownership.Owner
	}
	m.mu.Unlock()
	if own != nil {
		return serveOwn(ctx, own, call)
	}
	if holder == "" || holder == m.run {
		return answer{}, &NoOwnerError{Cell: name}
	}
	ctx, cancel := context.WithTimeout(ctx, onePatience)
	defer cancel()
	deadline, _ := ctx.Deadline()
	call.PatienceNanos = int64(deadline.Sub(m.Clock.Now()))
	reply, err := m.mesh.Call(ctx, holder, call)
	if err != nil {
		return answer{}, err
	}
	return decodeReply(name, reply)
}

// ServeCall answers a call of a peer.
func (m *Manager) ServeCall(ctx context.Context, call *messenger.Call) *messenger.Reply {
	if call.GetKind() == messenger.CallKind_CALL_KIND_ADVISE {
		return encodeReply(m.serveAdvice(ctx, call))
	}
	if call.GetKind() == messenger.CallKind_CALL_KIND_TRANSACT {
		text, err := m.store.Serve(ctx, call.GetJob())
		if err != nil {
			return encodeReply(answer{}, &badCallError{Reason: err.Error()})
		}
		return &messenger.Reply{Answer: text}
	}
	m.mu.Lock()
	c := m.cells[call.GetPartition()]
	var own *cellscheduler.Scheduler
	if c != nil {
		own = c.scheduler
	}
	m.mu.Unlock()
	if own == nil {
		return encodeReply(answer{}, &notOwnerError{Cell: call.GetPartition()})
	}
	return encodeReply(serveOwn(ctx, own, call))
}

// badCallError tells that a peer sent a call that can't be understood.
type badCallError struct{ Reason string }

func (e *badCallError) Error() string { return "call not understood: " + e.Reason }

func serveOwn(ctx context.Context, own *cellscheduler.Scheduler, call *messenger.Call) (answer, error) {
	var reply answer
	var err error
	switch call.GetKind() {
	case messenger.CallKind_CALL_KIND_SUBMIT:
		job := &steptracker.Job{}
		if err := json.Unmarshal(call.GetJob(), job); err != nil {
			return reply, &badCallError{Reason: err.Error()}
		}
		var outcome cellscheduler.SubmitResult
		outcome, err = own.Submit(ctx, job)
		reply.Known = outcome.Duplicate
	case messenger.CallKind_CALL_KIND_STATUS:
		reply.State, err = own.State(ctx, call.GetKey())
	case messenger.CallKind_CALL_KIND_CANCEL:
		err = own.Cancel(ctx, call.GetKey())
	case messenger.CallKind_CALL_KIND_PENDING:
		reply.Pending, err = own.PendingJobs(ctx, call.GetKey())
	case messenger.CallKind_CALL_KIND_ADVISE, messenger.CallKind_CALL_KIND_TRANSACT, messenger.CallKind_CALL_KIND_UNSPECIFIED:
		err = &badCallError{Reason: call.GetKind().String()}
	}
	var unknown *cellscheduler.UnknownJobError
	if errors.As(err, &unknown) {
		return answer{Unknown: true}, nil
	}
	return reply, err
}

func encodeReply(a answer, err error) *messenger.Reply {
	if err == nil {
		text, err := json.Marshal(a)
		if err != nil {
			return &messenger.Reply{Error: messenger.ErrorKind_ERROR_KIND_BAD_CALL, Reason: err.Error()}
		}
		return &messenger.Reply{Answer: text}
	}
	reply := &messenger.Reply{Reason: err.Error(), Error: messenger.ErrorKind_ERROR_KIND_UNDECIDED}
	var refused *cellscheduler.RefusedError
	var elsewhere *notOwnerError
	var left *cellscheduler.ShuttingDownError
	var bad *badCallError
	switch {
	case errors.As(err, &refused):
		reply.Error = messenger.ErrorKind_ERROR_KIND_REFUSED
		reply.Reason, reply.RetryAfterNanos = refused.Reason, int64(refused.RetryAfter)
		if refused.Unavailable {
			reply.Refusal = unavailable
		}
	case errors.As(err, &elsewhere), errors.As(err, &left):
		reply.Error = messenger.ErrorKind_ERROR_KIND_NOT_OWNER
	case errors.As(err, &bad):
		reply.Error = messenger.ErrorKind_ERROR_KIND_BAD_CALL
	}
	return reply
}

func decodeReply(cell string, reply *messenger.Reply) (answer, error) {
	var a answer
	switch reply.GetError() {
	case messenger.ErrorKind_ERROR_KIND_UNSPECIFIED:
		if err := json.Unmarshal(reply.GetAnswer(), &a); err != nil {
			return a, &InDoubtError{Cell: cell, Err: err}
		}
		return a, nil
	case messenger.ErrorKind_ERROR_KIND_NOT_OWNER:
		return a, &notOwnerError{Cell: cell}
	case messenger.ErrorKind_ERROR_KIND_REFUSED:
		return a, &cellscheduler.RefusedError{Reason: reply.GetReason(), RetryAfter: time.Duration(reply.GetRetryAfterNanos()), Unavailable: reply.GetRefusal() == unavailable}
	case messenger.ErrorKind_ERROR_KIND_BAD_CALL:
		return a, &badCallError{Reason: reply.GetReason()}
	case messenger.ErrorKind_ERROR_KIND_UNDECIDED:
	}
	return a, &InDoubtError{Cell: cell, Err: &badCallError{Reason: reply.GetReason()}}
}

// unavailable marks a refusal that is no matter of load.
const unavailable = "unavailable"

// question is what a peer is asked to ask the advisor.
type question struct {
	Step    steptracker.StepKey `json:"step"`
	Workers []string            `json:"workers"`
}

// Instances returns the runs that can ask the advisor: this one and all that are heard.
func (m *Manager) Instances() []string {
	names := []string{m.run}
	for run, beat := range m.mesh.LivePeers() {
		if !beat.GetLeaving() {
			names = append(names, run)
		}
	}
	return names
}

// Advise asks the advisor, from this instance or through a peer.
func (m *Manager) Advise(ctx context.Context, instance string, step steptracker.StepKey, workers []string) (workerdriver.Advice, error) {
	ctx, cancel := context.WithTimeout(ctx, advicePatience)
	defer cancel()
	if instance == m.run {
		return m.Advisor.Advise(ctx, step, workers)
	}
	body, err := json.Marshal(question{Step: step, Workers: workers})
	if err != nil {
		return workerdriver.Advice{}, errors.Wrap(err, "encode question")
	}
	reply, err := m.mesh.Call(ctx, instance, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_ADVISE, Job: body, PatienceNanos: int64(advicePatience),
	})
	if err != nil {
		return workerdriver.Advice{}, err
	}
	a, err := decodeReply("", reply)
	if err != nil {
		return workerdriver.Advice{}, err
	}
	if a.Advice == nil {
		return workerdriver.Advice{}, &badCallError{Reason: "no advice in the answer"}
	}
	return *a.Advice, nil
}

func (m *Manager) serveAdvice(ctx context.Context, call *messenger.Call) (answer, error) {
	var ask question
	if err := json.Unmarshal(call.GetJob(), &ask); err != nil {
		return answer{}, &badCallError{Reason: err.Error()}
	}
	advice, err := m.Advisor.Advise(ctx, ask.Step, ask.Workers)
	return answer{Advice: &advice}, err
}
