package commander

import (
	"fmt"
	"net/http"
	"sort"
	"text/tabwriter"
	"time"

	"dotterelpost.example/dotterelpost/internal/adminserver"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
)

type workersCommand struct {
	executeStub
	operatorOptions
}

func (c *workersCommand) run(s *environment) error {
	var workers []partitionscheduler.WorkerView
	if err := c.call(s, http.MethodGet, "/v1/workers", nil, &workers); err != nil {
		return err
	}
	if c.JSON {
		return writeIndented(s.out, workers)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WORKER\tPARTITION\tPOOL\tCONDITION\tTASKS\tPROCESSORS\tMEMORY\tACCELERATORS")
	for _, w := range workers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", w.Name, w.Partition, w.Pool, w.Condition, w.Tasks, resourcesText(w.Reserved, w.Capacity))
	}
	return table.Flush()
}

// resourcesText formats the reserved share of each resource as reserved/capacity, separated by tabs.
func resourcesText(reserved, capacity modeler.Resources) string {
	const millis = 1000
	return fmt.Sprintf("%.2f/%.0f\t%s/%s\t%d/%d",
		float64(reserved.Processors)/millis, float64(capacity.Processors)/millis,
		reserved.Memory.HR(), capacity.Memory.HR(), reserved.Accelerators, capacity.Accelerators)
}

type partitionsCommand struct {
	executeStub
	operatorOptions
}

func (c *partitionsCommand) run(s *environment) error {
	var partitions []partitionscheduler.PartitionView
	if err := c.call(s, http.MethodGet, "/v1/partitions", nil, &partitions); err != nil {
		return err
	}
	if c.JSON {
		return writeIndented(s.out, partitions)
	}
	return writePartitions(s, partitions)
}

func writePartitions(s *environment, partitions []partitionscheduler.PartitionView) error {
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PARTITION\tOWNER\tEPOCH\tREADY\tWORKERS\tJOBS\tWAITING\tPROCESSORS\tMEMORY\tACCELERATORS")
	for _, p := range partitions {
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%d\t%d\t%d\t%s\n", p.Name, p.Owner, p.Epoch, p.Ready, p.Workers, p.Jobs, p.Waiting, resourcesText(p.Reserved, p.Capacity))
	}
	return table.Flush()
}

type reportCommand struct {
	executeStub
	operatorOptions
}

func (c *reportCommand) run(s *environment) error {
	var report adminserver.Report
	if err := c.call(s, http.MethodGet, "/v1/report", nil, &report); err != nil {
		return err
	}
	if c.JSON {
		return writeIndented(s.out, report)
	}
	fmt.Fprintf(s.out, "instance %s, ticket %d\n\n", report.Instance, report.Ticket)
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLASS\tPLACED\tWAIT P50\tP99\tMAX")
	for _, wait := range report.Waits {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", wait.Class, wait.Count, time.Duration(wait.P50), time.Duration(wait.P99), time.Duration(wait.Max))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "\ncontrol-plane cost: %d table writes, %d reads, %d bytes to other regions\n\n",
		report.Cost.TableWrites, report.Cost.TableReads, report.Cost.CrossRegionBytes)
	names := make([]string, 0, len(report.Decisions))
	for name := range report.Decisions {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(s.out, "%s %d\n", name, report.Decisions[name])
	}
	fmt.Fprintln(s.out)
	return writePartitions(s, report.Partitions)
}
