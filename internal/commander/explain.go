package commander

import (
	"io"
	"os"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/explainer"
)

type explainCommand struct {
	unused
	Logs []string `long:"log" description:"a log of an instance, may be given several times; standard input by default"`
	JSON bool     `long:"json" description:"write JSON"`
	Args struct {
		ID string `positional-arg-name:"id" required:"true" description:"id of the request"`
	} `positional-args:"yes"`
}

// run tells the story of one request.
func (c *explainCommand) run(s *session) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Logs) > 0 {
		logs = nil
	}
	for _, name := range c.Logs {
		file, err := os.Open(name)
		if err != nil {
			return &InputError{Reason: err.Error(), Remedy: "name a log that can be read"}
		}
		defer file.Close()
		logs = append(logs, file)
	}
	story, err := explainer.Read(c.Args.ID, logs...)
	var unknown *explainer.UnknownRequestError
	if errors.As(err, &unknown) {
		return &NegativeError{Reason: err.Error()}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return writeIndented(s.out, story)
	}
	return story.Write(s.out)
}
