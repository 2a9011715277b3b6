package commander

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"dotterelpost.example/dotterelpost/internal/demonstrator"
)

// entry describes a command to the parser.
type entry struct {
	name, short, long string
	data              any
}

func addCommands(parser *flags.Parser) error {
	for _, e := range []entry{
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
	if c.JSON {
		err = writeIndented(s.out, report)
	} else {
		err = report.Write(s.out)
	}
	if err != nil {
		return err
	}
	if !report.Held() {
		return &NegativeError{Reason: "not every promise held"}
	}
	return nil
}
