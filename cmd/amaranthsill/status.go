package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"amaranthsill/entry"
	"amaranthsill/logline"
)

// statusTimeout is the time in which one VM must return its status.
const statusTimeout = 2 * time.Second

func statusCommand() *ffcli.Command {
	flags := flag.NewFlagSet("amaranthsill status", flag.ContinueOnError)
	vms := flags.String("vms", "127.0.0.1:9101", "admin addresses of the VMs, separated by commas")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "amaranthsill status [flags]",
		ShortHelp:  "show the version in force and the primaries that each VM sees",
		FlagSet:    flags,
		Options:    options(),
		Exec: func(ctx context.Context, _ []string) error {
			return showStatus(ctx, strings.Split(*vms, ","), *asJSON)
		},
	}
}

// vmReport is the status of one VM, or the error that kept it from being read.
type vmReport struct {
	Address string        `json:"address"`
	Status  *entry.Status `json:"status,omitempty"`
	Error   string        `json:"error,omitempty"`
}

// showStatus asks the VMs at the given admin addresses one after the other and
// prints their status. It returns exitUnknown if one did not answer.
func showStatus(ctx context.Context, addresses []string, asJSON bool) error {
	reports := []vmReport{}
	code := exitCode(0)
	for _, a := range addresses {
		r := vmReport{Address: a}
		s, err := fetchStatus(ctx, a)
		if err != nil {
			r.Error = err.Error()
			code = exitUnknown
		} else {
			r.Status = &s
		}
		reports = append(reports, r)
	}
	return printResult(asJSON, reports, formatStatus(reports), code)
}

// formatStatus returns the reports as text for a terminal.
func formatStatus(reports []vmReport) string {
	b := &strings.Builder{}
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(b, "%-22s no answer: %s\n", r.Address, logline.Printable(r.Error))
			continue
		}
		s := r.Status
		fmt.Fprintf(b, "%-22s vm %s zone %s version %d callers %d\n", r.Address, logline.Printable(s.VM), logline.Printable(s.Zone), s.Version, s.Callers)
		for _, g := range s.Groups {
			fmt.Fprintf(b, "%-22s   group %s primary %s term %d\n", "", logline.Printable(g.Name), logline.Printable(g.Primary), g.Term)
		}
	}
	return strings.TrimRight(b.String(), "\n")
}

// fetchStatus reads the status of the VM at an admin address.
func fetchStatus(ctx context.Context, address string) (entry.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return entry.Status{}, fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return entry.Status{}, fmt.Errorf("ask VM: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	s := entry.Status{}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return entry.Status{}, fmt.Errorf("read status: %w", err)
	}
	return s, nil
}
