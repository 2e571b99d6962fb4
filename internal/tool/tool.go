// Package tool holds what the command line programs share: parsing of arguments, exit codes, signals, logging and progress.
package tool

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/sigs"
)

// Exit codes of the programs.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a setting is invalid; nothing was done.
	ExitUsage = 2
	// ExitConflict means that the change conflicts with one that was accepted earlier; get the newest version and try again.
	ExitConflict = 3
)

// CodedError is an error that sets the program's exit code.
type CodedError struct {
	Code int
	Err  error
}

// Error implements error.
func (ce *CodedError) Error() string { return ce.Err.Error() }

// Unwrap returns the wrapped error.
func (ce *CodedError) Unwrap() error { return ce.Err }

// Usage wraps an error in the command line or a setting, so that the program exits with ExitUsage.
func Usage(err error) error {
	return &CodedError{Code: ExitUsage, Err: err}
}

// Server is a command that serves callers. Signals other than SIGTERM and SIGINT do not end it; package sigs handles them.
type Server interface {
	flags.Commander
	// Serve runs until SIGTERM or SIGINT.
	Serve() error
}

// Main parses the arguments, runs the command that they name and returns the exit code.
func Main(parser *flags.Parser, args []string) int {
	parser.CommandHandler = func(cmd flags.Commander, args []string) error {
		if server, ok := cmd.(Server); ok {
			return server.Serve()
		}
		sigs.Restore()
		if cmd == nil {
			return nil
		}
		return cmd.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return ExitOK
	}
	if flagErr, ok := errors.AsType[*flags.Error](err); ok {
		return printUsage(parser, flagErr)
	}
	lines.Print(os.Stderr, fmt.Sprintln("error:", err))
	if coded, ok := errors.AsType[*CodedError](err); ok {
		return coded.Code
	}
	return ExitFailed
}

// printUsage prints the requested help to standard output, or the error of the command line to standard error, and returns
// the exit code.
func printUsage(parser *flags.Parser, err *flags.Error) int {
	if err.Type == flags.ErrHelp {
		fmt.Println(err.Message)
		return ExitOK
	}
	fmt.Fprintf(os.Stderr, "error: %s\nrun %s --help for the settings\n", err.Message, parser.Name)
	return ExitUsage
}

// Context returns a context that SIGINT or SIGTERM cancels, for commands that do not serve.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// Logger returns a logger of JSON lines.
func Logger(to log.Writer) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: to}
}
