package pathrecorder_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dotterelpost.example/dotterelpost/internal/pathrecorder"
)

// world is a store of entries and some cells, whose owners change and forget what was not stored.
type world struct {
	rows     map[string]pathrecorder.Stored
	version  int64
	cells    []string
	owners   map[string]*pathrecorder.Recorder
	accepted map[string]map[string]bool
}

func newWorld(cells ...string) *world {
	w := &world{rows: make(map[string]pathrecorder.Stored), cells: cells, owners: make(map[string]*pathrecorder.Recorder), accepted: make(map[string]map[string]bool)}
	for _, cell := range cells {
		w.accepted[cell] = make(map[string]bool)
		w.replaceOwner(cell)
	}
	return w
}

// replaceOwner gives a cell a new owner, which knows what is stored.
func (w *world) replaceOwner(cell string) {
	w.owners[cell] = pathrecorder.New(cell)
	for _, row := range w.rows {
		w.owners[cell].Restore([]pathrecorder.Stored{row})
	}
}

func (w *world) others(cell string) []string {
	return slices.DeleteFunc(slices.Clone(w.cells), func(other string) bool { return other == cell })
}

// write stores an entry unless its row has changed, and tells the owner what is stored.
func (w *world) write(cell string, d pathrecorder.Decision) {
	if row := w.rows[d.Entry.Path]; row.RowVersion == d.Replaces {
		w.version++
		w.rows[d.Entry.Path] = pathrecorder.Stored{Entry: d.Entry, RowVersion: w.version}
	}
	w.owners[cell].Learn(w.rows[d.Entry.Path])
}

// submission is a request for a job that is routed to a cell, between two of its steps.
type submission struct {
	id, cell string
	route    pathrecorder.Route
	cleared  []string
	ended    bool
}

// step performs the next step of a submission.
func (w *world) step(s *submission) {
	if w.accepted[s.cell][s.id] {
		s.ended = true
		return
	}
	switch d := w.owners[s.cell].Admit(s.route, w.others(s.cell), s.cleared); d.Action {
	case pathrecorder.Accept:
		w.accepted[s.cell][s.id], s.ended = true, true
	case pathrecorder.Outdated:
		s.ended = true
	case pathrecorder.Write:
		w.write(s.cell, d)
	case pathrecorder.Ask:
		cell := d.Cells[0]
		if w.accepted[cell][s.id] || !w.owners[cell].Close(s.route, s.cell) {
			s.ended = true
			return
		}
		s.cleared = append(s.cleared, cell)
		if len(w.accepted[cell]) == 0 {
			if d, changed := w.owners[s.cell].Forget(s.route.Path, []string{cell}); changed {
				w.write(s.cell, d)
			}
		}
	}
}

const path = "host/queue/"

// submit lets a submission run to its end and reports whether its cell has the job.
func (w *world) submit(id, cell string, version int64) bool {
	s := &submission{id: id, cell: cell, route: pathrecorder.Route{Path: path, Version: version}}
	for !s.ended {
		w.step(s)
	}
	return w.accepted[cell][id]
}

func TestMovedPathAsksItsFormerCell(t *testing.T) {
	w := newWorld("a", "b", "c")
	if !w.submit("1", "a", 1) {
		t.Fatal("the first job was not accepted")
	}
	if w.submit("1", "b", 2) {
		t.Error("a job of the former cell was accepted again")
	}
	if !w.submit("2", "b", 2) {
		t.Error("a new job was not accepted after the move")
	}
	if w.submit("3", "a", 1) || w.submit("2", "a", 1) {
		t.Error("the former cell accepted a job by an older configuration")
	}
	if got := w.owners["b"].Elsewhere(path, w.others("b")); !slices.Equal(got, []string{"a"}) {
		t.Errorf("jobs may be in %v, want in the former cell only", got)
	}
	// The path moves back.
	if w.submit("2", "a", 3) || !w.submit("4", "a", 3) || w.submit("5", "b", 2) {
		t.Error("after the second move the first cell must accept new jobs, and only these")
	}
}

func TestSingleServiceStoresNothing(t *testing.T) {
	w := newWorld("a")
	if s := (&submission{id: "1", cell: "a"}); !w.submitRouted(s) || len(w.rows) > 0 {
		t.Errorf("%d entries were stored, want none", len(w.rows))
	}
}

func (w *world) submitRouted(s *submission) bool {
	for !s.ended {
		w.step(s)
	}
	return w.accepted[s.cell][s.id]
}

// TestJobIsAcceptedByOneCell: paths move between cells while requests that were routed by any of the versions
// arrive, the same job at several cells at once, and owners are replaced between any two steps.
func TestJobIsAcceptedByOneCell(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld("a", "b", "c")
		leads := []string{""}
		for range 8 {
			leads = append(leads, w.cells[random.IntN(3)])
		}
		var open []*submission
		for range 150 {
			newest := min(len(leads)-1, 1+len(open)/8)
			switch {
			case random.IntN(12) == 0:
				w.replaceOwner(w.cells[random.IntN(3)])
			case random.IntN(3) == 0:
				version := max(1, newest-random.IntN(3))
				open = append(open, &submission{
					id: fmt.Sprint(random.IntN(4)), cell: leads[version], route: pathrecorder.Route{Path: path, Version: int64(version)},
				})
			case len(open) > 0:
				if s := open[random.IntN(len(open))]; !s.ended {
					w.step(s)
				}
			}
			for id := range 4 {
				holders := 0
				for _, cell := range w.cells {
					if w.accepted[cell][fmt.Sprint(id)] {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("seed %d: %d cells have accepted job %d", seed, holders, id)
				}
			}
		}
	}
}

// TestPathWithoutEntryAsksAllCells: jobs that were accepted while there was one service have left no entry.
func TestPathWithoutEntryAsksAllCells(t *testing.T) {
	w := newWorld("a", "b", "c")
	if !w.submitRouted(&submission{id: "1", cell: "a"}) {
		t.Fatal("the first job was not accepted")
	}
	if got := w.owners["b"].Elsewhere(path, w.others("b")); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("jobs may be in %v, want in all other cells", got)
	}
	if w.submit("1", "b", 2) || !w.submit("2", "b", 2) {
		t.Error("after the move new jobs must be accepted, and only these")
	}
}

// TestOutdatedLookUpDoesNotCloseThePath: a look-up by an older configuration than the stored one made the cell store its
// entry and ask the other cells again.
func TestOutdatedLookUpDoesNotCloseThePath(t *testing.T) {
	w := newWorld("a", "b")
	if !w.submit("1", "a", 3) {
		t.Fatal("the first job was not accepted")
	}
	if w.owners["a"].Close(pathrecorder.Route{Path: path, Version: 2}, "b") {
		t.Error("the path was closed by an older configuration")
	}
	if got := w.owners["a"].Admit(pathrecorder.Route{Path: path, Version: 3}, w.others("a"), []string{"b"}); got.Action != pathrecorder.Accept {
		t.Errorf("action %d for the next job, want it to be accepted", got.Action)
	}
}
