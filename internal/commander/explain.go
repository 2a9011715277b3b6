package commander

import (
	"io"
	"os"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/explainer"
)

type explainCommand struct {
	executeStub
	Logs []string `long:"log" description:"log file of an instance; may be repeated; defaults to standard input"`
	JSON bool     `long:"json" description:"write JSON"`
	Args struct {
		ID string `positional-arg-name:"id" required:"true" description:"ID of the request"`
	} `positional-args:"yes"`
}

// run explains what happened to a request.
func (c *explainCommand) run(s *environment) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Logs) > 0 {
		logs = nil
	}
	for _, name := range c.Logs {
		file, err := os.Open(name)
		if err != nil {
			return &InputError{Reason: err.Error(), Remedy: "give a readable log file"}
		}
		defer file.Close()
		logs = append(logs, file)
	}
	explanation, err := explainer.Read(c.Args.ID, logs...)
	var unknown *explainer.UnknownRequestError
	if errors.As(err, &unknown) {
		return &NegativeError{Reason: err.Error()}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return writeIndented(s.out, explanation)
	}
	return explanation.Write(s.out)
}
