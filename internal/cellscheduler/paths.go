package cellscheduler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/pathrecorder"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// PathTable stores the entries of paths. A nil table stores nothing; then paths are not recorded.
type PathTable interface {
	Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

// PathCall describes how a call was routed to the cell. It is empty if the caller's instance knows only one
// service.
type PathCall struct {
	Route pathrecorder.Route
	// Cleared are the cells that have answered that they do not know the job, Empty those of them that hold no
	// job of the path.
	Cleared, Empty []string
}

// ElsewhereError reports that the cell does not know a job, and that other cells may. A submission was not
// accepted, and may be repeated once these cells are cleared.
type ElsewhereError struct {
	ID    string
	Cells []string
}

func (e *ElsewhereError) Error() string {
	return "job " + e.ID + " is not known here and may be known in the cells " + strings.Join(e.Cells, ", ")
}

// PathUnavailableError reports that the cells that may know a job could not be determined. The job may have
// been accepted earlier.
type PathUnavailableError struct {
	Path string
	Err  error
}

func (e *PathUnavailableError) Error() string {
	return "the record of path " + e.Path + ": " + e.Err.Error()
}

func (e *PathUnavailableError) Unwrap() error { return e.Err }

// OutdatedRouteError reports that a newer configuration than the one by which a call was routed leads the path
// to another cell. The call had no effect, but the job may have been accepted there.
type OutdatedRouteError struct{ Path string }

func (e *OutdatedRouteError) Error() string {
	return "a newer configuration leads path " + e.Path + " to another service"
}

const (
	// pathsTable and pathsPart name the rows of the entries of paths.
	pathsTable = "paths"
	pathsPart  = "all"
	// pathWriteTimeout bounds the write of an entry and the read that follows a lost answer.
	pathWriteTimeout = 1500 * time.Millisecond
)

// pathKey returns the key of the entry of a path. The key of a row is shorter than a path may be.
func pathKey(path string) string {
	digest := sha256.Sum256([]byte(path))
	return pathsTable + "/" + pathsPart + "/" + hex.EncodeToString(digest[:16])
}

// paths is what the scheduler knows about the paths of its jobs.
type paths struct {
	recorder *pathrecorder.Recorder
	// jobs and queued count the jobs, and the queued jobs, by path.
	jobs, queued map[string]int
	// writes holds the functions that wait for the write of the entry of a path.
	writes map[string][]func(error)
	// restored is set once the stored entries have been read; deferred are the submissions that wait for it.
	restored bool
	deferred []func()
}

func (p *paths) init(cell string) {
	p.recorder = pathrecorder.New(cell)
	p.jobs, p.queued, p.writes = make(map[string]int), make(map[string]int), make(map[string][]func(error))
}

// addCount adds delta to a counter by name, and removes the counter at 0.
func addCount(counters map[string]int, name string, delta int) {
	if counters[name] += delta; counters[name] == 0 {
		delete(counters, name)
	}
}

// holdsJobsOf reports whether the cell holds a job of a path. Jobs that were accepted while there was one
// service may be of any path.
func (c *Scheduler) holdsJobsOf(path string) bool {
	return c.paths.jobs[path] > 0 || c.paths.jobs[""] > 0 || len(c.unreadable) > 0
}

// otherCells returns the cells of the other services of the configuration.
func (c *Scheduler) otherCells() []string {
	configuration := c.Configuration.Current()
	if configuration == nil {
		return nil
	}
	var cells []string
	for i := range configuration.Services {
		if name := configuration.Services[i].Name; name != c.claim.Cell {
			cells = append(cells, name)
		}
	}
	return cells
}

// admitPath decides whether a job that the cell does not know may be accepted, as far as other cells may
// know it. If so, it sets the job's path and returns true. Otherwise it replies, or calls again once the
// entries are known and that of the path is stored, unless the caller has stopped waiting by then.
func (c *Scheduler) admitPath(ctx context.Context, definition *steptracker.Job, via PathCall, reply func(error), again func()) bool {
	if c.PathTable == nil {
		return true
	}
	route := via.Route
	if !c.paths.restored {
		c.paths.deferred = append(c.paths.deferred, func() {
			if err := ctx.Err(); err != nil {
				reply(&PathUnavailableError{Path: route.Path, Err: err})
				return
			}
			again()
		})
		return false
	}
	if route.Path == "" {
		return c.admitWithoutPath(definition, reply)
	}
	switch decision := c.paths.recorder.Admit(route, c.otherCells(), via.Cleared); decision.Action {
	case pathrecorder.Accept:
		definition.Path = route.Path
		if forget, needed := c.paths.recorder.Forget(route.Path, via.Empty); needed {
			c.writePath(forget, func(error) {})
		}
		return true
	case pathrecorder.Ask:
		reply(&ElsewhereError{ID: definition.ID, Cells: decision.Cells})
	case pathrecorder.Outdated:
		reply(&OutdatedRouteError{Path: route.Path})
	case pathrecorder.Write:
		c.writePath(decision, func(err error) {
			if err == nil {
				err = ctx.Err()
			}
			if err != nil {
				reply(&PathUnavailableError{Path: route.Path, Err: err})
				return
			}
			again()
		})
	}
	return false
}

// admitWithoutPath decides on a submission by an instance that knows only one service. It may be accepted
// unless another cell may know the job, which that instance could not ask.
func (c *Scheduler) admitWithoutPath(definition *steptracker.Job, reply func(error)) bool {
	if !c.paths.recorder.Any() {
		return true
	}
	path := ""
	if configuration := c.Configuration.Current(); configuration != nil {
		if queue := configuration.Queue(definition.Queue); queue != nil {
			path = queue.Path()
		}
	}
	if path == "" || len(c.paths.recorder.Elsewhere(path, nil)) > 0 {
		reply(&PathUnavailableError{Path: path, Err: &OutdatedRouteError{Path: path}})
		return false
	}
	return true
}

// writePath stores an entry and then calls a function, with an error if it is not known what is stored. A
// second write of the same path waits for the first and is decided anew by its caller.
func (c *Scheduler) writePath(decision pathrecorder.Decision, done func(error)) {
	path := decision.Entry.Path
	c.paths.writes[path] = append(c.paths.writes[path], done)
	if len(c.paths.writes[path]) > 1 {
		return
	}
	c.group.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, pathWriteTimeout)
		defer cancel()
		stored, err := storeEntry(ctx, c.PathTable, decision)
		c.post(func() {
			if err == nil && stored.RowVersion != 0 {
				c.paths.recorder.Learn(stored)
			}
			c.Log.Info("path recorded", "path", path, "cell", stored.Cell, "version", stored.Version, "former", stored.Former, "error", err)
			waiting := c.paths.writes[path]
			delete(c.paths.writes, path)
			for _, done := range waiting {
				done(err)
			}
		})
	})
}

