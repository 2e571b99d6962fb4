// Package tool runs a command line: parsing, checked settings, signals and exit codes, the same for every program.
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
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed tells that the command ran and failed.
	ExitFailed = 1
	// ExitUsage tells that the command line or a setting is wrong; nothing was done.
	ExitUsage = 2
	// ExitConflict tells that another's change came first; get the newest version and try again.
	ExitConflict = 3
)

// CodedError is an error with an exit code of its own.
type CodedError struct {
	Code int
	Err  error
}

// Error implements error.
func (ce *CodedError) Error() string { return ce.Err.Error() }

// Unwrap returns the cause.
func (ce *CodedError) Unwrap() error { return ce.Err }

// Usage marks an error as one of the command line.
func Usage(err error) error {
	return &CodedError{Code: ExitUsage, Err: err}
}

// Main parses the arguments, runs the command they name and returns the exit code.
func Main(parser *flags.Parser, args []string) int {
	_, err := parser.ParseArgs(args)
	if err == nil {
		return ExitOK
	}
	if flagErr, ok := errors.AsType[*flags.Error](err); ok {
		return usage(parser, flagErr)
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	if coded, ok := errors.AsType[*CodedError](err); ok {
		return coded.Code
	}
	return ExitFailed
}

func usage(parser *flags.Parser, err *flags.Error) int {
	if err.Type == flags.ErrHelp {
		fmt.Println(err.Message)
		return ExitOK
	}
	fmt.Fprintf(os.Stderr, "error: %s\nrun %s --help for the settings\n", err.Message, parser.Name)
	return ExitUsage
}

// Context returns a context that ends at an interrupt or a termination signal.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// Logger returns the structured logger of a program, which writes JSON lines to standard error.
func Logger() *log.Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: &log.IOWriter{Writer: os.Stderr}}
}
