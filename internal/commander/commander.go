// Package commander implements the command line: it parses arguments with go-flags and runs a command.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes: 0 success; 1 a definite negative result, such as "not run" or a violated guarantee;
// 2 invalid input; 3 the server was not reached or the outcome is unknown.
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

// NegativeError reports that the command completed and its definite result is negative.
type NegativeError struct {
	Reason string
}

func (e *NegativeError) Error() string { return e.Reason }

// InputError reports an invalid argument or file, with a remedy.
type InputError struct {
	Reason string
	Remedy string
}

func (e *InputError) Error() string { return e.Reason + "; " + e.Remedy }

// session holds the context and the output streams that a command uses.
type session struct {
	ctx    context.Context
	out    io.Writer
	stderr io.Writer
}

// command is a subcommand of the program.
type command interface {
	run(s *session) error
}

// Main runs the command that the arguments select and returns the exit code.
func Main(args []string, out, stderr io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	s := &session{ctx: ctx, out: out, stderr: stderr}
	parser := flags.NewNamedParser("dotterelpost", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "a cluster scheduler for mixed workloads"
	if err := addCommands(parser); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitBadInput
	}
	var runErr error
	parser.CommandHandler = func(chosen flags.Commander, rest []string) error {
		if len(rest) > 0 {
			runErr = &InputError{Reason: fmt.Sprintf("unknown argument %q", rest[0]), Remedy: "see --help"}
			return nil
		}
		if runnable, found := chosen.(command); found {
			runErr = runnable.run(s)
		}
		return nil
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return parseErrorExitCode(err, out, stderr)
	}
	return exitCode(runErr, stderr)
}

func parseErrorExitCode(err error, out, stderr io.Writer) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(out, flagsErr.Message)
		return ExitDone
	}
	fmt.Fprintln(stderr, err)
	return ExitBadInput
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(stderr, err)
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
