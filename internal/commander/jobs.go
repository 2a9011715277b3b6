package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/pkg/caller"
)

// keyArgument is the positional argument of commands that take an idempotency key.
type keyArgument struct {
	Key string `positional-arg-name:"KEY" required:"true"`
}

// keyFileArguments are the positional arguments of commands that take an idempotency key and a job file.
type keyFileArguments struct {
	Key  string `positional-arg-name:"KEY" required:"true"`
	File string `positional-arg-name:"FILE" required:"true"`
}

type jobCommand struct {
	Submit jobSubmitCommand `command:"submit" description:"submit a job; return when it is accepted"`
	Status jobStatusCommand `command:"status" description:"show the state of a key"`
	Wait   jobWaitCommand   `command:"wait" description:"wait for the final answer to a key"`
	Cancel jobCancelCommand `command:"cancel" description:"cancel the job of a key and show its final state"`
}

type requestCommand struct {
	Send requestSendCommand `command:"send" description:"send a quick request and wait for its answer"`
}

// readJob reads a job file. It checks only that the file is JSON; the instance validates the job.
func readJob(file string) (caller.Job, error) {
	var job caller.Job
	text, err := os.ReadFile(file)
	if err != nil {
		return job, &InputError{Reason: err.Error(), Remedy: "give a readable job file"}
	}
	if err := json.Unmarshal(text, &job); err != nil {
		return job, &InputError{Reason: fmt.Sprintf("%s: %v", file, err), Remedy: "see docs/operators/callers.md for the fields of a job"}
	}
	return job, nil
}

// callAndPrint makes a call and writes the answer. It returns an error if the answer is negative or the
// state is unknown.
func (o *callerOptions) callAndPrint(s *environment, call func(ctx context.Context, client *caller.Client) (caller.Answer, error)) error {
	client, ctx, closeAll, err := o.client(s)
	if err != nil {
		return err
	}
	defer closeAll()
	answer, err := call(ctx, client)
	if err != nil {
		return callerError(err)
	}
	if o.JSON {
		err = writeIndented(s.out, answer)
	} else {
		writeAnswer(s, answer)
	}
	if err != nil {
		return err
	}
	switch answer.State {
	case caller.NotRun, caller.Stopped:
		return &NegativeError{Reason: fmt.Sprintf("%s: %s", answer.State, answer.Reason)}
	case caller.Unknown:
		return &UnreachableError{Address: answer.Key, Reason: "unknown: " + answer.Reason}
	case caller.Waiting, caller.Placed, caller.Done:
	}
	return nil
}

func callerError(err error) error {
	var problem *caller.ProblemError
	var undecided *caller.UndecidedError
	if errors.As(err, &undecided) || !errors.As(err, &problem) {
		return err
	}
	const badRequest, unprocessable, unauthorised, notFound = 400, 422, 401, 404
	switch problem.Problem.Status {
	case badRequest, unprocessable, unauthorised:
		return &InputError{Reason: problem.Problem.Detail, Remedy: "no task has run"}
	case notFound:
		return &NegativeError{Reason: problem.Problem.Detail}
	default:
		return err
	}
}

func writeAnswer(s *environment, answer caller.Answer) {
	fmt.Fprintf(s.out, "%s: %s", answer.Key, answer.State)
	if answer.Reason != "" {
		fmt.Fprintf(s.out, " (%s)", answer.Reason)
	}
	fmt.Fprintln(s.out)
	var counts []string
	for _, state := range []caller.State{caller.Waiting, caller.Placed, caller.Done, caller.NotRun, caller.Stopped, caller.Unknown} {
		if count := answer.Tasks[state]; count > 0 {
			counts = append(counts, fmt.Sprintf("%d %s", count, state))
		}
	}
	fmt.Fprintf(s.out, "tasks: %s\n", strings.Join(counts, ", "))
	for _, result := range answer.Results {
		outcome := "succeeded"
		if !result.Succeeded {
			outcome = "failed"
		}
		fmt.Fprintf(s.out, "task %d %s: %s\n", result.Task, outcome, result.Body)
	}
}

// keyFileCommand is a command that sends the job in a file under an idempotency key.
type keyFileCommand struct {
	executeStub
	callerOptions
	Args keyFileArguments `positional-args:"yes"`
}

// keyCommand is a command on the job of an idempotency key.
type keyCommand struct {
	executeStub
	callerOptions
	Args keyArgument `positional-args:"yes"`
}

type jobSubmitCommand struct{ keyFileCommand }

func (c *jobSubmitCommand) run(s *environment) error {
	job, err := readJob(c.Args.File)
	if err != nil {
		return err
	}
	return c.callAndPrint(s, func(ctx context.Context, client *caller.Client) (caller.Answer, error) {
		return client.Submit(ctx, c.Args.Key, job)
	})
}

type requestSendCommand struct{ keyFileCommand }

func (c *requestSendCommand) run(s *environment) error {
	job, err := readJob(c.Args.File)
	if err != nil {
		return err
	}
	return c.callAndPrint(s, func(ctx context.Context, client *caller.Client) (caller.Answer, error) {
		return client.Request(ctx, c.Args.Key, job)
	})
}

type jobStatusCommand struct{ keyCommand }

func (c *jobStatusCommand) run(s *environment) error {
	return c.callAndPrint(s, func(ctx context.Context, client *caller.Client) (caller.Answer, error) {
		return client.Status(ctx, c.Args.Key)
	})
}

type jobWaitCommand struct{ keyCommand }

func (c *jobWaitCommand) run(s *environment) error {
	return c.callAndPrint(s, func(ctx context.Context, client *caller.Client) (caller.Answer, error) {
		return client.Wait(ctx, c.Args.Key)
	})
}

type jobCancelCommand struct{ keyCommand }

func (c *jobCancelCommand) run(s *environment) error {
	return c.callAndPrint(s, func(ctx context.Context, client *caller.Client) (caller.Answer, error) {
		return client.Cancel(ctx, c.Args.Key)
	})
}
