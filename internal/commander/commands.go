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

// clock is the real one: the command line is where the process meets the world.
var clock = clockwork.NewRealClock()

// entry describes a command to the parser.
type entry struct {
	name, short, long string
	data              any
}

func addCommands(parser *flags.Parser) error {
	for _, e := range []entry{
		{"serve", "run an entry instance", "Runs an entry instance until SIGTERM, then hands its partitions over and finishes open answers.", &serveCommand{}},
		{"attend", "run an entry instance on the users' platform", "Runs an entry instance on the users' platform until SIGTERM. The platform writes its settings.", &attendCommand{}},
		{"explain", "tell the story of one request", "Tells from the logs of all instances what was decided about a request, in the order of time, and what it came to.", &explainCommand{}},
		{"stand-in", "run the platform's stand-in", "Runs a small stand-in of the platform (table service, object store, instance list, workers) for trials and tests.", &standInCommand{}},
		{"ticket", "check, submit and look at change tickets", "Change tickets carry the whole new state of what they touch.", &ticketCommand{}},
		{"job", "submit and follow jobs", "Batch, gang and standing-service jobs, as a caller.", &jobCommand{}},
		{"request", "send quick requests", "Quick requests, as a caller.", &requestCommand{}},
		{"workers", "show the workers of an instance's partitions", "Shows the workers of the partitions that the asked instance owns.", &workersCommand{}},
		{"partitions", "show an instance's partitions", "Shows the partitions that the asked instance owns.", &partitionsCommand{}},
		{"report", "show waiting time, packing and control cost", "Shows the three measures as the asked instance sees them.", &reportCommand{}},
		{"settings", "check settings files", "Checks settings before an instance is started with them.", &settingsCommand{}},
		{"load", "measure with bounded load", "Sends quick requests at a steady rate and writes percentiles of their times.", &loadCommand{}},
		{"rehearse", "play a day on the platform's protocol in one process", "Runs a stand-in of the users' platform and real instances against it in one process, with the load and the troubles of a plan, and checks the promises from outside.", &rehearseCommand{}},
		{"demo", "run the whole system in one process", "Runs the stand-in platform and three entry instances in one process, with both users' work and faults on the way, and checks the promises.", &demoCommand{}},
	} {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.data); err != nil {
			return errors.Wrap(err, "add command "+e.name)
		}
	}
	return nil
}

// unused lets go-flags accept a command; CommandHandler runs it by its run method instead.
type unused struct{}

// Execute is never called.
func (unused) Execute([]string) error { return nil }

// writeIndented writes a value as JSON for people and programs alike.
func writeIndented(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return errors.Wrap(err, "write JSON")
	}
	return nil
}

// verdict is a report on promises.
type verdict interface {
	Write(out io.Writer) error
	Passed() bool
}

// writeVerdict writes a report. The error is a *NegativeError if a promise did not hold.
func writeVerdict(s *session, asJSON bool, report verdict) error {
	write := report.Write
	if asJSON {
		write = func(out io.Writer) error { return writeIndented(out, report) }
	}
	if err := write(s.out); err != nil {
		return err
	}
	if !report.Passed() {
		return &NegativeError{Reason: "not every promise held"}
	}
	return nil
}

type rehearseCommand struct {
	unused
	Plan string `long:"plan" default:"examples/rehearsal/day.json" description:"file with the load and the troubles"`
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
	report, err := chaostester.Run(s.ctx, chaostester.Options{Plan: plan, Clock: clock, Log: log, Progress: s.errs})
	if err != nil {
		return err
	}
	return writeVerdict(s, c.JSON, report)
}

func readPlan(file string) (*chaostester.Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &InputError{Reason: err.Error(), Remedy: "give --plan; examples/rehearsal has plans"}
	}
	return chaostester.ParsePlan(file, text)
}

type demoCommand struct {
	unused
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
	report, err := demonstrator.Run(s.ctx, demonstrator.Options{Seed: c.Seed, Progress: s.errs, Log: log})
	if err != nil {
		return err
	}
	return writeVerdict(s, c.JSON, report)
}
