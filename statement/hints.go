package statement

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// ErrHint reports a leading comment with a malformed hint.
var ErrHint = errors.New("malformed hint")

// ErrUnsupported reports a statement that cannot run on a pooled connection.
var ErrUnsupported = errors.New("statement is not supported")

// MaxKeyBytes is the maximum length of an idempotency key in bytes.
const MaxKeyBytes = 128

// Hints are the options that a caller gives for a request in a leading
// comment.
type Hints struct {
	// Kind names a request kind of the manifest; empty if the comment names
	// none.
	Kind string
	// Key is the idempotency key; empty if the comment gives none.
	Key string
}

// ParseHints parses a comment of the form "/* kind=NAME key=KEY */" at the
// start of a query. A query without such a comment has no hints. Other words
// in the comment are ignored. Its error wraps ErrHint.
func ParseHints(query string) (Hints, error) {
	rest, ok := strings.CutPrefix(strings.TrimSpace(query), "/*")
	if !ok {
		return Hints{}, nil
	}
	comment, _, ok := strings.Cut(rest, "*/")
	if !ok {
		return Hints{}, fmt.Errorf("comment has no end: %w", ErrHint)
	}
	h := Hints{}
	for word := range strings.FieldsSeq(comment) {
		name, value, found := strings.Cut(word, "=")
		if !found {
			continue
		}
		if err := h.set(name, value); err != nil {
			return Hints{}, err
		}
	}
	return h, nil
}

// set sets the hint with the given name: kind is the name of a request kind of
// the manifest, and key an idempotency key. Unknown names are ignored on
// purpose, so that a query may start with a comment that is not for the proxy.
// The error wraps ErrHint if the key is malformed.
func (h *Hints) set(name, value string) error {
	switch name {
	case "kind":
		h.Kind = value
	case "key":
		if value == "" || len(value) > MaxKeyBytes || strings.ContainsFunc(value, isInvalidKeyRune) {
			return fmt.Errorf("key %q, want 1 to %d letters, digits or signs: %w", value, MaxKeyBytes, ErrHint)
		}
		h.Key = value
	}
	return nil
}

func isInvalidKeyRune(r rune) bool {
	return r == '\'' || r == '\\' || r > unicode.MaxASCII || !unicode.IsPrint(r)
}

// Setting is a SET or SHOW statement that the proxy answers itself.
type Setting struct {
	// Name is the parameter without the "amaranthsill." prefix.
	Name string
	// Value is the value that SET assigns; empty for SHOW.
	Value string
	// Show is true for a SHOW statement.
	Show bool
}

// settingPrefix marks the session parameters that the proxy handles itself.
const settingPrefix = "amaranthsill."

// ParseSetting parses a SET or SHOW statement of one of the proxy's own
// parameters. It returns false for all other statements.
func ParseSetting(query string) (Setting, bool) {
	f := strings.Fields(strings.TrimRight(strings.TrimSpace(query), ";"))
	if len(f) < 2 {
		return Setting{}, false
	}
	rest := strings.Join(f[1:], " ")
	switch strings.ToUpper(f[0]) {
	case "SHOW":
		name, ok := strings.CutPrefix(strings.ToLower(rest), settingPrefix)
		return Setting{Name: name, Show: true}, ok
	case "SET":
		name, value, ok := cutAssignment(rest)
		name, own := strings.CutPrefix(strings.ToLower(name), settingPrefix)
		return Setting{Name: name, Value: strings.Trim(value, "'")}, ok && own
	default:
		return Setting{}, false
	}
}

func cutAssignment(s string) (name, value string, ok bool) {
	name, value, ok = strings.Cut(s, "=")
	if !ok {
		name, value, ok = strings.Cut(s, " TO ")
	}
	if !ok {
		name, value, ok = strings.Cut(s, " to ")
	}
	return strings.TrimSpace(name), strings.TrimSpace(value), ok
}

// CheckSupported rejects statements whose effect would persist on a pooled
// connection and leak into another caller's session, and COPY, which needs the
// connection for itself. Its error wraps ErrUnsupported.
func CheckSupported(query string) error {
	word := strings.ToUpper(firstKeyword(query))
	switch word {
	case "SET", "RESET", "PREPARE", "DEALLOCATE", "LISTEN", "UNLISTEN", "DISCARD", "LOAD", "COPY":
		return fmt.Errorf("%s keeps state on the connection or needs it for itself: %w", word, ErrUnsupported)
	default:
		return nil
	}
}

// EndsTransaction reports whether a query starts with COMMIT, END, ROLLBACK or
// ABORT. It looks at the first keyword only, so it also returns true for
// ROLLBACK TO SAVEPOINT, which ends no transaction.
func EndsTransaction(query string) bool {
	switch strings.ToUpper(firstKeyword(query)) {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	default:
		return false
	}
}

func firstKeyword(query string) string {
	s := strings.TrimSpace(query)
	for strings.HasPrefix(s, "/*") {
		_, rest, ok := strings.Cut(s, "*/")
		if !ok {
			return ""
		}
		s = strings.TrimSpace(rest)
	}
	end := strings.IndexFunc(s, func(r rune) bool { return !unicode.IsLetter(r) })
	if end < 0 {
		return s
	}
	return s[:end]
}
