package site

import (
	"bufio"
	"strings"
	"testing"
)

// TestLineEndsAtCRLF guards against simulated servers that end a line at a lone LF, as the
// VMs once did: both sides then agreed on a wrong protocol.
func TestLineEndsAtCRLF(t *testing.T) {
	r := bufio.NewReader(strings.NewReader("QUERY 1 WRITE a  b\nc\rd\r\r\n\n\r\n"))
	for _, want := range []string{"QUERY 1 WRITE a  b\nc\rd\r", "\n"} {
		if line, err := ReadLine(r); err != nil || line != want {
			t.Errorf("got %q and error %v, want %q", line, err, want)
		}
	}
}

// TestReceiptsDiffer guards against receipts that fit an answer to another request.
func TestReceiptsDiffer(t *testing.T) {
	s := &Server{ID: "choir-0"}
	plan := Plan{Access: "READ", Shape: "q 1"}
	seen := map[string]string{}
	for name, receipt := range map[string]string{
		"read":           s.Receipt("1", "READ a", nil, []string{"1"}),
		"other request":  s.Receipt("2", "READ a", nil, []string{"1"}),
		"other text":     s.Receipt("1", "READ b", nil, []string{"1"}),
		"other rows":     s.Receipt("1", "READ a", nil, []string{"1", ""}),
		"other settings": s.Receipt("1", "READ a", map[string]string{"n": ","}, []string{"1"}),
		"prepared":       s.Receipt("1", plan.Text("a"), nil, []string{"1"}),
		"other shape":    s.Receipt("1", Plan{Access: "READ", Shape: "q"}.Text("1 a"), nil, []string{"1"}),
	} {
		if other, ok := seen[receipt]; ok {
			t.Errorf("%s and %s have the receipt %s", name, other, receipt)
		}
		seen[receipt] = name
	}
}
