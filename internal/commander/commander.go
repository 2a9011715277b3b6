// Package commander is the command line: it parses arguments by go-flags and runs one command.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes: 0 done; 1 a true negative answer, such as "not run" or a broken promise; 2 bad input;
// 3 the other side was not reached or the answer is not known.
package commander

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"dotterelpost.example/dotterelpost/internal/validator"
)

// The exit codes.
const (
	ExitDone     = 0
	ExitNegative = 1
	ExitBadInput = 2
	ExitUnknown  = 3
)

// NegativeError tells that the command did its work and the true answer is a negative one.
type NegativeError struct {
	Reason string
}

func (e *NegativeError) Error() string { return e.Reason }

// InputError tells that an argument or a file is wrong.
type InputError struct {
	Reason string
	Remedy string
}

func (e *InputError) Error() string { return e.Reason + "; " + e.Remedy }

// session is what every command works with.
type session struct {
	ctx  context.Context
	out  io.Writer
	errs io.Writer
}

// command is one command of the line.
type command interface {
	run(s *session) error
}

// Main runs the command that the arguments name and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	s := &session{ctx: ctx, out: out, errs: errs}
	parser := flags.NewNamedParser("dotterelpost", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "a cluster scheduler for unlike workloads"
	if err := addCommands(parser); err != nil {
		fmt.Fprintln(errs, err)
		return ExitBadInput
	}
	var failure error
	parser.CommandHandler = func(chosen flags.Commander, rest []string) error {
		if len(rest) > 0 {
			failure = &InputError{Reason: fmt.Sprintf("argument %q is not known", rest[0]), Remedy: "see --help"}
			return nil
		}
		if runnable, found := chosen.(command); found {
			failure = runnable.run(s)
		}
		return nil
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return parseFailure(err, out, errs)
	}
	return exitCode(failure, errs)
}

func parseFailure(err error, out, errs io.Writer) int {
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		fmt.Fprintln(out, wrong.Message)
		return ExitDone
	}
	fmt.Fprintln(errs, err)
	return ExitBadInput
}

func exitCode(err error, errs io.Writer) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(errs, err)
	var negative *NegativeError
	var faults validator.Faults
	var input *InputError
	switch {
	case errors.As(err, &negative):
		return ExitNegative
	case errors.As(err, &faults), errors.As(err, &input):
		return ExitBadInput
	default:
		return ExitUnknown
	}
}
