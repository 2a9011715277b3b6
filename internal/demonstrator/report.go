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

// ClassSummary summarizes the requests of a team and workload class. The waiting times are from when a
// caller first sent the request to the first start on a worker.
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

// Report is the result of a demo.
type Report struct {
	Seed         uint64            `json:"seed"`
	Duration     modeler.Duration  `json:"took"`
	Classes      []ClassSummary    `json:"work"`
	ControlPlane ControlPlaneCost  `json:"control"`
	Packing      Packing           `json:"packing"`
	Findings     []auditor.Finding `json:"promises"`
	Failures     []string          `json:"failures,omitempty"`
}

// ControlPlaneCost is the cost of the scheduler's own operation.
type ControlPlaneCost struct {
	Placements                   int     `json:"placements"`
	TableWrites                  int64   `json:"table-writes"`
	TableReads                   int64   `json:"table-reads"`
	CrossRegionBytes             int64   `json:"cross-region-bytes"`
	TableWritesPerPlacement      float64 `json:"table-writes-per-placement"`
	CrossRegionBytesPerPlacement float64 `json:"cross-region-bytes-per-placement"`
}

// Packing is the share of the dominant resource that was reserved on the workers in use, at the peak of
// reserved processors.
type Packing struct {
	PeakDominantShare float64 `json:"peak-dominant-share-of-used-workers"`
	WorkersUsedAtPeak int     `json:"workers-used-at-peak"`
}

// Passed reports whether every guarantee held and nothing else failed.
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
		Duration: modeler.Duration(d.cell.clock.Since(d.startedAt).Round(time.Millisecond)),
		Classes:  d.classSummaries(),
		Findings: auditor.Audit(auditor.Evidence{
			Events:             events,
			Calls:              d.calls.auditorCalls(),
			Departures:         d.departures,
			Shutdowns:          d.shutdowns,
			TicketObservations: d.observer.observations,
			TicketAcceptedAt:   d.observer.acceptedAt,
			DepartureTimeout:   departureTimeout,
			TicketTimeout:      ticketTimeout,
			RestartedWorkers:   d.restartedWorkers,
		}),
		Packing:  peakPacking(d.cell.platform.Events()),
		Failures: d.failures,
	}
	if d.acceptedSubmissions != 1 {
		report.Failures = append(report.Failures, fmt.Sprintf("%d concurrent submissions of one ticket were accepted, want 1", d.acceptedSubmissions))
	}
	report.ControlPlane = d.controlPlaneCost()
	return report
}

func (d *demo) controlPlaneCost() ControlPlaneCost {
	cost := ControlPlaneCost{}
	for _, event := range d.cell.platform.Events() {
		if event.Started {
			cost.Placements++
		}
	}
	usages := append([]usage(nil), d.cell.pastUsage...)
	for _, instance := range d.cell.running() {
		usages = append(usages, usageOf(instance))
	}
	for _, u := range usages {
		cost.TableWrites += u.table.Writes
		cost.TableReads += u.table.Reads
		cost.CrossRegionBytes += u.crossRegionBytes
	}
	if cost.Placements > 0 {
		cost.TableWritesPerPlacement = float64(cost.TableWrites) / float64(cost.Placements)
		cost.CrossRegionBytesPerPlacement = float64(cost.CrossRegionBytes) / float64(cost.Placements)
	}
	return cost
}

// classKey identifies a ClassSummary.
type classKey struct {
	team  string
	class modeler.Class
}

func (d *demo) classSummaries() []ClassSummary {
	firstStart := make(map[string]time.Time)
	for _, event := range d.cell.platform.Events() {
		if _, found := firstStart[event.Attempt.Key]; event.Started && !found {
			firstStart[event.Attempt.Key] = event.At
		}
	}
	rows := make(map[classKey]*ClassSummary)
	waits := make(map[classKey]*hdrhistogram.Histogram)
	for _, r := range d.calls.calls {
		key := classKey{team: r.team, class: r.class}
		row := rows[key]
		if row == nil {
			row = &ClassSummary{Team: r.team, Class: r.class}
			rows[key] = row
			waits[key] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		}
		row.count(r)
		if started, found := firstStart[r.Key]; found {
			row.Placed++
			// RecordValue fails only for waits above one hour, which the demo's timeout excludes.
			_ = waits[key].RecordValue(max(1, started.Sub(r.sentAt).Microseconds()))
		}
	}
	var list []ClassSummary
	for _, team := range []string{"association", "footlights"} {
		for _, class := range modeler.Classes() {
			key := classKey{team: team, class: class}
			if row := rows[key]; row != nil {
				row.WaitP50 = fromMicroseconds(waits[key].ValueAtQuantile(50))
				row.WaitP99 = fromMicroseconds(waits[key].ValueAtQuantile(99))
				row.WaitMax = fromMicroseconds(waits[key].Max())
				list = append(list, *row)
			}
		}
	}
	return list
}

func fromMicroseconds(value int64) modeler.Duration {
	return modeler.Duration(time.Duration(value) * time.Microsecond)
}

func (row *ClassSummary) count(r *callRecord) {
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

// Write writes the report as human-readable text.
func (r Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tclass\tasked\tplaced\tdone\tstopped\tnot run\tunknown\twait p50\tp99\tmax\t")
	for _, row := range r.Classes {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", row.Team, row.Class, row.Requested, row.Placed,
			row.Done, row.Stopped, row.NotRun, row.Unknown, formatDuration(row.WaitP50), formatDuration(row.WaitP99), formatDuration(row.WaitMax))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\ncontrol-plane cost: %d task starts, %.3f table writes and %.1f cross-region bytes each (%d writes, %d reads, %d bytes)\n",
		r.ControlPlane.Placements, r.ControlPlane.TableWritesPerPlacement, r.ControlPlane.CrossRegionBytesPerPlacement,
		r.ControlPlane.TableWrites, r.ControlPlane.TableReads, r.ControlPlane.CrossRegionBytes)
	fmt.Fprintf(out, "packing: at the peak %d workers were in use, with %.0f %% of their dominant resource reserved\n\n",
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

func formatDuration(d modeler.Duration) string {
	return time.Duration(d).Round(100 * time.Microsecond).String()
}
