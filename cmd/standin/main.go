// Command standin runs an in-memory replacement for a target or for the
// platform, for demos and tests on one machine. It stores nothing on disk.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"amaranthsill/internal/standin"
	"amaranthsill/store"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := command().ParseAndRun(ctx, os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *ffcli.Command {
	return &ffcli.Command{
		ShortUsage:  "standin <target|platform> [flags]",
		Subcommands: []*ffcli.Command{targetCommand(), platformCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func targetCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin target", flag.ContinueOnError)
	t := &standin.Target{}
	flags.StringVar(&t.Address, "address", "127.0.0.1:7001", "where to listen")
	flags.IntVar(&t.ConnectionLimit, "connections", 20, "most connections of callers")
	flags.IntVar(&t.Slots, "slots", 3, "statements that run at a time")
	flags.DurationVar(&t.DialDelay, "dial", 12*time.Millisecond, "time that a new connection takes")
	flags.DurationVar(&t.Lag, "lag", 5*time.Millisecond, "time until a replica shows an entry")
	return &ffcli.Command{
		Name:       "target",
		ShortUsage: "standin target [flags]",
		ShortHelp:  "a database server over an in-memory store",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return t.Run(ctx) },
	}
}

func platformCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin platform", flag.ContinueOnError)
	p := &standin.Platform{}
	address := flags.String("address", "127.0.0.1:2379", "where to listen")
	flags.DurationVar(&p.VMListDelay, "lag", 0, "time until the list of VMs shows a change")
	vms := flags.String("vms", "", "VMs on the list from the start: name/zone/peers' address, separated by commas")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "the platform's key-value service and list of VMs",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			list, err := parseVMs(*vms)
			if err != nil {
				return err
			}
			p.VMs = list
			s := &http.Server{Addr: *address, Handler: p.Handler(), ReadHeaderTimeout: time.Second}
			go func() {
				<-ctx.Done()
				_ = s.Close()
			}()
			if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve platform: %w", err)
			}
			return nil
		},
	}
}

// errVMList reports a malformed list of VMs.
var errVMList = errors.New("write name/zone/address for each VM, separated by commas")

// parseVMs parses a comma-separated list of VMs, each as name/zone/address.
func parseVMs(s string) ([]store.VM, error) {
	out := []store.VM{}
	for part := range strings.SplitSeq(s, ",") {
		if part == "" {
			continue
		}
		f := strings.Split(part, "/")
		if len(f) != 3 {
			return nil, fmt.Errorf("read VM %q: %w", part, errVMList)
		}
		out = append(out, store.VM{Name: f[0], Zone: f[1], Address: f[2]})
	}
	return out, nil
}
