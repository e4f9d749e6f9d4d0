// Package strict reads JSON with comments into typed values. Unknown and repeated fields
// and values out of range are errors, which state the file, the line, the field and what
// to write instead.
//
// # Usage
//
//	doc, err := strict.Parse("vm.json", text)
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

// ErrInput reports a document that is not valid JSON with comments or violates the rules
// of its format. Every Error wraps it.
var ErrInput = errors.New("invalid input")

// Error is one error in a document.
type Error struct {
	// File is the name that was given to Parse.
	File string
	// Line is the number of the line, from 1.
	Line int
	// Field is the path of the value, such as "groups[0].name", or "document" for the
	// whole document.
	Field string
	// Remedy says what is wrong or what to write instead.
	Remedy string
}

// Error returns "file:line: field: remedy".
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Remedy)
}

// Unwrap returns ErrInput.
func (e *Error) Unwrap() error { return ErrInput }

// Document is a parsed document with its text and the name of its file.
type Document struct {
	file string
	text []byte
	root hujson.Value
}

// Parse parses a text of JSON with comments; file is only used in errors, and no file is
// read. The error is an *Error with the line of the syntax error.
func Parse(file string, text []byte) (*Document, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, syntaxError(file, err)
	}
	return &Document{file: file, text: text, root: root}, nil
}

// syntaxError converts an error of hujson.Parse, whose text starts with
// "hujson: line N, ", to an *Error. Without a line number it names line 1.
func syntaxError(file string, err error) error {
	line := 1
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if rest, ok := strings.CutPrefix(message, "line "); ok {
		number, _, _ := strings.Cut(rest, ",")
		if n, convErr := strconv.Atoi(number); convErr == nil {
			line = n
		}
	}
	return &Error{File: file, Line: line, Field: "document", Remedy: "write JSON with comments: " + message}
}

// Root returns the outermost value of the document.
func (d *Document) Root() Field { return Field{document: d, path: "document", value: &d.root} }

// Field is a value of a document, with its path.
type Field struct {
	document *Document
	path     string
	value    *hujson.Value
}

// Fail returns an *Error at the field's line. The remedy and its arguments are formatted
// as by fmt.Sprintf.
func (f Field) Fail(remedy string, args ...any) error {
	start := min(max(f.value.StartOffset, 0), len(f.document.text))
	line := 1 + bytes.Count(f.document.text[:start], []byte("\n"))
	return &Error{File: f.document.file, Line: line, Field: f.path, Remedy: fmt.Sprintf(remedy, args...)}
}

// Fields maps the name of each allowed field of an object to the function that reads it.
type Fields map[string]func(Field) error

// Object reads an object by calling the function of each field that is present, in the
// order of the document. A value that is no object, an unknown or repeated field, and
// the first error of a function are errors.
func (f Field) Object(fields Fields) error {
	o, ok := f.value.Value.(*hujson.Object)
	if !ok {
		return f.Fail("write an object in braces")
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := Field{document: f.document, path: f.childPath(name), value: &m.Value}
		read, known := fields[name]
		if !known {
			return Field{document: f.document, path: f.childPath(name), value: &m.Name}.Fail("unknown field; write one of %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
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

// childPath returns the path of a field of the object f. The name of the root is left out.
func (f Field) childPath(name string) string {
	if f.path == "document" {
		return name
	}
	return f.path + "." + name
}

// List reads an array by calling read for each element. A value that is no array and the
// first error of read are errors.
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

// Text reads a string and fails if it is empty.
func (f Field) Text(into *string) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' || l.String() == "" {
		return f.Fail("write a text in quotes that is not empty")
	}
	*into = l.String()
	return nil
}

// Name reads a name of 1 to 63 ASCII letters, digits, hyphens and underscores.
func (f Field) Name(into *string) error {
	if err := f.Text(into); err != nil {
		return err
	}
	const maxLength = 63
	notAllowed := func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}
	if len(*into) > maxLength || strings.ContainsFunc(*into, notAllowed) {
		return f.Fail("write a name of letters, digits, - and _, at most %d of them", maxLength)
	}
	return nil
}

// Names reads an object whose names and values are texts as those of Name, into a map.
func (f Field) Names(into map[string]string) error {
	o, ok := f.value.Value.(*hujson.Object)
	if !ok {
		return f.Fail("write an object in braces")
	}
	for i := range o.Members {
		m := &o.Members[i]
		name, value := "", ""
		if err := (Field{document: f.document, path: f.path, value: &m.Name}).Name(&name); err != nil {
			return err
		}
		child := Field{document: f.document, path: f.childPath(name), value: &m.Value}
		if _, seen := into[name]; seen {
			return child.Fail("field stands twice; keep one")
		}
		if err := child.Name(&value); err != nil {
			return err
		}
		into[name] = value
	}
	return nil
}

// Address reads an IP address and a port other than zero, such as "10.0.0.5:5432". Host
// names are errors.
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

// Bool reads a boolean.
func (f Field) Bool(into *bool) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
		return f.Fail("write true or false")
	}
	*into = l.Bool()
	return nil
}

// Int reads an integer from least to most, both included.
func (f Field) Int(into *int, least, most int) error {
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

// Number reads a number from least to most, both included.
func (f Field) Number(into *float64, least, most float64) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' || l.Float() < least || l.Float() > most {
		return f.Fail("write a number from %g to %g", least, most)
	}
	*into = l.Float()
	return nil
}

// Fraction reads a number between zero and one, both excluded.
func (f Field) Fraction(into *float64) error {
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' || l.Float() <= 0 || l.Float() >= 1 {
		return f.Fail("write a number above 0 and below 1, such as 0.999")
	}
	*into = l.Float()
	return nil
}

// Duration reads a duration from least to most, both included, in the format of
// time.ParseDuration, such as "250ms".
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
