package logline

import (
	"strconv"
	"strings"
	"unicode"
)

// Printable returns a text with everything that a terminal would not show as it is, such as
// the end of a line, replaced by an escape sequence of Go. Bytes that are no text become
// U+FFFD.
func Printable(text string) string {
	text = strings.ToValidUTF8(text, "\ufffd")
	if !strings.ContainsFunc(text, isUnprintable) {
		return text
	}
	b := strings.Builder{}
	for _, r := range text {
		if !isUnprintable(r) {
			b.WriteRune(r)
			continue
		}
		quoted := strconv.QuoteRune(r)
		b.WriteString(quoted[1 : len(quoted)-1])
	}
	return b.String()
}

func isUnprintable(r rune) bool { return !unicode.IsPrint(r) }
