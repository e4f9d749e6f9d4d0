package standin

import (
	"regexp"
	"strconv"
	"strings"

	"amaranthsill/internal/replica"
)

// kind is what a statement does.
type kind uint8

const (
	kindUnknown kind = iota
	kindBegin
	kindCommit
	kindRollback
	kindSleep
	kindControl
	kindSelect
	kindCount
	kindList
	kindInsert
	kindUpsert
	kindUpdate
	kindAppend
	kindDelete
)

// statement is one of the few statements that the stand-in knows.
type statement struct {
	kind       kind
	name       string
	key        string
	value      string
	arguments  []string
	parameters int
}

const (
	text = `(?:'((?:[^']|'')*)'|\$(\d+))`
	name = `([a-z_][a-z0-9_]*)`
)

var (
	comment   = regexp.MustCompile(`(?s)/\*.*?\*/`)
	parameter = regexp.MustCompile(`\$\d+`)
	sleepForm = regexp.MustCompile(`(?i)^select pg_sleep\(([0-9.]+)\)$`)
	callForm  = regexp.MustCompile(`(?i)^select ((?:group|fault)_[a-z]+)\((.*)\)$`)
	countForm = regexp.MustCompile(`(?i)^select count\(\*\) from ` + name + `$`)
	listForm  = regexp.MustCompile(`(?i)^select key from ` + name + `$`)
)

// forms are the statements on one row: table, key and value are groups.
var forms = []struct {
	kind  kind
	form  *regexp.Regexp
	value bool
	first bool
}{
	{kind: kindSelect, form: regexp.MustCompile(`(?i)^select value from ` + name + ` where key = ` + text + `$`)},
	{kind: kindUpsert, form: regexp.MustCompile(`(?i)^insert into ` + name + ` \(key, value\) values \(` + text + `, ` + text + `\) on conflict \(key\) do update set value = excluded\.value$`), value: true},
	{kind: kindInsert, form: regexp.MustCompile(`(?i)^insert into ` + name + ` \(key, value\) values \(` + text + `, ` + text + `\)$`), value: true},
	{kind: kindAppend, form: regexp.MustCompile(`(?i)^update ` + name + ` set value = value \|\| ` + text + ` where key = ` + text + `$`), value: true, first: true},
	{kind: kindUpdate, form: regexp.MustCompile(`(?i)^update ` + name + ` set value = ` + text + ` where key = ` + text + `$`), value: true, first: true},
	{kind: kindDelete, form: regexp.MustCompile(`(?i)^delete from ` + name + ` where key = ` + text + `$`)},
}

func parse(query string) statement {
	q := strings.TrimRight(strings.TrimSpace(comment.ReplaceAllString(query, "")), "; \n")
	s := statement{}
	for _, p := range parameter.FindAllString(q, -1) {
		n, _ := strconv.Atoi(p[1:])
		s.parameters = max(s.parameters, n)
	}
	s.parse(q)
	return s
}

func (s *statement) parse(q string) {
	switch strings.ToLower(q) {
	case "begin", "start transaction":
		s.kind = kindBegin
		return
	case "commit", "end":
		s.kind = kindCommit
		return
	case "rollback", "abort":
		s.kind = kindRollback
		return
	}
	if m := sleepForm.FindStringSubmatch(q); m != nil {
		s.kind, s.key = kindSleep, m[1]
		return
	}
	if m := callForm.FindStringSubmatch(q); m != nil {
		s.kind, s.name, s.arguments = kindControl, strings.ToLower(m[1]), splitArguments(m[2])
		return
	}
	if m := countForm.FindStringSubmatch(q); m != nil {
		s.kind, s.name = kindCount, m[1]
		return
	}
	if m := listForm.FindStringSubmatch(q); m != nil {
		s.kind, s.name = kindList, m[1]
		return
	}
	for _, f := range forms {
		m := f.form.FindStringSubmatch(q)
		if m == nil {
			continue
		}
		s.kind, s.name, s.key = f.kind, m[1], literal(m[2], m[3])
		if f.value {
			s.value = literal(m[4], m[5])
		}
		if f.first {
			s.key, s.value = s.value, s.key
		}
		return
	}
}

func splitArguments(s string) []string {
	out := []string{}
	for part := range strings.SplitSeq(s, ",") {
		out = append(out, strings.Trim(strings.TrimSpace(part), "'"))
	}
	return out
}

// literal returns a quoted text, or "$n" for a parameter, which bind
// replaces.
func literal(quoted, number string) string {
	if number != "" {
		return "$" + number
	}
	return strings.ReplaceAll(quoted, "''", "'")
}

func (s statement) bind(params []string) statement {
	s.key = bound(s.key, params)
	s.value = bound(s.value, params)
	return s
}

func bound(v string, params []string) string {
	n, err := strconv.Atoi(strings.TrimPrefix(v, "$"))
	if !strings.HasPrefix(v, "$") || err != nil || n < 1 || n > len(params) {
		return v
	}
	return params[n-1]
}

func (s statement) rows() bool {
	switch s.kind {
	case kindSelect, kindCount, kindList, kindSleep, kindControl:
		return true
	default:
		return false
	}
}

func (s statement) writes() bool { return s.kind >= kindInsert }

func (s statement) apply(tx *replica.Tx) (result, error) {
	row := replica.Row{Table: s.name, Key: s.key}
	switch s.kind {
	case kindSelect:
		v, ok := tx.Get(row)
		if !ok {
			return result{tag: "SELECT 0"}, nil
		}
		return result{rows: []string{v}, tag: "SELECT 1"}, nil
	case kindCount:
		return result{rows: []string{strconv.Itoa(len(tx.List(s.name)))}, tag: "SELECT 1"}, nil
	case kindList:
		keys := tx.List(s.name)
		return result{rows: keys, tag: "SELECT " + strconv.Itoa(len(keys))}, nil
	case kindInsert:
		if err := tx.Insert(row, s.value); err != nil {
			return result{}, err
		}
		return result{tag: "INSERT 0 1"}, nil
	case kindUpsert:
		tx.Put(row, s.value)
		return result{tag: "INSERT 0 1"}, nil
	case kindUpdate, kindAppend, kindDelete:
		return s.change(tx, row), nil
	default:
		return result{}, errSyntax
	}
}

func (s statement) change(tx *replica.Tx, row replica.Row) result {
	old, ok := tx.Get(row)
	verb := "UPDATE "
	if s.kind == kindDelete {
		verb = "DELETE "
	}
	if !ok {
		return result{tag: verb + "0"}
	}
	switch s.kind {
	case kindDelete:
		tx.Delete(row)
	case kindAppend:
		tx.Put(row, old+s.value)
	default:
		tx.Put(row, s.value)
	}
	return result{tag: verb + "1"}
}
