package logline_test

import (
	"testing"

	"amaranthsill/logline"
)

func TestPrintable(t *testing.T) {
	for text, want := range map[string]string{
		"choir":              "choir",
		"chœur à 4 \\n":      "chœur à 4 \\n",
		"a\r\nb":             `a\r\nb`,
		"a\x1b[2Jb":          `a\x1b[2Jb`,
		"a\tb":               `a\tb`,
		"a\u2028\u202eb":     `a\u2028\u202eb`,
		"a\u0085b\u00a0\x7f": `a\u0085b\u00a0\x7f`,
		"a\xffb":             "a\ufffdb",
	} {
		if got := logline.Printable(text); got != want {
			t.Errorf("%q became %q, want %q", text, got, want)
		}
	}
}
