package commander

import (
	"encoding/json"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/chaostester"
	"dotterelpost.example/dotterelpost/internal/demonstrator"
)

// clock is the real clock. The commands pass it to the packages that take a clock.
var clock = clockwork.NewRealClock()

// commandEntry is the registration of a command with the parser.
type commandEntry struct {
	name, short, long string
	data              any
}

func addCommands(parser *flags.Parser) error {
	for _, e := range []commandEntry{
		{"serve", "run an instance", "Runs an instance until SIGTERM, then hands its partitions over and answers open requests.", &serveCommand{}},
		{"attend", "run an instance on an external platform", "Runs an instance on an external platform until SIGTERM. The platform writes its settings.", &attendCommand{}},
		{"explain", "explain what happened to a request", "Lists the decisions on a request and its outcome in chronological order, from the logs of all instances.", &explainCommand{}},
		{"stand-in", "run a simulated platform", "Runs a small simulated platform (table service, object store, instance list, workers) for trials and tests.", &standInCommand{}},
		{"ticket", "check, submit and show change tickets", "A change ticket contains the complete new state of each object that it changes.", &ticketCommand{}},
		{"job", "submit and track jobs", "Submits and tracks batch, gang and standing-service jobs as a caller.", &jobCommand{}},
		{"request", "send quick requests", "Sends quick requests as a caller.", &requestCommand{}},
		{"workers", "show the workers of an instance's partitions", "Shows the workers of the partitions that the addressed instance owns.", &workersCommand{}},
		{"partitions", "show an instance's partitions", "Shows the partitions that the addressed instance owns.", &partitionsCommand{}},
		{"report", "show waiting times, packing and control-plane cost", "Shows waiting times, packing and control-plane cost as measured by the addressed instance.", &reportCommand{}},
		{"config", "check configurations of an external platform", "Checks a configuration before an operator sends it.", &configCommand{}},
		{"settings", "check settings files", "Checks a settings file before it is used.", &settingsCommand{}},
		{"load", "measure latency under bounded load", "Sends quick requests at a constant rate and writes percentiles of their latencies.", &loadCommand{}},
		{"rehearse", "run a fault-injection test in one process", "Runs a stand-in for the external platform and real instances in one process, with the load and the faults of a plan, and compares the answers to callers with what the workers executed.", &rehearseCommand{}},
		{"demo", "run the whole system in one process", "Runs the simulated platform and three instances in one process, with the workloads of two example teams and injected faults, and checks the guarantees.", &demoCommand{}},
	} {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.data); err != nil {
			return errors.Wrap(err, "add command "+e.name)
		}
	}
	return nil
}

// executeStub implements flags.Commander, which go-flags requires of a command. The CommandHandler set
// by Main calls the command's run method instead.
type executeStub struct{}

// Execute is never called.
func (executeStub) Execute([]string) error { return nil }

// writeIndented writes a value as indented JSON.
func writeIndented(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return errors.Wrap(err, "write JSON")
	}
	return nil
}

// guaranteeReport is a report on the guarantees of the scheduler.
type guaranteeReport interface {
	Write(out io.Writer) error
	Passed() bool
}

// writeReport writes a report. Its error is a *NegativeError if a check failed.
func writeReport(s *session, asJSON bool, report guaranteeReport) error {
	write := report.Write
	if asJSON {
		write = func(out io.Writer) error { return writeIndented(out, report) }
	}
	if err := write(s.out); err != nil {
		return err
	}
	if !report.Passed() {
		return &NegativeError{Reason: "at least one guarantee was violated or not verified"}
	}
	return nil
}

type rehearseCommand struct {
	executeStub
	Plan string `long:"plan" default:"examples/rehearsal/day.json" description:"file with the load and the faults"`
	JSON bool   `long:"json" description:"write the report as JSON"`
	Log  string `long:"log" description:"write the instances' logs to this file"`
}

func (c *rehearseCommand) run(s *session) error {
	plan, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	log, closeLog, err := fileLogger(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	report, err := chaostester.Run(s.ctx, chaostester.Options{Plan: plan, Clock: clock, Log: log, Progress: s.stderr})
	if err != nil {
		return err
	}
	return writeReport(s, c.JSON, report)
}

func readPlan(file string) (*chaostester.Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &InputError{Reason: err.Error(), Remedy: "give --plan; see examples/rehearsal for plans"}
	}
	return chaostester.ParsePlan(file, text)
}

type demoCommand struct {
	executeStub
	Seed uint64 `long:"seed" default:"1" description:"seed of all random choices"`
	JSON bool   `long:"json" description:"write the report as JSON"`
	Log  string `long:"log" description:"write the instances' logs to this file"`
}

func (c *demoCommand) run(s *session) error {
	log, closeLog, err := fileLogger(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	report, err := demonstrator.Run(s.ctx, demonstrator.Options{Seed: c.Seed, Progress: s.stderr, Log: log})
	if err != nil {
		return err
	}
	return writeReport(s, c.JSON, report)
}
