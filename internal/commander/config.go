package commander

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/configchecker"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/validator"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
	"dotterelpost.example/dotterelpost/platform"
)

type configCommand struct {
	Check configCheckCommand `command:"check" description:"check a configuration file; with --against or --store also what differs from the version in force"`
}

type configCheckCommand struct {
	executeStub
	Against string       `long:"against" description:"file that holds the configuration in force"`
	Store   string       `long:"store" description:"address of the platform's store, from which the configuration in force and the list of workers are read"`
	JSON    bool         `long:"json" description:"write JSON"`
	Args    fileArgument `positional-args:"yes"`
}

// configReport is the JSON output of a check of a configuration. InForce is 0 and Changes is nil if the
// configuration was not compared with another one.
type configReport struct {
	File     string                  `json:"file"`
	Version  int64                   `json:"version"`
	InForce  int64                   `json:"in-force,omitempty"`
	Findings []configchecker.Finding `json:"findings"`
	Changes  []string                `json:"changes"`
}

func (c *configCheckCommand) run(s *session) error {
	if c.Against != "" && c.Store != "" {
		return &InputError{Reason: "--against and --store exclude each other", Remedy: "give one of them"}
	}
	next, unknown, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	report := configReport{File: c.Args.File, Version: next.Version, Findings: []configchecker.Finding{}}
	for _, path := range unknown {
		report.Findings = append(report.Findings, configchecker.Finding{
			Severity: configchecker.Warning, Fault: validator.Fault{Path: path, Problem: "the field is not known and has no effect", Remedy: "check its spelling"},
		})
	}
	report.Findings = append(report.Findings, configchecker.Check(next)...)
	inForce, workers, compareErr := c.inForce(s)
	if workers != nil {
		report.Findings = append(report.Findings, configchecker.CheckWorkers(next, workers)...)
	}
	if inForce != nil {
		report.InForce = inForce.Version
		report.Findings = append(report.Findings, configchecker.CheckSuccessor(inForce, next)...)
		report.Changes = append([]string{}, configchecker.Compare(inForce, next)...)
	}
	for i := range report.Findings {
		report.Findings[i].File = c.Args.File
		report.Findings[i].Path = platform.ConfigurationPath(report.Findings[i].Path)
	}
	if err := c.write(s, &report); err != nil {
		return err
	}
	return compareErr
}

// write writes the report. Its error lists the errors among the findings.
func (c *configCheckCommand) write(s *session, report *configReport) error {
	if c.JSON {
		if err := writeIndented(s.out, report); err != nil {
			return err
		}
	}
	var faults validator.Faults
	for _, finding := range report.Findings {
		if finding.Severity == configchecker.Error {
			faults = append(faults, finding.Fault)
		} else if !c.JSON {
			fmt.Fprintf(s.out, "%s: %s\n", finding.Severity, finding.Fault)
		}
	}
	if !c.JSON {
		for _, change := range report.Changes {
			fmt.Fprintf(s.out, "change: %s\n", change)
		}
		fmt.Fprintf(s.out, "%s: %d errors, %d warnings\n", report.File, len(faults), len(report.Findings)-len(faults))
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// inForce returns the configuration to compare with, or nil if none was asked for, and the workers that
// are listed, or nil without --store.
func (c *configCheckCommand) inForce(s *session) (*configprovider.Configuration, []workerdriver.Worker, error) {
	if c.Against != "" {
		configuration, _, err := readConfiguration(c.Against)
		return configuration, nil, err
	}
	if c.Store == "" {
		return nil, nil, nil
	}
	address, err := netip.ParseAddrPort(c.Store)
	if err != nil {
		return nil, nil, &InputError{Reason: err.Error(), Remedy: "give --store as IP:PORT"}
	}
	store, closeIdle := platform.NewStoreClient(address)
	defer closeIdle()
	rows, err := store.Read(s.ctx, platform.ConfigurationKey)
	if err != nil {
		return nil, nil, err
	}
	row, found := rows[platform.ConfigurationKey]
	if !found {
		return nil, nil, &NegativeError{Reason: "the store at " + c.Store + " holds no configuration"}
	}
	configuration, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		return nil, nil, err
	}
	listed, err := store.Snapshot(s.ctx, platform.WorkersTable, "")
	if err != nil {
		return nil, nil, err
	}
	workers := make([]workerdriver.Worker, 0, len(listed.Rows))
	for _, row := range listed.Rows {
		// Entries that name no usable worker are passed over, as instances do.
		if worker, err := platform.DecodeWorker(row.Key, row.Value); err == nil {
			workers = append(workers, worker)
		}
	}
	return configuration, workers, nil
}

// readConfiguration reads a configuration file. It also returns the paths of its unknown fields.
func readConfiguration(file string) (*configprovider.Configuration, []string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &InputError{Reason: err.Error(), Remedy: "give a readable configuration file"}
	}
	configuration, err := platform.DecodeConfiguration(text)
	if err != nil {
		var invalid *platform.InvalidReplyError
		if errors.As(err, &invalid) {
			err = invalid.Err
		}
		return nil, nil, validator.Faults{{File: file, Path: "$", Problem: err.Error(), Remedy: "write one JSON object in the format of the configuration in force"}}
	}
	return configuration, platform.UnknownConfigurationFields(text), nil
}
