package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// TestHostileBytesStayInOneLine guards against a soak that sends malformed messages itself
// and so takes a caller's own fault for one of the VMs.
func TestHostileBytesStayInOneLine(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[rune]bool{}
	for range 10000 {
		text := hostileBytes(random)
		if strings.Contains(text, "\r\n") {
			t.Fatalf("%q ends a line", text)
		}
		for _, b := range []byte(text) {
			seen[rune(b)] = true
		}
	}
	if len(seen) != 256 {
		t.Errorf("%d bytes occur, want all 256", len(seen))
	}
}
