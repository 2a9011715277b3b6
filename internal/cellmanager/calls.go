package cellmanager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
	"dotterelpost.example/dotterelpost/internal/workerrelayer"
)

const (
	// retryDelay is the delay before a call is retried.
	retryDelay = 60 * time.Millisecond
	// attemptTimeout bounds one attempt of a call, so that an unresponsive owner does not use up the
	// caller's whole deadline.
	attemptTimeout = 1200 * time.Millisecond
	// adviceTimeout bounds a call of the placement advisor, including the wait behind other calls.
	adviceTimeout = 2 * time.Second
)

// answer is the result of a call, unless the call failed or was refused.
type answer struct {
	Duplicate bool                 `json:"known,omitempty"`
	Unknown   bool                 `json:"unknown,omitempty"`
	State     steptracker.State    `json:"state,omitempty"`
	Pending   int                  `json:"pending,omitempty"`
	Advice    *workerdriver.Advice `json:"advice,omitempty"`
	// Elsewhere are the other cells that may know the job or hold pending jobs. If it is set in the answer to
	// a submission, the job was not accepted.
	Elsewhere []string `json:"elsewhere,omitempty"`
	// Cleared is set in the answer to a look-up if the job is not known and will not be accepted, and Empty if
	// the cell holds no job of the path.
	Cleared bool `json:"cleared,omitempty"`
	Empty   bool `json:"empty,omitempty"`
	// Outdated is set if a newer configuration leads the path of the call to another cell.
	Outdated bool `json:"outdated,omitempty"`
}

// route sends a call to the owner of a cell and retries it until there is an answer or the context
// ends. A refusal is returned only if no earlier attempt may have taken effect; otherwise the
// outcome is in doubt.
func (m *Manager) route(ctx context.Context, name string, call *messenger.Call) (answer, error) {
	call.Partition = name
	var inDoubtErr error
	for attempt := 1; ; attempt++ {
		reply, err := m.attempt(ctx, name, call)
		var refused *cellscheduler.RefusedError
		if call.GetKind() != messenger.CallKind_CALL_KIND_STATUS || attempt > 1 {
			m.Log.Info("routed", "job", call.GetKey(), "kind", call.GetKind().String(), "cell", name, "to", m.owner(name), "try", attempt, "error", err)
		}
		switch {
		case err == nil:
			return reply, nil
		case errors.As(err, &refused), isDenial(err):
			if inDoubtErr != nil {
				return reply, &InDoubtError{Cell: name, Err: inDoubtErr}
			}
			return reply, err
		case !hadNoEffect(err):
			inDoubtErr = err
		case inDoubtErr == nil && m.failoverBlocked(err):
			// No instance can claim the cell until the store answers, so the caller is told at once
			// that the call had no effect.
			return reply, &NoOwnerError{Cell: name}
		}
		select {
		case <-ctx.Done():
			if inDoubtErr != nil {
				return reply, &InDoubtError{Cell: name, Err: inDoubtErr}
			}
			return reply, &NoOwnerError{Cell: name}
		case <-m.ownerChanges(name):
		case <-m.Clock.After(retryDelay):
		}
	}
}

// failoverBlocked reports whether a call that failed with err can't find an owner for now: no live
// owner was reached, and the store, which decides who becomes the owner, is unavailable.
func (m *Manager) failoverBlocked(err error) bool {
	var notOwner *notOwnerError
	return !errors.As(err, &notOwner) && m.store.Unavailable()
}

// hadNoEffect reports whether a failed attempt certainly had no effect.
func hadNoEffect(err error) bool {
	var noOwner *NoOwnerError
	var notOwner *notOwnerError
	var notConnected *mesher.NotConnectedError
	var leaving *cellscheduler.ShuttingDownError
	return errors.As(err, &leaving) || errors.As(err, &noOwner) || errors.As(err, &notOwner) || errors.As(err, &notConnected)
}

// notOwnerError reports that the peer that was called does not own the cell.
type notOwnerError struct{ Cell string }

func (e *notOwnerError) Error() string { return "the peer does not own cell " + e.Cell }

func (m *Manager) owner(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.cells[name]; c != nil {
		return c.ownership.Owner
	}
	return ""
}

func (m *Manager) ownerChanges(name string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.cells[name]; c != nil {
		return c.ownerChanged
	}
	return nil
}

// attempt sends a call to the current owner of the cell, once.
func (m *Manager) attempt(ctx context.Context, name string, call *messenger.Call) (answer, error) {
	m.mu.Lock()
	c := m.cells[name]
	var local *cellscheduler.Scheduler
	owner := ""
	if c != nil {
		local, owner = c.scheduler, c.ownership.Owner
	}
	m.mu.Unlock()
	if local != nil {
		return serveLocal(ctx, local, call)
	}
	if owner == "" || owner == m.incarnation {
		return answer{}, &NoOwnerError{Cell: name}
	}
	ctx, cancel := m.attemptContext(ctx, owner, call)
	defer cancel()
	deadline, _ := ctx.Deadline()
	call.PatienceNanos = int64(deadline.Sub(m.Clock.Now()))
	reply, err := m.mesh.Call(ctx, owner, call)
	if err != nil {
		return answer{}, err
	}
	return decodeReply(name, reply)
}

// ServeCall serves a call of a peer.
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
	if call.GetKind() == messenger.CallKind_CALL_KIND_ORDER {
		text, err := workerrelayer.Serve(ctx, m.Workers, call.GetJob())
		if err != nil {
			return encodeReply(answer{}, &badCallError{Reason: err.Error()})
		}
		return &messenger.Reply{Answer: text}
	}
	m.mu.Lock()
	c := m.cells[call.GetPartition()]
	var local *cellscheduler.Scheduler
	if c != nil {
		local = c.scheduler
	}
	m.mu.Unlock()
	if local == nil {
		return encodeReply(answer{}, &notOwnerError{Cell: call.GetPartition()})
	}
	return encodeReply(serveLocal(ctx, local, call))
}

