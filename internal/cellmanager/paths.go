package cellmanager

import (
	"context"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/pathrecorder"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// wirePath is a cellscheduler.PathCall as instances exchange it. Cell is where the path leads. LookUp is set
// if a former cell is asked for a job, Former if it is asked for the number of pending jobs.
type wirePath struct {
	Path    string   `json:"path"`
	Version int64    `json:"version"`
	Cell    string   `json:"cell,omitempty"`
	Cleared []string `json:"cleared,omitempty"`
	Empty   []string `json:"empty,omitempty"`
	LookUp  bool     `json:"look-up,omitempty"`
	Former  string   `json:"former,omitempty"`
}

// pathOf returns the path of a call, or nil if this instance knows only one service.
func (m *Manager) pathOf(queue *configprovider.Queue) *wirePath {
	configuration := m.configuration.Current()
	if configuration == nil || len(configuration.Services) < 2 {
		return nil
	}
	return &wirePath{Path: queue.Path(), Version: queue.Version, Cell: queue.Service}
}

func (w *wirePath) route() pathrecorder.Route {
	return pathrecorder.Route{Path: w.Path, Version: w.Version}
}

func (w *wirePath) call() cellscheduler.PathCall {
	if w == nil {
		return cellscheduler.PathCall{}
	}
	return cellscheduler.PathCall{Route: w.route(), Cleared: w.Cleared, Empty: w.Empty}
}

// unclearedError reports that a cell that may know a job has not cleared it.
type unclearedError struct{ Cell string }

func (e *unclearedError) Error() string { return "cell " + e.Cell + " may still accept the job" }

// clear asks the cells that may know a submitted job, and adds those that do not to the cleared ones. known
// is true if one of them does. After an error the job may have been accepted earlier.
func (m *Manager) clear(ctx context.Context, cells []string, id string, caller cellscheduler.Caller, path *wirePath) (known bool, err error) {
	for _, cell := range cells {
		body, err := encodeCallerCall(caller, &wirePath{Path: path.Path, Version: path.Version, Cell: path.Cell, LookUp: true})
		if err != nil {
			return false, err
		}
		reply, err := m.routeElsewhere(ctx, cell, &messenger.Call{Kind: messenger.CallKind_CALL_KIND_STATUS, Key: id, Job: body})
		switch {
		case isDenial(err):
			return false, err
		case err != nil:
			return false, &InDoubtError{Cell: cell, Err: err}
		case reply.Outdated:
			return false, &InDoubtError{Cell: cell, Err: &cellscheduler.OutdatedRouteError{Path: path.Path}}
		case !reply.Unknown:
			return true, nil
		case !reply.Cleared:
			return false, &InDoubtError{Cell: cell, Err: &unclearedError{Cell: cell}}
		}
		path.Cleared = append(path.Cleared, cell)
		if reply.Empty {
			path.Empty = append(path.Empty, cell)
		}
	}
	return false, nil
}

// routeElsewhere routes a call to a cell whose service the configuration may no longer name.
func (m *Manager) routeElsewhere(ctx context.Context, cell string, call *messenger.Call) (answer, error) {
	m.trackCell(cell)
	return m.route(ctx, cell, call)
}

// routeToJob routes a call about a job to the cell of its queue, and to the other cells that may know the job
// if that one does not. The error is a *cellscheduler.UnknownJobError if none knows it.
func (m *Manager) routeToJob(ctx context.Context, queue *configprovider.Queue, caller cellscheduler.Caller, kind messenger.CallKind, id string) (answer, error) {
	body, err := encodeCallerCall(caller, m.pathOf(queue))
	if err != nil {
		return answer{}, err
	}
	reply, err := m.route(ctx, queue.Service, &messenger.Call{Kind: kind, Key: id, Job: body})
	if err != nil || !reply.Unknown {
		return reply, err
	}
	if body, err = encodeCallerCall(caller, nil); err != nil {
		return answer{}, err
	}
	for _, cell := range reply.Elsewhere {
		reply, err := m.routeElsewhere(ctx, cell, &messenger.Call{Kind: kind, Key: id, Job: body})
		if err != nil || !reply.Unknown {
			return reply, err
		}
	}
	return answer{}, &cellscheduler.UnknownJobError{ID: id}
}

// Submit submits a job to the owner of the queue's cell. A *cellscheduler.RefusedError, a *NoOwnerError or
// the error of a denial means that the job was not accepted.
func (m *Manager) Submit(ctx context.Context, queue *configprovider.Queue, caller cellscheduler.Caller, job *steptracker.Job) error {
	// The owner may know another configuration than the one by which the call was routed.
	job.Policy = m.configuration.Current().JobPolicy(queue, job.Team)
	path := m.pathOf(queue)
	for {
		body, err := encodeJobCall(job, caller, path)
		if err != nil {
			return err
		}
		reply, err := m.route(ctx, queue.Service, &messenger.Call{Kind: messenger.CallKind_CALL_KIND_SUBMIT, Key: job.ID, Job: body})
		switch {
		case err != nil:
			return err
		case reply.Outdated:
			return &InDoubtError{Cell: queue.Service, Err: &cellscheduler.OutdatedRouteError{Path: path.Path}}
		case len(reply.Elsewhere) == 0:
			return nil
		}
		if known, err := m.clear(ctx, reply.Elsewhere, job.ID, caller, path); known || err != nil {
			return err
		}
	}
}

// State returns the state of a job. The error is a *cellscheduler.UnknownJobError if there is no
// such job.
func (m *Manager) State(ctx context.Context, queue *configprovider.Queue, caller cellscheduler.Caller, id string) (steptracker.State, error) {
	reply, err := m.routeToJob(ctx, queue, caller, messenger.CallKind_CALL_KIND_STATUS, id)
	return reply.State, err
}

// Cancel cancels a job.
func (m *Manager) Cancel(ctx context.Context, queue *configprovider.Queue, caller cellscheduler.Caller, id string) error {
	_, err := m.routeToJob(ctx, queue, caller, messenger.CallKind_CALL_KIND_CANCEL, id)
	return err
}

// Pending returns the number of accepted jobs of a queue that have not started any task.
func (m *Manager) Pending(ctx context.Context, queue *configprovider.Queue) (int, error) {
	path := m.pathOf(queue)
	call, err := pendingCall(queue.Name, path)
	if err != nil {
		return 0, err
	}
	reply, err := m.route(ctx, queue.Service, call)
	if err != nil {
		return 0, err
	}
	pending := reply.Pending
	for _, cell := range reply.Elsewhere {
		call, err := pendingCall(queue.Name, &wirePath{Path: path.Path, Version: path.Version, Former: cell})
		if err != nil {
			return 0, err
		}
		reply, err := m.routeElsewhere(ctx, cell, call)
		if err != nil {
			return 0, err
		}
		pending += reply.Pending
	}
	return pending, nil
}

func pendingCall(queue string, path *wirePath) (*messenger.Call, error) {
	body, err := encodeCallerCall(cellscheduler.Caller{}, path)
	return &messenger.Call{Kind: messenger.CallKind_CALL_KIND_PENDING, Key: queue, Job: body}, err
}

// servePending serves a call for the number of pending jobs.
func servePending(ctx context.Context, local *cellscheduler.Scheduler, call *messenger.Call) (answer, error) {
	_, path, err := decodeCallerCall(call)
	if err != nil {
		return answer{}, err
	}
	var reply answer
	if path != nil && path.Former != "" {
		reply.Pending, err = local.PendingJobsOfPath(ctx, path.Path, call.GetKey())
		return reply, err
	}
	if path != nil {
		reply.Elsewhere, err = local.Elsewhere(ctx, path.Path)
		if err != nil {
			return reply, err
		}
	}
	reply.Pending, err = local.PendingJobs(ctx, call.GetKey())
	return reply, err
}

// serveStatus serves a call for the state of a job.
func serveStatus(ctx context.Context, local *cellscheduler.Scheduler, call *messenger.Call) (answer, error) {
	caller, path, err := decodeCallerCall(call)
	if err != nil {
		return answer{}, err
	}
	if path != nil && path.LookUp {
		known, empty, err := local.LookUp(ctx, caller, call.GetKey(), path.route(), path.Cell)
		return answer{Unknown: err == nil && !known, Cleared: err == nil && !known, Empty: empty}, err
	}
	state, err := local.StateVia(ctx, caller, call.GetKey(), path.call())
	return answer{State: state}, err
}
