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

// runCheck validates settings files with the same parsers as a start of the
// daemon, but starts nothing. It returns the exit code.
func runCheck(files []string, out, errOut io.Writer) int {
	if len(files) == 0 {
		_, _ = fmt.Fprintln(errOut, "usage: amaranthsilld check FILE...")
		return exitUsage
	}
	code := exitDone
	for _, f := range files {
		if err := checkFile(f); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			code = exitUsage
			continue
		}
		_, _ = fmt.Fprintf(out, "%s: good\n", f)
	}
	return code
}

// checkFile validates one settings file. The key "admin" tells which of the two
// formats it has: only the settings of an entry VM that promotes the targets
// itself (package entry) have an admin address.
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

// buildVersion returns the program's name and module version, followed by the
// commit if the build recorded it.
func buildVersion() string {
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
