// Command amaranthsilld is the proxy daemon that runs on each entry VM.
//
//	amaranthsilld [--settings FILE]         run an entry VM that promotes the targets itself
//	amaranthsilld edge [--node-file FILE]   run an entry VM on the users' platform, which promotes them
//	amaranthsilld check FILE...             check settings files without starting a VM
//	amaranthsilld --version                 print which build this is
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/peterbourgon/ff/v3"

	"amaranthsill/entry"
	"amaranthsill/internal/build"
)

// Exit codes. exitUsage also stands for settings that cannot be read.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run selects the subcommand and returns the exit code. Without a subcommand it
// runs an entry VM that promotes the targets itself.
func run(args []string) int {
	command := ""
	if len(args) > 0 {
		command = args[0]
	}
	switch command {
	case "edge":
		return runEdge(args[1:])
	case "check":
		return runCheck(args[1:], os.Stdout, os.Stderr)
	case "--version", "-version":
		fmt.Println("amaranthsilld", build.Current())
		return exitDone
	}
	flags := flag.NewFlagSet("amaranthsilld", flag.ContinueOnError)
	file := flags.String("settings", "vm.json", "file with this VM's settings, JSON with comments")
	verbose := flags.Bool("verbose", false, "log details")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("AMARANTHSILL"))
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	if err != nil {
		return exitUsage
	}
	settings, err := entry.ReadSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	vm := &entry.VM{Settings: settings, Log: newLogger(*verbose)}
	if err := vm.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitDone
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
