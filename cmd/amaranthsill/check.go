package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"amaranthsill/check"
	"amaranthsill/manifest"
	"amaranthsill/platform"
)

// checkFlags holds the flags of the check command.
type checkFlags struct {
	asJSON  bool
	strict  bool
	against string
	vms     int
}

func checkCommand() *ffcli.Command {
	c := &checkFlags{}
	flags := flag.NewFlagSet("amaranthsill check", flag.ContinueOnError)
	flags.BoolVar(&c.asJSON, "json", false, "print JSON")
	flags.BoolVar(&c.strict, "strict", false, "refuse warnings and dangerous changes too")
	flags.StringVar(&c.against, "against", "", "file with the version in force, to which FILE is compared")
	flags.IntVar(&c.vms, "vms", 0, "number of VMs, for checks of the connection limits")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "amaranthsill check [--json] [--strict] [--against FILE] [--vms N] FILE",
		ShortHelp:  "check a manifest or a configuration without submitting it",
		FlagSet:    flags,
		Options:    options(),
		Exec:       c.run,
	}
}

func (c *checkFlags) run(_ context.Context, args []string) error {
	if len(args) != 1 {
		return flag.ErrHelp
	}
	d, err := readDocument(args[0])
	if err != nil {
		return printResult(c.asJSON, checkReport{Error: err.Error()}, err.Error(), exitRefused)
	}
	r := check.NewReport(args[0], d)
	r.Findings = check.Examine(d, check.Fleet{VMs: c.vms})
	if c.against != "" {
		inForce, err := readDocument(c.against)
		if err != nil {
			return printResult(c.asJSON, checkReport{Error: err.Error()}, err.Error(), exitRefused)
		}
		r.Changes = check.Compare(inForce, d)
	}
	return c.print(r)
}

// checkReport is the JSON output for a file that cannot be read.
type checkReport struct {
	Error string `json:"error"`
}

// print prints a report and returns exitRefused if the file should not be sent.
func (c *checkFlags) print(r check.Report) error {
	write := r.WriteText
	if c.asJSON {
		write = r.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	if r.Refuses(c.strict) {
		return exitRefused
	}
	return nil
}

// readDocument reads a manifest or a configuration, told apart by its content.
func readDocument(file string) (*check.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	if platform.IsConfiguration(text) {
		d, err := platform.DescribeConfiguration(file, text)
		if err != nil {
			return nil, fmt.Errorf("check configuration: %w", err)
		}
		return d, nil
	}
	m, err := manifest.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return describeManifest(m), nil
}

// describeManifest returns a manifest as a document. Its places are not known: a
// manifest is checked strictly when it is read.
func describeManifest(m *manifest.Manifest) *check.Document {
	d := &check.Document{}
	for _, g := range m.Groups() {
		n := check.Group{Name: g.Name()}
		for _, t := range g.Targets() {
			if n.Connections == 0 || t.ConnectionLimit() < n.Connections {
				n.Connections = t.ConnectionLimit()
			}
		}
		d.Groups = append(d.Groups, n)
	}
	for _, k := range m.Kinds() {
		r := check.Route{Name: k.Name(), Consistency: "write", MaxStaleness: k.MaxStaleness(), Timeout: k.Timeout()}
		if k.Access() == manifest.AccessRead {
			r.Consistency = "read"
		}
		d.Routes = append(d.Routes, r)
	}
	return d
}
