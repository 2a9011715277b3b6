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

// Row is what became of the work of a team's class. Wait is from a caller's first sending to the
// first start on a worker.
type Row struct {
	Team    string           `json:"team"`
	Class   modeler.Class    `json:"class"`
	Asked   int              `json:"asked"`
	Placed  int              `json:"placed"`
	Done    int              `json:"done"`
	Stopped int              `json:"stopped"`
	NotRun  int              `json:"not-run"`
	Unknown int              `json:"unknown"`
	P50     modeler.Duration `json:"wait-p50"`
	P99     modeler.Duration `json:"wait-p99"`
	Max     modeler.Duration `json:"wait-max"`
}

// Report is the outcome of a demo.
type Report struct {
	Seed     uint64            `json:"seed"`
	Took     modeler.Duration  `json:"took"`
	Rows     []Row             `json:"work"`
	Control  ControlCost       `json:"control"`
	Packing  Packing           `json:"packing"`
	Findings []auditor.Finding `json:"promises"`
	Failures []string          `json:"failures,omitempty"`
}

// ControlCost is what running the system itself cost.
type ControlCost struct {
	Placements             int     `json:"placements"`
	TableWrites            int64   `json:"table-writes"`
	TableReads             int64   `json:"table-reads"`
	CrossRegionBytes       int64   `json:"cross-region-bytes"`
	TableWritesPerStart    float64 `json:"table-writes-per-placement"`
	CrossRegionBytesPerOne float64 `json:"cross-region-bytes-per-placement"`
}

// Packing is how full the fullest dimension of the workers in use was, at the fullest moment.
type Packing struct {
	PeakShareOfUsedWorkers float64 `json:"peak-dominant-share-of-used-workers"`
	WorkersUsedAtPeak      int     `json:"workers-used-at-peak"`
}

// Held tells whether every promise held and nothing else failed.
func (r Report) Held() bool {
	for _, finding := range r.Findings {
		if !finding.Held() {
			return false
		}
	}
	return len(r.Failures) == 0
}

func (d *demo) report() Report {
	events := d.cell.platform.Events()
	report := Report{
		Seed: d.options.Seed,
		Took: modeler.Duration(d.cell.clock.Since(d.began).Round(time.Millisecond)),
		Rows: d.rows(),
		Findings: auditor.Audit(auditor.Evidence{
			Events:      events,
			Calls:       d.ledger.evidence(),
			Departures:  d.departures,
			Stops:       d.stops,
			Sightings:   d.watcher.sightings,
			Accepted:    d.watcher.accepted,
			LeavingWait: leavingWait,
			TicketWait:  ticketWait,
			Excused:     d.excused,
		}),
		Packing:  packing(d.cell.platform.Events()),
		Failures: d.failures,
	}
	if d.raceWon != 1 {
		report.Failures = append(report.Failures, fmt.Sprintf("%d operators won the race for one ticket number", d.raceWon))
	}
	report.Control = d.controlCost()
	return report
}

func (d *demo) controlCost() ControlCost {
	cost := ControlCost{}
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
		cost.TableWritesPerStart = float64(cost.TableWrites) / float64(cost.Placements)
		cost.CrossRegionBytesPerOne = float64(cost.CrossRegionBytes) / float64(cost.Placements)
	}
	return cost
}

// rowName tells rows apart.
type rowName struct {
	team  string
	class modeler.Class
}

func (d *demo) rows() []Row {
	firstStart := make(map[string]time.Time)
	for _, event := range d.cell.platform.Events() {
		if _, found := firstStart[event.Attempt.Key]; event.Started && !found {
			firstStart[event.Attempt.Key] = event.At
		}
	}
	rows := make(map[rowName]*Row)
	waits := make(map[rowName]*hdrhistogram.Histogram)
	for _, r := range d.ledger.calls {
		name := rowName{team: r.team, class: r.class}
		row := rows[name]
		if row == nil {
			row = &Row{Team: r.team, Class: r.class}
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
	var list []Row
	for _, team := range []string{"association", "footlights"} {
		for _, class := range modeler.Classes() {
			name := rowName{team: team, class: class}
			if row := rows[name]; row != nil {
				row.P50 = micros(waits[name].ValueAtQuantile(50))
				row.P99 = micros(waits[name].ValueAtQuantile(99))
				row.Max = micros(waits[name].Max())
				list = append(list, *row)
			}
		}
	}
	return list
}

func micros(value int64) modeler.Duration {
	return modeler.Duration(time.Duration(value) * time.Microsecond)
}

func (row *Row) count(r *record) {
	row.Asked++
	if len(r.Told) == 0 {
		return
	}
	switch r.Told[len(r.Told)-1].State {
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
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", row.Team, row.Class, row.Asked, row.Placed,
			row.Done, row.Stopped, row.NotRun, row.Unknown, short(row.P50), short(row.P99), short(row.Max))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\ncontrol cost: %d task starts, %.3f table writes and %.1f cross-region bytes each (%d writes, %d reads, %d bytes)\n",
		r.Control.Placements, r.Control.TableWritesPerStart, r.Control.CrossRegionBytesPerOne,
		r.Control.TableWrites, r.Control.TableReads, r.Control.CrossRegionBytes)
	fmt.Fprintf(out, "packing: at the fullest moment %d workers were in use, their fullest dimension %.0f %% reserved\n\n",
		r.Packing.WorkersUsedAtPeak, 100*r.Packing.PeakShareOfUsedWorkers)
	for _, finding := range r.Findings {
		fmt.Fprintln(out, finding.Line())
	}
	for _, failure := range r.Failures {
		fmt.Fprintln(out, "FAILED ", failure)
	}
	_, err := fmt.Fprintf(out, "\nseed %d, %s\n", r.Seed, time.Duration(r.Took))
	return err
}

func short(d modeler.Duration) string {
	return time.Duration(d).Round(100 * time.Microsecond).String()
}
