package standin

import (
	"regexp"
	"strconv"
	"strings"

	"amaranthsill/internal/replica"
)

// kind says what a statement does.
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

// statement is a parsed statement of one of the forms that the target supports.
type statement struct {
	kind kind
	// name is the table, or the function of a control call.
	name string
	// key and value are texts, or "$n" for the parameter n until bind replaces it. The
	// key of kindSleep is the number of seconds.
	key   string
	value string
	// arguments are those of a control call.
	arguments []string
	// parameters is the highest number of a parameter.
	parameters int
}

const (
	literalPattern    = `(?:'((?:[^']|'')*)'|\$(\d+))`
	identifierPattern = `([a-z_][a-z0-9_]*)`
)

var (
	commentPattern   = regexp.MustCompile(`(?s)/\*.*?\*/`)
	parameterPattern = regexp.MustCompile(`\$\d+`)
	sleepPattern     = regexp.MustCompile(`(?i)^select pg_sleep\(([0-9.]+)\)$`)
	callPattern      = regexp.MustCompile(`(?i)^select ((?:group|fault)_[a-z]+)\((.*)\)$`)
	countPattern     = regexp.MustCompile(`(?i)^select count\(\*\) from ` + identifierPattern + `$`)
	listPattern      = regexp.MustCompile(`(?i)^select key from ` + identifierPattern + `$`)
)

// rowStatements are the statements on a single row. The groups of a pattern are the table,
// and two each, quoted text and number of a parameter, for the key and the value.
var rowStatements = []struct {
	kind    kind
	pattern *regexp.Regexp
	// hasValue reports whether the statement has a value, and valueFirst whether the
	// value precedes the key.
	hasValue   bool
	valueFirst bool
}{
	{kind: kindSelect, pattern: regexp.MustCompile(`(?i)^select value from ` + identifierPattern + ` where key = ` + literalPattern + `$`)},
	{kind: kindUpsert, pattern: regexp.MustCompile(`(?i)^insert into ` + identifierPattern + ` \(key, value\) values \(` + literalPattern + `, ` + literalPattern + `\) on conflict \(key\) do update set value = excluded\.value$`), hasValue: true},
	{kind: kindInsert, pattern: regexp.MustCompile(`(?i)^insert into ` + identifierPattern + ` \(key, value\) values \(` + literalPattern + `, ` + literalPattern + `\)$`), hasValue: true},
	{kind: kindAppend, pattern: regexp.MustCompile(`(?i)^update ` + identifierPattern + ` set value = value \|\| ` + literalPattern + ` where key = ` + literalPattern + `$`), hasValue: true, valueFirst: true},
	{kind: kindUpdate, pattern: regexp.MustCompile(`(?i)^update ` + identifierPattern + ` set value = ` + literalPattern + ` where key = ` + literalPattern + `$`), hasValue: true, valueFirst: true},
	{kind: kindDelete, pattern: regexp.MustCompile(`(?i)^delete from ` + identifierPattern + ` where key = ` + literalPattern + `$`)},
}

// parse parses a statement without its comments. The kind of a statement that is not
// supported is kindUnknown.
func parse(query string) statement {
	q := strings.TrimRight(strings.TrimSpace(commentPattern.ReplaceAllString(query, "")), "; \n")
	s := statement{}
	for _, p := range parameterPattern.FindAllString(q, -1) {
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
	if m := sleepPattern.FindStringSubmatch(q); m != nil {
		s.kind, s.key = kindSleep, m[1]
		return
	}
	if m := callPattern.FindStringSubmatch(q); m != nil {
		s.kind, s.name, s.arguments = kindControl, strings.ToLower(m[1]), splitArguments(m[2])
		return
	}
	if m := countPattern.FindStringSubmatch(q); m != nil {
		s.kind, s.name = kindCount, m[1]
		return
	}
	if m := listPattern.FindStringSubmatch(q); m != nil {
		s.kind, s.name = kindList, m[1]
		return
	}
	for _, f := range rowStatements {
		m := f.pattern.FindStringSubmatch(q)
		if m == nil {
			continue
		}
		s.kind, s.name, s.key = f.kind, m[1], unquote(m[2], m[3])
		if f.hasValue {
			s.value = unquote(m[4], m[5])
		}
		if f.valueFirst {
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

// unquote returns the text of a quoted literal, or "$n" for the parameter n, which bind
// replaces.
func unquote(quoted, number string) string {
	if number != "" {
		return "$" + number
	}
	return strings.ReplaceAll(quoted, "''", "'")
}

func (s statement) bind(params []string) statement {
	s.key = bindValue(s.key, params)
	s.value = bindValue(s.value, params)
	return s
}

// bindValue returns the value of the parameter that v stands for, or v itself.
func bindValue(text string, params []string) string {
	n, err := strconv.Atoi(strings.TrimPrefix(text, "$"))
	if !strings.HasPrefix(text, "$") || err != nil || n < 1 || n > len(params) {
		return text
	}
	return params[n-1]
}

func (s statement) returnsRows() bool {
	switch s.kind {
	case kindSelect, kindCount, kindList, kindSleep, kindControl:
		return true
	default:
		return false
	}
}

func (s statement) isWrite() bool { return s.kind >= kindInsert }

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
		return s.modify(tx, row), nil
	default:
		return result{}, errSyntax
	}
}

func (s statement) modify(tx *replica.Tx, row replica.Row) result {
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
