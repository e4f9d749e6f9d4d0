package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const edgeSettings = `{
  "vm": "a", "zone": "z", "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "peers": "10.0.0.1:3",
  "metrics": "10.0.0.1:4", "relay": "10.0.0.1:5", "store": "10.0.0.2:1", "duty": "10.0.0.2:2",
  "memory": 284, "grace": "6s",
}`

func TestCheck(t *testing.T) {
	cases := map[string]struct {
		text string
		code int
		want string
	}{
		"edge settings": {edgeSettings, exitDone, "good"},
		"entry settings": {
			`{"vm": "a", "zone": "z", "callers": "10.0.0.1:1", "peers": "10.0.0.1:3", "admin": "10.0.0.1:4", "platform": "10.0.0.2:1"}`,
			exitDone, "good",
		},
		"missing field": {strings.Replace(edgeSettings, `"vm": "a", `, "", 1), exitUsage, "write the VM's name under vm"},
		"not JSON":      {"vm = a", exitUsage, "vm.json:1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "vm.json")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			output := &bytes.Buffer{}
			if code := runCheck([]string{file}, output, output); code != c.code {
				t.Errorf("code %d, want %d: %s", code, c.code, output)
			}
			if !strings.Contains(output.String(), c.want) {
				t.Errorf("output %q does not contain %q", output, c.want)
			}
		})
	}
}

func TestCheckWithoutFile(t *testing.T) {
	output := &bytes.Buffer{}
	if code := runCheck(nil, output, output); code != exitUsage {
		t.Errorf("code %d, want %d", code, exitUsage)
	}
}
