package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"amaranthsill/burn"
	"amaranthsill/manifest"
)

// burnFlags holds the flags of the burn command.
type burnFlags struct {
	vms          string
	snapshotDir  string
	manifestFile string
	pageFile     string
	offline      bool
}

func burnCommand() *ffcli.Command {
	b := &burnFlags{}
	flags := flag.NewFlagSet("amaranthsill burn", flag.ContinueOnError)
	flags.StringVar(&b.vms, "vms", "127.0.0.1:9101", "admin addresses of the VMs, separated by commas")
	flags.StringVar(&b.snapshotDir, "snapshots", "", "directory to keep snapshots in and to compare with")
	flags.StringVar(&b.manifestFile, "manifest", "", "manifest with the objectives; without it they are 99.9%")
	flags.StringVar(&b.pageFile, "html", "", "file for the report as one page")
	flags.BoolVar(&b.offline, "offline", false, "ask no VM; report on the saved snapshots")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "amaranthsill burn [flags]",
		ShortHelp:  "report how fast the objectives are being spent",
		FlagSet:    flags,
		Options:    options(),
		Exec:       b.run,
	}
}

// run reports on the counters of the VMs and on saved snapshots. It returns
// exitUnknown if a VM did not answer.
func (b *burnFlags) run(ctx context.Context, _ []string) error {
	snapshots := []burn.Snapshot{}
	if b.snapshotDir != "" {
		saved, err := burn.Load(b.snapshotDir)
		if err != nil {
			return err
		}
		snapshots = saved
	}
	missing := map[string]error{}
	if !b.offline {
		now, failed := burn.Collect(ctx, strings.Split(b.vms, ","), time.Now())
		missing = failed
		snapshots = append(snapshots, now)
		if b.snapshotDir != "" {
			if err := now.Save(b.snapshotDir); err != nil {
				return err
			}
		}
	}
	m, err := b.loadObjectives()
	if err != nil {
		return err
	}
	r := burn.Compare(m, snapshots, missing)
	if err := r.Text(os.Stdout); err != nil {
		return err
	}
	if err := b.writePage(r); err != nil {
		return err
	}
	if len(missing) > 0 {
		return exitUnknown
	}
	return nil
}

// loadObjectives reads the manifest with the objectives. It returns nil if no
// manifest was given.
func (b *burnFlags) loadObjectives() (*manifest.Manifest, error) {
	if b.manifestFile == "" {
		return nil, nil
	}
	return loadManifest([]string{b.manifestFile})
}

// writePage writes the report as an HTML page if a file for it was given.
func (b *burnFlags) writePage(r burn.Report) error {
	if b.pageFile == "" {
		return nil
	}
	f, err := os.Create(b.pageFile)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	if err := r.Page(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close page: %w", err)
	}
	return nil
}
