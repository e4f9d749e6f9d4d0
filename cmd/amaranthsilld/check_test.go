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
		says string
	}{
		"settings on the users' platform": {edgeSettings, exitDone, "good"},
		"settings with our own promotions": {
			`{"vm": "a", "zone": "z", "callers": "10.0.0.1:1", "peers": "10.0.0.1:3", "admin": "10.0.0.1:4", "platform": "10.0.0.2:1"}`,
			exitDone, "good",
		},
		"a field that is missing": {strings.Replace(edgeSettings, `"vm": "a", `, "", 1), exitUsage, "write the VM's name under vm"},
		"no JSON at all":          {"vm = a", exitUsage, "vm.json:1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "vm.json")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			said := &bytes.Buffer{}
			if code := runCheck([]string{file}, said, said); code != c.code {
				t.Errorf("code %d, want %d: %s", code, c.code, said)
			}
			if !strings.Contains(said.String(), c.says) {
				t.Errorf("said %q, want %q in it", said, c.says)
			}
		})
	}
}

func TestCheckWithoutFile(t *testing.T) {
	said := &bytes.Buffer{}
	if code := runCheck(nil, said, said); code != exitUsage {
		t.Errorf("code %d, want %d", code, exitUsage)
	}
}