// storeEntry stores an entry unless its row has changed, and returns the stored one.
func storeEntry(ctx context.Context, table PathTable, decision pathrecorder.Decision) (pathrecorder.Stored, error) {
	key := pathKey(decision.Entry.Path)
	value, err := json.Marshal(decision.Entry)
	if err != nil {
		return pathrecorder.Stored{}, err
	}
	outcome, err := table.Transact(ctx, connector.Transaction{
		Preconditions: []connector.Precondition{{Key: key, Version: decision.Replaces}},
		Puts:          []connector.Put{{Key: key, Value: value}},
	})
	if err == nil && outcome.Committed {
		return pathrecorder.Stored{Entry: decision.Entry, RowVersion: outcome.Version}, nil
	}
	rows, err := table.Read(ctx, key)
	if err != nil {
		return pathrecorder.Stored{}, err
	}
	return decodeEntry(rows[key])
}

func decodeEntry(row connector.Row) (pathrecorder.Stored, error) {
	stored := pathrecorder.Stored{RowVersion: row.Version}
	if row.Version == 0 {
		return stored, nil
	}
	err := json.Unmarshal(row.Value, &stored.Entry)
	return stored, err
}

// restorePaths restores the entries of paths from the stored rows.
func (c *Scheduler) restorePaths(rows []connector.Row) {
	for _, row := range rows {
		stored, err := decodeEntry(row)
		if err != nil {
			c.Log.Error("row could not be decoded", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		c.paths.recorder.Learn(stored)
	}
	c.paths.restored = true
	deferred := c.paths.deferred
	c.paths.deferred = nil
	runAll(deferred)
}

// LookUp asks on behalf of another cell for a job of a path that a configuration leads there. If the job is
// not known, the cell accepts no job of the path before a newer configuration leads the path back, and empty
// reports whether it holds none. The error is an *OutdatedRouteError if a newer configuration has led the path back.
func (c *Scheduler) LookUp(ctx context.Context, caller Caller, id string, route pathrecorder.Route, cell string) (known, empty bool, err error) {
	// The control goroutine may still write to these after the caller has stopped waiting.
	var isKnown, isEmpty bool
	if err := c.call(ctx, func(reply func(error)) {
		j := c.jobs[id]
		switch {
		case c.unreadable[id] && j == nil:
			isKnown = true
			reply(nil)
		case j == nil || j.progress.Path != "" && j.progress.Path != route.Path:
			if !c.paths.recorder.Close(route, cell) {
				reply(&OutdatedRouteError{Path: route.Path})
				return
			}
			isEmpty = !c.holdsJobsOf(route.Path)
			c.Log.Info("path moved", "path", route.Path, "to", cell, "version", route.Version, "jobs", c.paths.jobs[route.Path])
			reply(nil)
		case !caller.mayAccess(j.progress):
			reply(c.forbid(caller, j))
		case j.stored:
			isKnown = true
			reply(nil)
		default:
			// Whether the job is accepted is known once it is written.
			j.replies = append(j.replies, func(err error) {
				isKnown = err == nil
				reply(err)
			})
		}
	}); err != nil {
		return false, false, err
	}
	return isKnown, isEmpty, nil
}

// elsewhere returns the error for a job that the cell does not know.
func (c *Scheduler) elsewhere(id string, via PathCall) error {
	if c.PathTable != nil {
		if cells := c.paths.recorder.Elsewhere(via.Route.Path, c.otherCells()); len(cells) > 0 {
			return &ElsewhereError{ID: id, Cells: cells}
		}
	}
	return &UnknownJobError{ID: id}
}

// PendingJobsOfPath returns the number of queued jobs of a path that has led to this cell. The jobs that were
// accepted while there was one service are counted by the name of their queue.
func (c *Scheduler) PendingJobsOfPath(ctx context.Context, path, queue string) (int, error) {
	count := 0
	if err := c.call(ctx, func(reply func(error)) {
		count = c.paths.queued[path]
		if c.paths.queued[""] > 0 {
			for _, j := range c.jobs {
				if j.stored && j.visibleState == steptracker.Queued && j.progress.Path == "" && j.progress.Queue == queue {
					count++
				}
			}
		}
		reply(nil)
	}); err != nil {
		return 0, err
	}
	return count, nil
}

// Elsewhere returns the other cells that may hold jobs of a path.
func (c *Scheduler) Elsewhere(ctx context.Context, path string) ([]string, error) {
	var cells []string
	if err := c.call(ctx, func(reply func(error)) {
		if c.PathTable != nil {
			cells = c.paths.recorder.Elsewhere(path, c.otherCells())
		}
		reply(nil)
	}); err != nil {
		return nil, err
	}
	return cells, nil
}
