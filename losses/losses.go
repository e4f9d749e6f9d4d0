// Package losses reports what the VMs of a fleet did not do for their callers, from
// their logs: which statements were refused or are in doubt, in which second, on which
// route and group, for which reason, and which waited longest.
//
// Logs are read as streams; memory grows with the number of different rows, not with the
// length of the logs. A line that is no structured log line is counted and left out.
// VMs limit the volume of their logs: the lines that they left out are counted as well,
// but nothing else is known of them.
//
// # Usage
//
//	report, err := losses.Read(losses.Source{Name: "vm-0.log", Reader: file})
//	err = report.Print(os.Stdout)
package losses

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the longest log line that is read. The rest of a longer one is left
// out, and the line counts as malformed.
const maxLineBytes = 1 << 20

// maxStories is how many statements a report lists as those that waited longest.
const maxStories = 10

// Outcome is how a statement ended that was not answered.
type Outcome string

// The outcomes that VMs log.
const (
	// Refused is for statements that did not run.
	Refused Outcome = "refused"
	// InDoubt is for writes and commits of which a VM cannot tell.
	InDoubt Outcome = "in doubt"
)

// outcomes maps the messages of log lines to outcomes.
var outcomes = map[string]Outcome{
	"statement refused as not run": Refused,
	"outcome in doubt":             InDoubt,
}

// Key identifies a row of a report.
type Key struct {
	// Second is the time to which the row belongs, in whole seconds of the VMs' clocks.
	Second time.Time `json:"second"`
	Route  string    `json:"route"`
	Group  string    `json:"group"`
	// Outcome says how the statements ended, and Reason why.
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

// Row counts the statements that ended in the same way.
type Row struct {
	Key
	// Count is the number of statements, and Waited the time in which they were held,
	// all together.
	Count  int           `json:"count"`
	Waited time.Duration `json:"waited"`
}

// Story is one statement, for package explain.
type Story struct {
	Request string        `json:"request"`
	VM      string        `json:"vm"`
	Waited  time.Duration `json:"waited"`
	Reason  string        `json:"reason"`
}

// Report is what the logs tell. The zero Report is empty.
type Report struct {
	rows    map[Key]*Row
	stories []Story
	// malformed counts the lines of each source that could not be read, and leftOut
	// those that VMs did not write.
	malformed map[string]int
	leftOut   int
}

// Source is the log of one VM.
type Source struct {
	// Name identifies the log, such as the name of its file.
	Name string
	// Reader yields the log's lines.
	Reader io.Reader
}

// Read returns the report of logs. Its error is that of a source that cannot be read.
func Read(sources ...Source) (*Report, error) {
	r := &Report{rows: map[Key]*Row{}, malformed: map[string]int{}}
	for _, s := range sources {
		if err := r.readLog(s); err != nil {
			return nil, fmt.Errorf("read log %s: %w", s.Name, err)
		}
	}
	return r, nil
}

func (r *Report) readLog(s Source) error {
	lines := bufio.NewReaderSize(s.Reader, 1<<16)
	for {
		text, whole, err := readLine(lines)
		if len(text) > 0 || !whole {
			r.add(s.Name, text, whole)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLine returns the next line, without its end, up to maxLineBytes. It reports
// whether that is the whole line.
func readLine(lines *bufio.Reader) (text []byte, whole bool, err error) {
	whole = true
	for {
		part, err := lines.ReadSlice('\n')
		if len(text)+len(part) <= maxLineBytes {
			text = append(text, part...)
		} else {
			whole = false
		}
		if err != bufio.ErrBufferFull {
			return []byte(strings.TrimRight(string(text), "\r\n")), whole, err
		}
	}
}

// logLine holds the fields of a log line that matter here.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Route   string    `json:"route"`
	Group   string    `json:"group"`
	Reason  string    `json:"reason"`
	Waited  string    `json:"waited"`
	LeftOut int       `json:"leftout"`
}

// add takes in one line of a log. Text before the line's JSON object, as a log collector
// adds it, is ignored.
func (r *Report) add(source string, text []byte, whole bool) {
	start := slices.Index(text, '{')
	l := logLine{}
	if !whole || start < 0 || json.Unmarshal(text[start:], &l) != nil || l.Time.IsZero() {
		r.malformed[source]++
		return
	}
	r.leftOut += l.LeftOut
	outcome, lost := outcomes[l.Message]
	if !lost {
		return
	}
	waited, err := time.ParseDuration(cmp.Or(l.Waited, "0s"))
	if err != nil {
		r.malformed[source]++
		return
	}
	reason := generalReason(l.Reason)
	k := Key{Second: l.Time.UTC().Truncate(time.Second), Route: l.Route, Group: l.Group, Outcome: outcome, Reason: reason}
	n := r.rows[k]
	if n == nil {
		n = &Row{Key: k}
		r.rows[k] = n
	}
	n.Count++
	n.Waited += waited
	r.addStory(Story{Request: l.Request, VM: source, Waited: waited, Reason: reason})
}

// addStory keeps a story if it is one of the longest.
func (r *Report) addStory(s Story) {
	if len(r.stories) == maxStories && s.Waited <= r.stories[maxStories-1].Waited {
		return
	}
	r.stories = append(r.stories, s)
	slices.SortStableFunc(r.stories, func(a, b Story) int { return cmp.Compare(b.Waited, a.Waited) })
	r.stories = r.stories[:min(len(r.stories), maxStories)]
}

// specifics match what differs between statements that ended for the same reason: the
// names of groups and targets, and addresses. Each is replaced by the text beside it.
var specifics = []struct {
	pattern *regexp.Regexp
	general string
}{
	{regexp.MustCompile(`group [^ :]+: `), ""},
	{regexp.MustCompile(`(on target|await) [^ :]+:`), "$1:"},
	{regexp.MustCompile(`[0-9]+(\.[0-9]+){3}:[0-9]+(->[0-9]+(\.[0-9]+){3}:[0-9]+)?`), "address"},
}

// generalReason returns a reason without specifics.
func generalReason(reason string) string {
	for _, s := range specifics {
		reason = s.pattern.ReplaceAllString(reason, s.general)
	}
	return reason
}

// Rows returns the rows sorted by time, route, group, outcome and reason.
func (r *Report) Rows() []Row {
	list := make([]Row, 0, len(r.rows))
	for _, n := range r.rows {
		list = append(list, *n)
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(a.Second.Compare(b.Second), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// Totals returns the rows without their times and routes, the largest first.
func (r *Report) Totals() []Row {
	sums := map[Key]*Row{}
	for k, n := range r.rows {
		k.Second, k.Route = time.Time{}, ""
		if sums[k] == nil {
			sums[k] = &Row{Key: k}
		}
		sums[k].Count += n.Count
		sums[k].Waited += n.Waited
	}
	list := make([]Row, 0, len(sums))
	for _, n := range sums {
		list = append(list, *n)
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// Stories returns the statements that waited longest, the longest first.
func (r *Report) Stories() []Story { return slices.Clone(r.stories) }

// Malformed returns how many lines of each source could not be read.
func (r *Report) Malformed() map[string]int { return r.malformed }

// LeftOut returns how many lines the VMs did not write to bound their logs.
func (r *Report) LeftOut() int { return r.leftOut }
