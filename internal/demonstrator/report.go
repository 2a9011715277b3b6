package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelpost.example/dotterelpost/internal/auditor"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// ClassSummary is what became of the work of a team's class. Wait is from a caller's first sending to the
// first start on a worker.
type ClassSummary struct {
	Team      string           `json:"team"`
	Class     modeler.Class    `json:"class"`
	Requested int              `json:"asked"`
	Placed    int              `json:"placed"`
	Done      int              `json:"done"`
	Stopped   int              `json:"stopped"`
	NotRun    int              `json:"not-run"`
	Unknown   int              `json:"unknown"`
	WaitP50   modeler.Duration `json:"wait-p50"`
	WaitP99   modeler.Duration `json:"wait-p99"`
	WaitMax   modeler.Duration `json:"wait-max"`
}

// Report is the outcome of a demo.
type Report struct {
	Seed         uint64            `json:"seed"`
	Duration     modeler.Duration  `json:"took"`
	Classes      []ClassSummary    `json:"work"`
	ControlPlane ControlPlaneCost  `json:"control"`
	Packing      Packing           `json:"packing"`
	Findings     []auditor.Finding `json:"promises"`
	Failures     []string          `json:"failures,omitempty"`
}

// ControlPlaneCost is what running the system itself cost.
type ControlPlaneCost struct {
	Placements                   int     `json:"placements"`
	TableWrites                  int64   `json:"table-writes"`
	TableReads                   int64   `json:"table-reads"`
	CrossRegionBytes             int64   `json:"cross-region-bytes"`
	TableWritesPerPlacement      float64 `json:"table-writes-per-placement"`
	CrossRegionBytesPerPlacement float64 `json:"cross-region-bytes-per-placement"`
}

// Packing is how full the fullest dimension of the workers in use was, at the fullest moment.
type Packing struct {
	PeakDominantShare float64 `json:"peak-dominant-share-of-used-workers"`
	WorkersUsedAtPeak int     `json:"workers-used-at-peak"`
}

// Passed tells whether every promise held and nothing else failed.
func (r Report) Passed() bool {
	for _, finding := range r.Findings {
		if !finding.Passed() {
			return false
		}
	}
	return len(r.Failures) == 0
}

func (d *demo) report() Report {
	events := d.cell.platform.Events()
	report := Report{
		Seed:     d.options.Seed,
		Duration: modeler.Duration(d.cell.clock.Since(d.began).Round(time.Millisecond)),
		Classes:  d.rows(),
		Findings: auditor.Audit(auditor.Evidence{
			Events:             events,
			Calls:              d.ledger.evidence(),
			Departures:         d.departures,
			Shutdowns:          d.stops,
			TicketObservations: d.watcher.sightings,
			TicketAcceptedAt:   d.watcher.accepted,
			DepartureTimeout:   leavingWait,
			TicketTimeout:      ticketWait,
			RestartedWorkers:   d.excused,
		}),
		Packing:  packing(d.cell.platform.Events()),
		Failures: d.failures,
	}
	if d.raceWon != 1 {
		report.Failures = append(report.Failures, fmt.Sprintf("%d operators won the race for one ticket number", d.raceWon))
	}
	report.ControlPlane = d.controlCost()
	return report
}

func (d *demo) controlCost() ControlPlaneCost {
	cost := ControlPlaneCost{}
	for _, event := range d.cell.platform.Events() {
		if event.Started {
			cost.Placements++
		}
	}
	used := append([]usage(nil), d.cell.retired...)
	for _, instance := range d.cell.running() {
		used = append(used, usageOf(instance))
	}
	for _, u := range used {
		cost.TableWrites += u.table.Writes
		cost.TableReads += u.table.Reads
		cost.CrossRegionBytes += u.meshFar
	}
	if cost.Placements > 0 {
		cost.TableWritesPerPlacement = float64(cost.TableWrites) / float64(cost.Placements)
		cost.CrossRegionBytesPerPlacement = float64(cost.CrossRegionBytes) / float64(cost.Placements)
	}
	return cost
}

// rowName tells rows apart.
type rowName struct {
	team  string
	class modeler.Class
}

func (d *demo) rows() []ClassSummary {
	firstStart := make(map[string]time.Time)
	for _, event := range d.cell.platform.Events() {
		if _, found := firstStart[event.Attempt.Key]; event.Started && !found {
			firstStart[event.Attempt.Key] = event.At
		}
	}
	rows := make(map[rowName]*ClassSummary)
	waits := make(map[rowName]*hdrhistogram.Histogram)
	for _, r := range d.ledger.calls {
		name := rowName{team: r.team, class: r.class}
		row := rows[name]
		if row == nil {
			row = &ClassSummary{Team: r.team, Class: r.class}
			rows[name] = row
			waits[name] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		}
		row.count(r)
		if started, found := firstStart[r.Key]; found {
			row.Placed++
			// Waits of over an hour can't be recorded, and the demo is over long before.
			_ = waits[name].RecordValue(max(1, started.Sub(r.sent).Microseconds()))
		}
	}
	var list []ClassSummary
	for _, team := range []string{"association", "footlights"} {
		for _, class := range modeler.Classes() {
			name := rowName{team: team, class: class}
			if row := rows[name]; row != nil {
				row.WaitP50 = micros(waits[name].ValueAtQuantile(50))
				row.WaitP99 = micros(waits[name].ValueAtQuantile(99))
				row.WaitMax = micros(waits[name].Max())
				list = append(list, *row)
			}
		}
	}
	return list
}

func micros(value int64) modeler.Duration {
	return modeler.Duration(time.Duration(value) * time.Microsecond)
}

func (row *ClassSummary) count(r *record) {
	row.Requested++
	if len(r.Answers) == 0 {
		return
	}
	switch r.Answers[len(r.Answers)-1].State {
	case modeler.Done:
		row.Done++
	case modeler.NotRun:
		row.NotRun++
	case modeler.Stopped:
		row.Stopped++
	case modeler.Unknown:
		row.Unknown++
	case modeler.Waiting, modeler.Placed:
	}
}

// Write writes the report for people.
func (r Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tclass\tasked\tplaced\tdone\tstopped\tnot run\tunknown\twait p50\tp99\tmax\t")
	for _, row := range r.Classes {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", row.Team, row.Class, row.Requested, row.Placed,
			row.Done, row.Stopped, row.NotRun, row.Unknown, short(row.WaitP50), short(row.WaitP99), short(row.WaitMax))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\ncontrol cost: %d task starts, %.3f table writes and %.1f cross-region bytes each (%d writes, %d reads, %d bytes)\n",
		r.ControlPlane.Placements, r.ControlPlane.TableWritesPerPlacement, r.ControlPlane.CrossRegionBytesPerPlacement,
		r.ControlPlane.TableWrites, r.ControlPlane.TableReads, r.ControlPlane.CrossRegionBytes)
	fmt.Fprintf(out, "packing: at the fullest moment %d workers were in use, their fullest dimension %.0f %% reserved\n\n",
		r.Packing.WorkersUsedAtPeak, 100*r.Packing.PeakDominantShare)
	for _, finding := range r.Findings {
		fmt.Fprintln(out, finding.Text())
	}
	for _, failure := range r.Failures {
		fmt.Fprintln(out, "FAILED ", failure)
	}
	_, err := fmt.Fprintf(out, "\nseed %d, %s\n", r.Seed, time.Duration(r.Duration))
	return err
}

func short(d modeler.Duration) string {
	return time.Duration(d).Round(100 * time.Microsecond).String()
}
