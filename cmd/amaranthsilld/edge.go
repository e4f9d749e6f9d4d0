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

	"amaranthsill/clock"
	"amaranthsill/edge"
	"amaranthsill/logline"
	"amaranthsill/platform"
)

// runEdge runs an entry VM on the users' platform until SIGTERM or SIGINT, and
// returns the exit code. SIGHUP makes it read its settings again.
func runEdge(args []string) int {
	flags := flag.NewFlagSet("amaranthsilld edge", flag.ContinueOnError)
	file := flags.String("node-file", "edge.json", "file with this VM's settings, JSON with comments")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("AMARANTHSILL"))
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	if err != nil {
		return exitUsage
	}
	settings, err := edge.ReadSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	logWriter := logline.NewWriter(os.Stdout)
	defer logWriter.CloseWithin(edge.LogTimeout)
	log := logline.New(logWriter)
	vm := &edge.VM{
		Settings:        settings,
		SettingsFile:    *file,
		ReloadSignals:   reloadSignals,
		Adapter:         platform.NewAdapter(settings, log),
		DroppedLogLines: logWriter.Dropped,
		Now:             clock.SinceBoot,
		Log:             log,
	}
	if err := vm.Run(ctx); err != nil {
		log.Error(err, "VM failed")
		return exitFailed
	}
	return exitDone
}
