package soak

import (
	"math/rand/v2"
	"strings"
)

// absentRow is the row of an item that was never written, in runs with Hostile.
const absentRow = "none \nCOMPLETE other\nREADY I 1.1\n\x00\r \xff"

// hostileParts are bytes that end a message or a field where it does not end, or that look
// like messages after such an end.
var hostileParts = []string{
	"\n", "\r", "\x00", " ", "  ", "\t", "\x80", "\xff", "\u2028", "a",
	"\nQUERY smuggled WRITE smuggled 1", "\nTERMINATE", "\nREADY I 1.1", "\nCOMPLETE other", "\nDATAROW 1", "\nERROR BUSY",
}

// hostileBytes returns random bytes without CR LF, the only bytes that end a message.
func hostileBytes(random *rand.Rand) string {
	text := ""
	for range 1 + random.IntN(6) {
		part := hostileParts[random.IntN(len(hostileParts))]
		if random.IntN(4) == 0 {
			part = string([]byte{byte(random.IntN(256))})
		}
		if strings.HasSuffix(text, "\r") && part[0] == '\n' {
			part = "a" + part
		}
		text += part
	}
	return text
}
