// Package strict reads JSON with comments into typed values and says, for
// each fault, the file, the line, the field and what to write instead.
//
// # Usage
//
//	doc, err := strict.Open("vm.json", text)
//	err = doc.Object(doc.Root(), strict.Fields{
//		"zone": func(f strict.Field) error { return f.Text(&settings.zone) },
//	})
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// ErrInput reports a document that breaks its format's rules.
var ErrInput = errors.New("invalid input")

// Error is one fault of a document, with the place and the remedy.
type Error struct {
	File   string
	Line   int
	Field  string
	Remedy string
}

// Error returns "file:line: field: remedy".
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Remedy)
}

// Unwrap returns ErrInput.
func (e *Error) Unwrap() error { return ErrInput }

// Document is a parsed text and its name.
type Document struct {
	file string
	text []byte
	root hujson.Value
}

// Open parses JSON with comments. Its error wraps ErrInput.
func Open(file string, text []byte) (*Document, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, syntaxError(file, err)
	}
	return &Document{file: file, text: text, root: root}, nil
}

func syntaxError(file string, err error) error {
	line := 1
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if rest, ok := strings.CutPrefix(message, "line "); ok {
		number, _, _ := strings.Cut(rest, ",")
		if n, bad := strconv.Atoi(number); bad == nil {
			line = n
		}
	}
	return &Error{File: file, Line: line, Field: "document", Remedy: "write JSON with comments: " + message}
}

// Root returns the document's outermost value.
func (d *Document) Root() Field { return Field{document: d, path: "document", value: &d.root} }

// Field is one value of a document and the path to it.
type Field struct {
	document *Document
	path     string
	value    *hujson.Value
}

// Fail returns an Error at the field's line.
func (f Field) Fail(remedy string, args ...any) error {
	start := min(max(f.value.StartOffset, 0), len(f.document.text))
	line := 1 + bytes.Count(f.document.text[:start], []byte("\n"))
	return &Error{File: f.document.file, Line: line, Field: f.path, Remedy: fmt.Sprintf(remedy, args...)}
}

// Fields maps the names that an object may have to their readers.
type Fields map[string]func(Field) error

// Object reads an object; an unknown or repeated name is an error.
func (f Field) Object(fields Fields) error {
	o, ok := f.value.Value.(*hujson.Object)
	if !ok {
		return f.Fail("write an object in braces")
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := Field{document: f.document, path: f.join(name), value: &m.Value}
		read, known := fields[name]
		if !known {
			return Field{document: f.document, path: f.join(name), value: &m.Name}.Fail("unknown field; write one of %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
		}
		if seen[name] {
			return child.Fail("field stands twice; keep one")
		}
		seen[name] = true
		if err := read(child); err != nil {
			return err
		}
	}
	return nil
}

func (f Field) join(name string) string {
	if f.path == "document" {
		return name
	}
	return f.path + "." + name
}

// List reads an array by calling read for each element.
func (f Field) List(read func(Field) error) error {
	a, ok := f.value.Value.(*hujson.Array)
	if !ok {
		return f.Fail("write a list in square brackets")
	}
	for i := range a.Elements {
		child := Field{document: f.document, path: fmt.Sprintf("%s[%d]", f.path, i), value: &a.Elements[i]}
		if err := read(child); err != nil {
			return err
		}
	}
	return nil
}

// Text reads a string that is not empty.
func (f Field) Text(into *string) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' || l.String() == "" {
		return f.Fail("write a text in quotes that is not empty")
	}
	*into = l.String()
	return nil
}

// Word reads a short name: letters, digits, hyphen and underscore, at most
// 63 of them.
func (f Field) Word(into *string) error {
	if err := f.Text(into); err != nil {
		return err
	}
	const longest = 63
	bad := func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}
	if len(*into) > longest || strings.ContainsFunc(*into, bad) {
		return f.Fail("write a name of letters, digits, - and _, at most %d of them", longest)
	}
	return nil
}

// Address reads an IP number and a port.
func (f Field) Address(into *netip.AddrPort) error {
	text := ""
	if err := f.Text(&text); err != nil {
		return err
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return f.Fail("%q is no address; write an IP number and a port, such as \"10.0.0.5:5432\"", text)
	}
	*into = a
	return nil
}

// Flag reads true or false.
func (f Field) Flag(into *bool) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
		return f.Fail("write true or false")
	}
	*into = l.Bool()
	return nil
}

// Count reads a whole number between least and most.
func (f Field) Count(into *int, least, most int) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		return f.Fail("write a whole number from %d to %d", least, most)
	}
	n, err := strconv.Atoi(string(l))
	if err != nil || n < least || n > most {
		return f.Fail("write a whole number from %d to %d", least, most)
	}
	*into = n
	return nil
}

// Share reads a number above zero and below one.
func (f Field) Share(into *float64) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' || l.Float() <= 0 || l.Float() >= 1 {
		return f.Fail("write a number above 0 and below 1, such as 0.999")
	}
	*into = l.Float()
	return nil
}

// Duration reads a text such as "250ms" between least and most.
func (f Field) Duration(into *time.Duration, least, most time.Duration) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return f.Fail("write a duration in quotes from %q to %q", least, most)
	}
	d, err := time.ParseDuration(l.String())
	if err != nil || d < least || d > most {
		return f.Fail("write a duration in quotes from %q to %q", least, most)
	}
	*into = d
	return nil
}
