// Package explain merges the structured logs of many VMs into a timeline of
// one request: the lines that carry its ID, and the lines about its group that
// were written shortly before, such as a failover.
//
// # Usage
//
//	timeline, err := explain.Read(request, source1, source2)
//	err = timeline.Print(os.Stdout)
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

	"amaranthsill/logline"
)

// lookback is the time before a request's first line in which other lines are
// included. It covers a statement and the failover that may have affected it.
const lookback = 5 * time.Second

// maxLineBytes is the longest log line that is read. A longer one fails the
// read of its log.
const maxLineBytes = 1 << 20

// ErrUnknown reports a request ID that is in no log line.
var ErrUnknown = errors.New("no log line names the request")

// Line is one structured log line.
type Line struct {
	// Source names the log that the line was read from.
	Source string
	at     time.Time
	text   string
	fields map[string]any
}

// At returns the time at which the line was written, by its VM's clock.
func (l Line) At() time.Time { return l.at }

// Message returns the line's message, or an empty string if it has none.
func (l Line) Message() string {
	m, _ := l.fields["msg"].(string)
	return m
}

// Timeline holds the log lines of one request and of its groups, sorted by
// time.
type Timeline struct {
	request string
	lines   []Line
}

// Lines returns the timeline's lines, oldest first.
func (t *Timeline) Lines() []Line { return t.lines }

// Source is the log of one VM.
type Source struct {
	// Name identifies the log in the timeline, such as the name of its file.
	Name string
	// Reader yields the log's lines.
	Reader io.Reader
}

// Read returns the timeline of the request with the given ID. Its error wraps
// ErrUnknown if no line carries the ID: requests that are served without a
// fault are not logged, and the line may have been dropped by rate limiting.
func Read(request string, sources ...Source) (*Timeline, error) {
	all := []Line{}
	for _, s := range sources {
		lines, err := readLog(s)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.at.Compare(b.at) })
	return buildTimeline(request, all)
}

// readLog returns the structured lines of a log and skips all others.
func readLog(s Source) ([]Line, error) {
	lines := []Line{}
	r := bufio.NewScanner(s.Reader)
	r.Buffer(nil, maxLineBytes)
	for r.Scan() {
		if l, ok := parseLine(s.Name, r.Text()); ok {
			lines = append(lines, l)
		}
	}
	if err := r.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", s.Name, err)
	}
	return lines, nil
}

// parseLine decodes the JSON object in a line and ignores any text before it,
// such as the prefix that a log collector adds. It returns false if the line
// has no JSON object or no RFC 3339 time.
func parseLine(source, text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{Source: source, text: text[i:]}
	if json.Unmarshal([]byte(l.text), &l.fields) != nil {
		return Line{}, false
	}
	timestamp, _ := l.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, false
	}
	l.at = at
	return l, true
}

// buildTimeline selects the lines that carry the request's ID. It adds lines
// without an ID that are about the same groups or about no group, from lookback
// before the request's first line up to its last one.
func buildTimeline(request string, all []Line) (*Timeline, error) {
	matching := []Line{}
	groups := map[any]bool{nil: true}
	for _, l := range all {
		if l.fields["request"] == request {
			matching = append(matching, l)
			groups[l.fields["group"]] = true
		}
	}
	if len(matching) == 0 {
		return nil, fmt.Errorf("request %q: %w", request, ErrUnknown)
	}
	from, to := matching[0].at.Add(-lookback), matching[len(matching)-1].at
	t := &Timeline{request: request}
	for _, l := range all {
		matches := l.fields["request"] == request
		related := l.fields["request"] == nil && groups[l.fields["group"]]
		if matches || related && !l.at.Before(from) && !l.at.After(to) {
			t.lines = append(t.lines, l)
		}
	}
	return t, nil
}

// Print writes the timeline to w. Lines that carry the request's ID are marked
// with ">".
func (t *Timeline) Print(w io.Writer) error {
	for _, l := range t.lines {
		mark := " "
		if l.fields["request"] == t.request {
			mark = ">"
		}
		_, err := fmt.Fprintf(w, "%s %s %s %s%s\n", mark, l.at.Format("15:04:05.000"), logline.Printable(l.Source), logline.Printable(l.Message()), l.formatFields())
		if err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

// formatFields returns the line's fields as " key=value" pairs sorted by key,
// without the time, the level and the message.
func (l Line) formatFields() string {
	names := []string{}
	for n := range l.fields {
		if n != "time" && n != "level" && n != "msg" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	text := ""
	for _, n := range names {
		text += logline.Printable(fmt.Sprintf(" %s=%v", n, l.fields[n]))
	}
	return text
}
