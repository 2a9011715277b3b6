package commander

import (
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"dotterelpost.example/dotterelpost/internal/adminserver"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

// fileArgument is the positional argument of commands that read a file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"true"`
}

// numberArgument is a ticket number, or "head" for the state in force.
type numberArgument struct {
	Number string `positional-arg-name:"NUMBER" required:"true"`
}

type ticketCommand struct {
	Check  ticketCheckCommand  `command:"check" description:"check a ticket file; with --operators also against the state in force"`
	Submit ticketSubmitCommand `command:"submit" description:"submit a ticket"`
	Show   ticketShowCommand   `command:"show" description:"show an accepted ticket, or the state in force with the number head"`
	Status ticketStatusCommand `command:"status" description:"show on which instances a ticket is in force"`
}

type ticketCheckCommand struct {
	executeStub
	Operators string       `long:"operators" env:"DOTTERELPOST_OPERATORS" description:"address of an operators' listener"`
	Token     string       `long:"token-file" env:"DOTTERELPOST_OPERATOR_TOKEN_FILE" description:"file that holds the operator's token"`
	JSON      bool         `long:"json" description:"write JSON"`
	Args      fileArgument `positional-args:"yes"`
}

// parseTicket reads a ticket file. If it is invalid, the error lists all its faults.
func parseTicket(file string) (ticketer.Ticket, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return ticketer.Ticket{}, nil, &InputError{Reason: err.Error(), Remedy: "give a readable ticket file"}
	}
	ticket, faults := ticketer.Parse(file, text)
	if len(faults) > 0 {
		return ticket, nil, faults
	}
	return ticket, text, nil
}

func (c *ticketCheckCommand) run(s *environment) error {
	ticket, _, err := parseTicket(c.Args.File)
	if err != nil {
		return err
	}
	if c.Operators == "" {
		return writeResult(s, c.JSON, CheckResult{File: c.Args.File, Checked: "form"}, "%s: no faults in its form; give --operators to check it against the state in force\n", c.Args.File)
	}
	remote := operatorOptions{Operators: c.Operators, Token: c.Token}
	state := &ticketer.State{}
	if err := remote.call(s, http.MethodGet, "/v1/tickets/head", nil, state); err != nil {
		return err
	}
	if faults := ticketer.Check(c.Args.File, state, ticket); len(faults) > 0 {
		return faults
	}
	if state.Number != ticket.After {
		return &NegativeError{Reason: fmt.Sprintf("%s follows ticket %d, but ticket %d is in force; review that ticket and set \"after\" to %d", c.Args.File, ticket.After, state.Number, state.Number)}
	}
	return writeResult(s, c.JSON, CheckResult{File: c.Args.File, Checked: "state"}, "%s: no faults; it would become ticket %d\n", c.Args.File, state.Number+1)
}

// CheckResult is the JSON output of a check that found no faults.
type CheckResult struct {
	File    string `json:"file"`
	Checked string `json:"checked"`
}

// writeResult writes a value as JSON, or else the formatted text.
func writeResult(s *environment, asJSON bool, value any, format string, args ...any) error {
	if asJSON {
		return writeIndented(s.out, value)
	}
	fmt.Fprintf(s.out, format, args...)
	return nil
}

type ticketSubmitCommand struct {
	executeStub
	operatorOptions
	Args fileArgument `positional-args:"yes"`
}

func (c *ticketSubmitCommand) run(s *environment) error {
	_, text, err := parseTicket(c.Args.File)
	if err != nil {
		return err
	}
	var status adminserver.TicketStatus
	if err := c.call(s, http.MethodPost, "/v1/tickets", text, &status); err != nil {
		return err
	}
	return writeResult(s, c.JSON, status, "ticket %d accepted\n", status.Number)
}

type ticketShowCommand struct {
	executeStub
	operatorOptions
	Args numberArgument `positional-args:"yes"`
}

// run writes JSON even without --json, because a ticket is a JSON document.
func (c *ticketShowCommand) run(s *environment) error {
	if c.Args.Number == "head" {
		var state ticketer.State
		if err := c.call(s, http.MethodGet, "/v1/tickets/head", nil, &state); err != nil {
			return err
		}
		return writeIndented(s.out, state)
	}
	var ticket ticketer.Ticket
	if err := c.call(s, http.MethodGet, "/v1/tickets/"+c.Args.Number, nil, &ticket); err != nil {
		return err
	}
	return writeIndented(s.out, ticket)
}

type ticketStatusCommand struct {
	executeStub
	operatorOptions
	Args numberArgument `positional-args:"yes"`
}

func (c *ticketStatusCommand) run(s *environment) error {
	var status adminserver.TicketStatus
	if err := c.call(s, http.MethodGet, "/v1/tickets/"+c.Args.Number+"/status", nil, &status); err != nil {
		return err
	}
	if c.JSON {
		if err := writeIndented(s.out, status); err != nil {
			return err
		}
	} else if err := writeTicketStatus(s, status); err != nil {
		return err
	}
	if !status.InForce {
		return &NegativeError{Reason: fmt.Sprintf("ticket %d is not in force everywhere yet", status.Number)}
	}
	return nil
}

func writeTicketStatus(s *environment, status adminserver.TicketStatus) error {
	fmt.Fprintf(s.out, "ticket %d (latest %d)\n", status.Number, status.Head)
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tREGION\tIN FORCE\tSINCE")
	for _, instance := range status.Instances {
		since := ""
		if !instance.Since.IsZero() {
			since = instance.Since.Format(time.RFC3339)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", instance.Instance, instance.Region, instance.Number, since)
	}
	return table.Flush()
}
