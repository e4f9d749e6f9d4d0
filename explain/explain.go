// Package explain tells the story of one request from the logs of many VMs:
// the lines that name it, and what those VMs came to believe shortly before.
//
// # Usage
//
//	story, err := explain.Read(request, file1, file2)
//	err = story.Print(os.Stdout)
package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// before is how long before a request's first line other lines may have
// decided it: a statement's time, and that of a move of the leadership.
const before = 5 * time.Second

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// ErrUnknown reports a request that no line names.
var ErrUnknown = errors.New("no log line names the request")

// Line is one structured log line.
type Line struct {
	// Source names the log that the line was read from.
	Source string
	at     time.Time
	text   string
	fields map[string]any
}

// At returns when the line was written, on its VM's clock.
func (l Line) At() time.Time { return l.at }

// Message returns what happened.
func (l Line) Message() string {
	m, _ := l.fields["msg"].(string)
	return m
}

// Story is what the logs say of a request, in the order of time.
type Story struct {
	request string
	lines   []Line
}

// Lines returns the story's lines.
func (s *Story) Lines() []Line { return s.lines }

// Source is one VM's log.
type Source struct {
	Name   string
	Reader io.Reader
}

// Read finds a request's story. Its error wraps ErrUnknown if nobody wrote of
// the request: it was served in the ordinary way, or its line was left out.
func Read(request string, sources ...Source) (*Story, error) {
	all := []Line{}
	for _, s := range sources {
		lines, err := scan(s)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.at.Compare(b.at) })
	return tell(request, all)
}

func scan(s Source) ([]Line, error) {
	lines := []Line{}
	r := bufio.NewScanner(s.Reader)
	r.Buffer(nil, maxLine)
	for r.Scan() {
		if l, ok := parse(s.Name, r.Text()); ok {
			lines = append(lines, l)
		}
	}
	if err := r.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", s.Name, err)
	}
	return lines, nil
}

// parse reads the JSON object in a line; what stands before it is passed over.
func parse(source, text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{Source: source, text: text[i:]}
	if json.Unmarshal([]byte(l.text), &l.fields) != nil {
		return Line{}, false
	}
	word, _ := l.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, word)
	if err != nil {
		return Line{}, false
	}
	l.at = at
	return l, true
}

// tell picks the lines that name the request, and those of the same group or
// of no group from shortly before the first to the last of them.
func tell(request string, all []Line) (*Story, error) {
	own := []Line{}
	groups := map[any]bool{nil: true}
	for _, l := range all {
		if l.fields["request"] == request {
			own = append(own, l)
			groups[l.fields["group"]] = true
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("request %q: %w", request, ErrUnknown)
	}
	from, to := own[0].at.Add(-before), own[len(own)-1].at
	s := &Story{request: request}
	for _, l := range all {
		named := l.fields["request"] == request
		belief := l.fields["request"] == nil && groups[l.fields["group"]]
		if named || belief && !l.at.Before(from) && !l.at.After(to) {
			s.lines = append(s.lines, l)
		}
	}
	return s, nil
}

// Print writes the story, one line each; the request's own are marked.
func (s *Story) Print(w io.Writer) error {
	for _, l := range s.lines {
		mark := " "
		if l.fields["request"] == s.request {
			mark = ">"
		}
		_, err := fmt.Fprintf(w, "%s %s %s %s%s\n", mark, l.at.Format("15:04:05.000"), l.Source, l.Message(), l.details())
		if err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}

// details returns the line's other fields in the order of their names.
func (l Line) details() string {
	names := []string{}
	for n := range l.fields {
		if n != "time" && n != "level" && n != "msg" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	text := ""
	for _, n := range names {
		text += fmt.Sprintf(" %s=%v", n, l.fields[n])
	}
	return text
}
