package edge_test

import (
	"strconv"
	"strings"
	"testing"

	"amaranthsill/edge"
)

// TestSettingsWithNamesThatBreakALine guards against a VM's name that adds fields or
// messages to the line with which it starts sessions on targets.
func TestSettingsWithNamesThatBreakALine(t *testing.T) {
	for _, odd := range []string{"a\r\nQUERY 1 READ a", "a\r\n", "a\nb", "a\rb", "a\x00", "a b", "a\tb", " ", ""} {
		for _, name := range []string{"front-xela-a-1", "xela-a"} {
			text := strings.Replace(settings, strconv.Quote(name), jsonText(odd), 1)
			if _, err := edge.ParseSettings("vm.json", []byte(text)); err == nil {
				t.Errorf("%q is accepted in place of %s", odd, name)
			} else if !strings.Contains(err.Error(), "vm.json:") || strings.ContainsAny(err.Error(), "\r\n\x00") {
				t.Errorf("%q in place of %s: error %q", odd, name, err)
			}
		}
	}
}

// jsonText returns a text as JSON has it.
func jsonText(text string) string {
	return strings.NewReplacer(`\x00`, `\u0000`).Replace(strconv.Quote(text))
}
