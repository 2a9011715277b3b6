// Package pathrecorder decides which cells may hold the jobs of a path, so that a job keeps its cell when a
// new configuration leads its path to another service. It does no I/O and reads no clock.
//
// # Usage
//
//	recorder := pathrecorder.New(cell)
//	recorder.Restore(entries)
//	switch decision := recorder.Admit(route, otherCells, cleared); decision.Action {
//	case pathrecorder.Accept:
//		// The job is new to all cells.
//	case pathrecorder.Ask:
//		// Each of decision.Cells is asked for the job, and stops accepting jobs of the path: Close.
//	case pathrecorder.Write:
//		// decision.Entry is stored if the stored one has decision.Replaces, then Learn is called.
//	case pathrecorder.Outdated:
//		// A newer configuration leads the path to another cell.
//	}
//
// A cell accepts a job of a path only once the stored entry names it and each former cell has answered, under
// the same or a newer configuration, that it does not know the job. A former cell that has answered accepts no
// job of the path before it has been named again. Its successor as owner reads the entry, which was stored
// before the former cell was asked. So at most one cell accepts a job, whichever configurations its callers'
// requests were routed by.
package pathrecorder

import "slices"

// Route is a path, which is the host and the path prefix of a queue, and the version of the configuration by
// which a request was routed to a cell. The zero value is a request of a deployment with one service.
type Route struct {
	Path    string
	Version int64
}

// Entry is the stored record of a path.
type Entry struct {
	Path string `json:"path"`
	// Cell accepts the jobs of the path, since the configuration with the version Version.
	Cell    string `json:"cell"`
	Version int64  `json:"version"`
	// Former are the other cells that may hold jobs of the path, sorted.
	Former []string `json:"former,omitempty"`
}

// Stored is an entry with the version of its row, 0 if there is none.
type Stored struct {
	Entry
	RowVersion int64
}

// Action is what has to be done with a submission.
type Action int

// The actions for a submission.
const (
	Accept Action = iota
	Ask
	Write
	Outdated
)

// Decision is the decision on a submission.
type Decision struct {
	Action Action
	// Cells are the cells to be asked for the job.
	Cells []string
	// Entry is to be stored if the row still has the version Replaces.
	Entry    Entry
	Replaces int64
}

// move is the newest configuration that is known to lead a path to another cell.
type move struct {
	version int64
	// cell is where the path leads, empty if that is not known.
	cell string
}

// Recorder holds what the owner of a cell knows about paths.
type Recorder struct {
	cell    string
	entries map[string]Stored
	moved   map[string]move
}

// New returns the recorder of a cell.
func New(cell string) *Recorder {
	return &Recorder{cell: cell, entries: make(map[string]Stored), moved: make(map[string]move)}
}

// Restore sets the stored entries. What was learned before is kept if it is newer.
func (r *Recorder) Restore(entries []Stored) {
	for _, entry := range entries {
		r.Learn(entry)
	}
}

// Learn records a stored entry.
func (r *Recorder) Learn(entry Stored) {
	if known, found := r.entries[entry.Path]; found && known.RowVersion >= entry.RowVersion {
		return
	}
	r.entries[entry.Path] = entry
	if entry.Cell == r.cell && r.moved[entry.Path].version <= entry.Version {
		delete(r.moved, entry.Path)
	}
}

// lastMove returns the newest configuration that is known to lead a path to another cell.
func (r *Recorder) lastMove(path string) move {
	last := r.moved[path]
	if entry, found := r.entries[path]; found && entry.Cell != r.cell && entry.Version > last.version {
		last = move{version: entry.Version, cell: entry.Cell}
	}
	return last
}

// MovedAway reports whether a newer configuration than that of the route leads its path to another cell.
func (r *Recorder) MovedAway(route Route) bool {
	return r.lastMove(route.Path).version >= max(1, route.Version)
}

// Any reports whether anything is known about any path.
func (r *Recorder) Any() bool { return len(r.entries) > 0 || len(r.moved) > 0 }

// Admit decides on the submission of a job that the cell does not know. others are the cells of all other
// services of the configuration. cleared are the cells that have answered under the route's version that
// they do not know the job.
func (r *Recorder) Admit(route Route, others, cleared []string) Decision {
	if route.Path == "" {
		return Decision{Action: Accept}
	}
	if r.MovedAway(route) {
		return Decision{Action: Outdated}
	}
	entry, found := r.entries[route.Path]
	_, moved := r.moved[route.Path]
	if !found || entry.Cell != r.cell || moved {
		former := append(slices.Clone(entry.Former), entry.Cell, r.moved[route.Path].cell)
		if !found {
			former = append(former, others...)
		}
		next := Entry{Path: route.Path, Cell: r.cell, Version: route.Version, Former: r.without(former, nil)}
		return Decision{Action: Write, Entry: next, Replaces: entry.RowVersion}
	}
	if route.Version < entry.Version {
		// The path may have led elsewhere in between, so what the former cells have answered is out of date.
		return Decision{Action: Outdated}
	}
	if missing := r.without(entry.Former, cleared); len(missing) > 0 {
		return Decision{Action: Ask, Cells: missing}
	}
	return Decision{Action: Accept}
}

// without returns the cells, sorted, except this one and the excluded ones.
func (r *Recorder) without(cells, excluded []string) []string {
	kept := slices.DeleteFunc(slices.Clone(cells), func(cell string) bool {
		return cell == "" || cell == r.cell || slices.Contains(excluded, cell)
	})
	slices.Sort(kept)
	return slices.Compact(kept)
}

// Close records that a configuration leads a path to another cell, which asks for one of its jobs. It reports
// false if a newer one leads the path to this cell: then the other cell may not accept the job.
func (r *Recorder) Close(route Route, cell string) bool {
	if entry, found := r.entries[route.Path]; found && entry.Cell == r.cell && entry.Version > route.Version {
		return false
	}
	if route.Version > r.moved[route.Path].version {
		r.moved[route.Path] = move{version: route.Version, cell: cell}
	}
	return true
}

// Elsewhere returns the other cells that may hold jobs of a path.
func (r *Recorder) Elsewhere(path string, others []string) []string {
	if path == "" {
		return nil
	}
	entry, found := r.entries[path]
	if !found {
		return r.without(append(slices.Clone(others), r.moved[path].cell), nil)
	}
	return r.without(append(slices.Clone(entry.Former), entry.Cell, r.moved[path].cell), nil)
}

// Forget returns the entry of a path without the former cells that hold no job of it, as a Write, or false if
// there is nothing to store.
func (r *Recorder) Forget(path string, empty []string) (Decision, bool) {
	entry, found := r.entries[path]
	if _, moved := r.moved[path]; !found || moved || entry.Cell != r.cell {
		return Decision{}, false
	}
	kept := r.without(entry.Former, empty)
	if len(kept) == len(entry.Former) {
		return Decision{}, false
	}
	next := entry.Entry
	next.Former = kept
	return Decision{Action: Write, Entry: next, Replaces: entry.RowVersion}, true
}
