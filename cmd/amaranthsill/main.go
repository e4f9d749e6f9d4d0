// Command amaranthsill is the operators' command-line client. It checks and
// submits manifests, shows the status of the VMs, reports error budget burn
// rates, traces a request through the VMs' logs, and reports from them what callers did
// not get.
//
// The exit code is 0 on success, 1 if a manifest is rejected, 2 for invalid
// usage or input, and 3 if the outcome is unknown or a VM did not answer.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// exitCode is an error that makes the command exit with that code and print
// nothing more.
type exitCode int

// Exit codes of failures, as the package comment describes them.
const (
	exitRefused exitCode = 1
	exitUsage   exitCode = 2
	exitUnknown exitCode = 3
)

// Error implements error.
func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().ParseAndRun(ctx, os.Args[1:])
	stop()
	os.Exit(exitStatus(err))
}

// exitStatus returns the exit code for a command's error. It prints the error
// unless the command has already reported it.
func exitStatus(err error) int {
	var e exitCode
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return int(exitUsage)
	case errors.As(err, &e):
		return int(e)
	default:
		fmt.Fprintln(os.Stderr, err)
		return int(exitUsage)
	}
}

func command() *ffcli.Command {
	return &ffcli.Command{
		ShortUsage:  "amaranthsill <check|submit|status|burn|explain|losses> [flags] [FILE]",
		Options:     options(),
		Subcommands: []*ffcli.Command{checkCommand(), submitCommand(), statusCommand(), burnCommand(), explainCommand(), lossesCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// options returns the flag options that all subcommands share: flags can also
// be set by environment variables with the prefix AMARANTHSILL_.
func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("AMARANTHSILL")}
}
