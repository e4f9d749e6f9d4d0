package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

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
