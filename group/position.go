package group

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Term numbers the leaderships of a group. Each promotion uses a higher term,
// and a target that has accepted a term rejects lower ones.
type Term uint64

// ErrPosition is wrapped by the errors of ParsePosition.
var ErrPosition = errors.New("malformed log position")

// Position identifies an entry of a group's log by the term that wrote it and
// by its offset. The zero Position is before the first entry.
type Position struct {
	term   Term
	offset uint64
}

// At returns the position of the entry that term wrote at offset.
func At(term Term, offset uint64) Position {
	return Position{term: term, offset: offset}
}

// Term returns the term that wrote the entry.
func (p Position) Term() Term { return p.term }

// Offset returns the number of log entries up to and including this one.
func (p Position) Offset() uint64 { return p.offset }

// IsZero reports whether the position is before the first entry.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term, then by offset.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.term, q.term); c != 0 {
		return c
	}
	return cmp.Compare(p.offset, q.offset)
}

// Reaches reports whether p is at or above q.
func (p Position) Reaches(q Position) bool { return p.Compare(q) >= 0 }

// String returns the position as "term.offset", such as "3.17".
func (p Position) String() string {
	return fmt.Sprintf("%d.%d", p.term, p.offset)
}

// ParsePosition parses the form that Position.String returns. Its errors wrap
// ErrPosition. Their texts reach callers that send a malformed session token.
func ParsePosition(s string) (Position, error) {
	term, offset, ok := strings.Cut(s, ".")
	if !ok {
		return Position{}, fmt.Errorf("read %.60q, want term.offset: %w", s, ErrPosition)
	}
	t, err := strconv.ParseUint(term, 10, 63)
	if err != nil {
		return Position{}, fmt.Errorf("read term of %.60q: %w", s, ErrPosition)
	}
	o, err := strconv.ParseUint(offset, 10, 63)
	if err != nil {
		return Position{}, fmt.Errorf("read offset of %.60q: %w", s, ErrPosition)
	}
	return At(Term(t), o), nil
}

// Max returns the higher of two positions.
func Max(p, q Position) Position {
	if p.Reaches(q) {
		return p
	}
	return q
}
