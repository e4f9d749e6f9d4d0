package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"amaranthsill/manifest"
	"amaranthsill/store"
	"amaranthsill/submission"
)

// loadManifest reads and validates the manifest file that is the only argument.
func loadManifest(args []string) (*manifest.Manifest, error) {
	if len(args) != 1 {
		return nil, flag.ErrHelp
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	return manifest.Parse(args[0], text)
}

// printResult prints the body as JSON, or else the text, which goes to standard
// error if the code is not zero. It returns the code as an error, or nil for
// zero.
func printResult(asJSON bool, body any, text string, code exitCode) error {
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(body); err != nil {
			return fmt.Errorf("print result: %w", err)
		}
	} else {
		out := os.Stdout
		if code != 0 {
			out = os.Stderr
		}
		fmt.Fprintln(out, text)
	}
	if code != 0 {
		return code
	}
	return nil
}

// submitFlags holds the flags of the submit command.
type submitFlags struct {
	address  string
	identity string
	timeout  time.Duration
	asJSON   bool
	wait     bool
	vms      string
}

func submitCommand() *ffcli.Command {
	s := &submitFlags{}
	flags := flag.NewFlagSet("amaranthsill submit", flag.ContinueOnError)
	flags.StringVar(&s.address, "platform", "127.0.0.1:2379", "address of the platform's key-value service")
	flags.StringVar(&s.identity, "identity", "", "identity of the submission; a repeat with the same one does no harm")
	flags.DurationVar(&s.timeout, "timeout", 30*time.Second, "time to find out the outcome")
	flags.BoolVar(&s.asJSON, "json", false, "print JSON")
	flags.BoolVar(&s.wait, "wait", false, "wait until the VMs given with --vms have it in force")
	flags.StringVar(&s.vms, "vms", "", "admin addresses of the VMs to wait for, separated by commas")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "amaranthsill submit [flags] FILE",
		ShortHelp:  "check a manifest and put it in force",
		FlagSet:    flags,
		Options:    options(),
		Exec:       s.run,
	}
}

// submitReport is the JSON output of the submit command.
type submitReport struct {
	// Outcome is "accepted", "refused", "lost" or "unknown". A submission is
	// lost if another one was stored as the version.
	Outcome string `json:"outcome"`
	// Version is the version of the submission, or of the winner.
	Version uint64 `json:"version,omitempty"`
	// Winner is the identity of the submission that won.
	Winner string `json:"winner,omitempty"`
	Error  string `json:"error,omitempty"`
	// Zones lists, with --wait, the VMs that have the version in force.
	Zones []zoneReport `json:"zones,omitempty"`
	// Missing has, with --wait, the addresses of the VMs that did not confirm
	// the version before the timeout.
	Missing []string `json:"missing,omitempty"`
}

func (s *submitFlags) run(ctx context.Context, args []string) error {
	m, err := loadManifest(args)
	if err == nil {
		err = m.RejectCustomers()
	}
	if err != nil {
		return printResult(s.asJSON, submitReport{Outcome: "refused", Error: err.Error()}, err.Error(), exitRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	n := &submission.Submission{
		Store:        &store.Client{Address: s.address},
		ID:           s.identity,
		Text:         m.Text(),
		KnownVersion: s.highestVersion(ctx),
	}
	o, err := n.Run(ctx)
	if err != nil {
		return printResult(s.asJSON, submitReport{Outcome: "refused", Error: err.Error()}, err.Error(), exitRefused)
	}
	return s.reportOutcome(ctx, o)
}

// reportOutcome prints the outcome of a submission. With --wait it first waits
// until the VMs have an accepted version in force.
func (s *submitFlags) reportOutcome(ctx context.Context, o submission.Outcome) error {
	switch o := o.(type) {
	case submission.Accepted:
		text := fmt.Sprintf("accepted as version %d", o.Version)
		if o.Current > o.Version {
			text += fmt.Sprintf("; version %d has followed since", o.Current)
		}
		if s.wait {
			return s.awaitVersion(ctx, o, text)
		}
		return printResult(s.asJSON, submitReport{Outcome: "accepted", Version: o.Version}, text, 0)
	case submission.Conflict:
		text := fmt.Sprintf("refused: submission %s won with version %d; look at it and submit again", o.Winner, o.Version)
		return printResult(s.asJSON, submitReport{Outcome: "lost", Version: o.Version, Winner: o.Winner}, text, exitRefused)
	case submission.Unknown:
		text := fmt.Sprintf("outcome unknown: %v; submit again with the same --identity", o.Cause)
		return printResult(s.asJSON, submitReport{Outcome: "unknown", Error: o.Cause.Error()}, text, exitUnknown)
	default:
		panic(fmt.Sprintf("amaranthsill: unknown outcome %T", o))
	}
}
