package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"amaranthsill/losses"
)

// lossesCommand returns the command that reports from the VMs' logs what callers did not
// get.
func lossesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("amaranthsill losses", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "write the report as JSON")
	return &ffcli.Command{
		Name:       "losses",
		ShortUsage: "amaranthsill losses [--json] [LOG ...]",
		ShortHelp:  "report refused and doubtful statements by second and reason, from VMs' logs or standard input",
		FlagSet:    flags,
		Options:    options(),
		Exec:       func(_ context.Context, names []string) error { return runLosses(names, *asJSON) },
	}
}

// runLosses takes the names of log files. Without files it reads standard input.
func runLosses(names []string, asJSON bool) error {
	sources := []losses.Source{}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = f.Close() }()
		sources = append(sources, losses.Source{Name: name, Reader: f})
	}
	if len(sources) == 0 {
		sources = append(sources, losses.Source{Name: "-", Reader: os.Stdin})
	}
	r, err := losses.Read(sources...)
	if err != nil {
		return fmt.Errorf("report losses: %w", err)
	}
	write := r.Print
	if asJSON {
		write = r.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return fmt.Errorf("report losses: %w", err)
	}
	return nil
}
