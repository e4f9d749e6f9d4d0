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

// burner is the burn command's flags.
type burner struct {
	vms       string
	directory string
	manifest  string
	page      string
	offline   bool
}

func burnCommand() *ffcli.Command {
	b := &burner{}
	flags := flag.NewFlagSet("amaranthsill burn", flag.ContinueOnError)
	flags.StringVar(&b.vms, "vms", "127.0.0.1:9101", "admin addresses of the VMs, separated by commas")
	flags.StringVar(&b.directory, "snapshots", "", "directory to keep snapshots in and to compare with")
	flags.StringVar(&b.manifest, "manifest", "", "manifest with the objectives; without it they are 99.9%")
	flags.StringVar(&b.page, "html", "", "file for the report as one page")
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

func (b *burner) run(ctx context.Context, _ []string) error {
	snapshots := []burn.Snapshot{}
	if b.directory != "" {
		saved, err := burn.Load(b.directory)
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
		if b.directory != "" {
			if err := now.Save(b.directory); err != nil {
				return err
			}
		}
	}
	m, err := b.objectives()
	if err != nil {
		return err
	}
	r := burn.Compare(m, snapshots, missing)
	if err := r.Text(os.Stdout); err != nil {
		return err
	}
	if err := b.write(r); err != nil {
		return err
	}
	if len(missing) > 0 {
		return exitUnknown
	}
	return nil
}

func (b *burner) objectives() (*manifest.Manifest, error) {
	if b.manifest == "" {
		return nil, nil
	}
	return load([]string{b.manifest})
}

func (b *burner) write(r burn.Report) error {
	if b.page == "" {
		return nil
	}
	f, err := os.Create(b.page)
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
