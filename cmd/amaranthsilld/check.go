package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"amaranthsill/edge"
	"amaranthsill/entry"
)

// runCheck reads settings files as a start would, and starts nothing.
func runCheck(files []string, out, problems io.Writer) int {
	if len(files) == 0 {
		_, _ = fmt.Fprintln(problems, "usage: amaranthsilld check FILE...")
		return exitUsage
	}
	code := exitDone
	for _, f := range files {
		if err := checkFile(f); err != nil {
			_, _ = fmt.Fprintln(problems, err)
			code = exitUsage
			continue
		}
		_, _ = fmt.Fprintf(out, "%s: good\n", f)
	}
	return code
}

// checkFile checks the settings of an entry VM, of whichever kind. Only those in
// front of targets that it promotes itself have an admin address.
func checkFile(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if bytes.Contains(text, []byte(`"admin"`)) {
		_, err = entry.ReadSettings(file)
	} else {
		_, err = edge.ParseSettings(file, text)
	}
	if err != nil {
		return fmt.Errorf("check %s: %w", file, err)
	}
	return nil
}

// version names the build: its module's version, and the commit if it is known.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "amaranthsilld, unknown build"
	}
	v := "amaranthsilld " + b.Main.Version
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v
}