// badCallError reports a call or reply that is malformed or of an unsupported kind.
type badCallError struct{ Reason string }

func (e *badCallError) Error() string { return "invalid call: " + e.Reason }

func serveLocal(ctx context.Context, local *cellscheduler.Scheduler, call *messenger.Call) (answer, error) {
	var reply answer
	var err error
	switch call.GetKind() {
	case messenger.CallKind_CALL_KIND_SUBMIT:
		job, caller, path, badCall := decodeJobCall(call)
		if badCall != nil {
			return reply, badCall
		}
		var outcome cellscheduler.SubmitResult
		outcome, err = local.SubmitVia(ctx, caller, job, path.call())
		reply.Duplicate = outcome.Duplicate
	case messenger.CallKind_CALL_KIND_STATUS:
		reply, err = serveStatus(ctx, local, call)
	case messenger.CallKind_CALL_KIND_CANCEL:
		caller, path, badCall := decodeCallerCall(call)
		if badCall != nil {
			return reply, badCall
		}
		err = local.CancelVia(ctx, caller, call.GetKey(), path.call())
	case messenger.CallKind_CALL_KIND_PENDING:
		reply, err = servePending(ctx, local, call)
	case messenger.CallKind_CALL_KIND_ADVISE, messenger.CallKind_CALL_KIND_TRANSACT, messenger.CallKind_CALL_KIND_ORDER, messenger.CallKind_CALL_KIND_UNSPECIFIED:
		err = &badCallError{Reason: call.GetKind().String()}
	}
	var unknown *cellscheduler.UnknownJobError
	var elsewhere *cellscheduler.ElsewhereError
	var outdated *cellscheduler.OutdatedRouteError
	var unavailable *cellscheduler.PathUnavailableError
	switch {
	case errors.As(err, &unknown):
		return answer{Unknown: true}, nil
	case errors.As(err, &elsewhere):
		return answer{Unknown: true, Elsewhere: elsewhere.Cells}, nil
	case errors.As(err, &outdated) && !errors.As(err, &unavailable):
		return answer{Outdated: true}, nil
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
	var notOwner *notOwnerError
	var leaving *cellscheduler.ShuttingDownError
	var bad *badCallError
	switch {
	case encodeDenial(reply, err):
	case errors.As(err, &refused):
		reply.Error = messenger.ErrorKind_ERROR_KIND_REFUSED
		reply.Reason, reply.RetryAfterNanos = refused.Reason, int64(refused.RetryAfter)
		if refused.Unavailable {
			reply.Refusal = refusalUnavailable
		}
	case errors.As(err, &notOwner), errors.As(err, &leaving):
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
		if denial := decodeDenial(reply); denial != nil {
			return a, denial
		}
		return a, &cellscheduler.RefusedError{Reason: reply.GetReason(), RetryAfter: time.Duration(reply.GetRetryAfterNanos()), Unavailable: reply.GetRefusal() == refusalUnavailable}
	case messenger.ErrorKind_ERROR_KIND_BAD_CALL:
		return a, &badCallError{Reason: reply.GetReason()}
	case messenger.ErrorKind_ERROR_KIND_UNDECIDED:
	}
	return a, &InDoubtError{Cell: cell, Err: &badCallError{Reason: reply.GetReason()}}
}

// refusalUnavailable marks a refusal that is due to unavailability and not to load.
const refusalUnavailable = "unavailable"

// adviceRequest asks a peer to call the placement advisor.
type adviceRequest struct {
	Step    steptracker.StepKey `json:"step"`
	Workers []string            `json:"workers"`
}

// Instances returns the incarnations that can call the placement advisor: this one and all live peers
// that are not leaving.
func (m *Manager) Instances() []string {
	names := []string{m.incarnation}
	for incarnation, heartbeat := range m.mesh.LivePeers() {
		if !heartbeat.GetLeaving() {
			names = append(names, incarnation)
		}
	}
	return names
}

// Advise calls the placement advisor from the named instance, which is this one or a peer.
func (m *Manager) Advise(ctx context.Context, instance string, step steptracker.StepKey, workers []string) (workerdriver.Advice, error) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	if instance == m.incarnation {
		return m.Advisor.Advise(ctx, step, workers)
	}
	body, err := json.Marshal(adviceRequest{Step: step, Workers: workers})
	if err != nil {
		return workerdriver.Advice{}, errors.Wrap(err, "encode advice request")
	}
	reply, err := m.mesh.Call(ctx, instance, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_ADVISE, Job: body, PatienceNanos: int64(adviceTimeout),
	})
	if err != nil {
		return workerdriver.Advice{}, err
	}
	a, err := decodeReply("", reply)
	if err != nil {
		return workerdriver.Advice{}, err
	}
	if a.Advice == nil {
		return workerdriver.Advice{}, &badCallError{Reason: "the reply contains no advice"}
	}
	return *a.Advice, nil
}

func (m *Manager) serveAdvice(ctx context.Context, call *messenger.Call) (answer, error) {
	var request adviceRequest
	if err := json.Unmarshal(call.GetJob(), &request); err != nil {
		return answer{}, &badCallError{Reason: err.Error()}
	}
	advice, err := m.Advisor.Advise(ctx, request.Step, request.Workers)
	return answer{Advice: &advice}, err
}
