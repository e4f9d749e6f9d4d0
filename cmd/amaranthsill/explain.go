package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"amaranthsill/explain"
)

// explainCommand returns the command that prints the timeline of a request from
// the VMs' logs.
func explainCommand() *ffcli.Command {
	flags := flag.NewFlagSet("amaranthsill explain", flag.ContinueOnError)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "amaranthsill explain ID [LOG ...]",
		ShortHelp:  "tell a request's story from VMs' logs, or from standard input",
		FlagSet:    flags,
		Options:    options(),
		Exec:       runExplain,
	}
}

// runExplain takes the request's ID and the names of log files. Without files it
// reads standard input. It returns exitUnknown if no line carries the ID.
func runExplain(_ context.Context, args []string) error {
	if len(args) == 0 {
		return flag.ErrHelp
	}
	sources := []explain.Source{}
	for _, name := range args[1:] {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = f.Close() }()
		sources = append(sources, explain.Source{Name: name, Reader: f})
	}
	if len(sources) == 0 {
		sources = append(sources, explain.Source{Name: "-", Reader: os.Stdin})
	}
	s, err := explain.Read(args[0], sources...)
	if errors.Is(err, explain.ErrUnknown) {
		fmt.Fprintln(os.Stderr, err)
		return exitUnknown
	}
	if err != nil {
		return fmt.Errorf("explain request: %w", err)
	}
	if err := s.Print(os.Stdout); err != nil {
		return fmt.Errorf("explain request: %w", err)
	}
	return nil
}
