package main

import (
	"strings"
	"testing"

	"amaranthsill/entry"
)

// Guards against a group or VM that adds lines to the status of others by its name.
func TestStatusHasOneLineForEachGroup(t *testing.T) {
	const name = "a\nforged\r\x1b[2K"
	s := &entry.Status{VM: name, Zone: name, Groups: []entry.GroupStatus{{Name: name, Primary: name}}}
	text := formatStatus([]vmReport{{Address: "x", Status: s}, {Address: "y", Error: name}})
	if lines := strings.Count(text, "\n") + 1; lines != 3 || strings.ContainsAny(text, "\r\x1b") {
		t.Errorf("printed %d lines, want 3: %q", lines, text)
	}
}
