// Command amaranthsill is the operators' client: it checks and submits
// manifests and shows what the VMs of the system do.
//
// Its exit codes are 0 for done, 1 for refused, 2 for wrong usage or input,
// and 3 for an outcome that could not be found out.
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

// exit is an exit code as an error.
type exit int

const (
	exitRefused exit = 1
	exitUsage   exit = 2
	exitUnknown exit = 3
)

// Error returns the code in words.
func (e exit) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().ParseAndRun(ctx, os.Args[1:])
	stop()
	os.Exit(code(err))
}

// code turns a command's error into the exit code, and prints it.
func code(err error) int {
	var e exit
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
		ShortUsage:  "amaranthsill <check|submit|status|burn|explain> [flags] [FILE]",
		Options:     options(),
		Subcommands: []*ffcli.Command{checkCommand(), submitCommand(), statusCommand(), burnCommand(), explainCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("AMARANTHSILL")}
}
