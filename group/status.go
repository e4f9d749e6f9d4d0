package group

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Role is what a target is to its group at its own term.
type Role uint8

// The roles of a target. A detached target neither takes writes nor follows
// a primary: it was fenced, restarted or deposed, and must not serve.
const (
	RoleDetached Role = iota
	RoleReplica
	RolePrimary
)

// String returns the role's word in the targets' control calls.
func (r Role) String() string {
	switch r {
	case RoleDetached:
		return "detached"
	case RoleReplica:
		return "replica"
	case RolePrimary:
		return "primary"
	default:
		panic(fmt.Sprintf("group: unknown role %d", uint8(r)))
	}
}

// ErrStatus reports a target's status that cannot be understood.
var ErrStatus = errors.New("malformed target status")

// Status is a target's own account of itself at one moment.
type Status struct {
	term    Term
	role    Role
	last    Position
	applied Position
	silence time.Duration
}

// NewStatus returns a status from its parts. Silence is the time since a
// replica last heard its primary.
func NewStatus(term Term, role Role, last, applied Position, silence time.Duration) Status {
	return Status{term: term, role: role, last: last, applied: applied, silence: silence}
}

// Term returns the highest term that the target has accepted.
func (s Status) Term() Term { return s.term }

// Role returns the target's role at its term.
func (s Status) Role() Role { return s.role }

// Last returns the position of the last entry in the target's log.
func (s Status) Last() Position { return s.last }

// Applied returns the position up to which reads on the target see entries.
func (s Status) Applied() Position { return s.applied }

// Silence returns how long ago a replica last heard its primary. It is zero
// on a primary.
func (s Status) Silence() time.Duration { return s.silence }

// Opened reports whether the target holds an entry of its own term. Before
// that, nothing it holds may be acknowledged.
func (s Status) Opened() bool { return s.last.term == s.term && s.term > 0 }

// String returns the form that ParseStatus reads.
func (s Status) String() string {
	return fmt.Sprintf("%d %s %s %s %d", s.term, s.role, s.last, s.applied, s.silence.Milliseconds())
}

// ParseStatus reads "term role last applied silence-in-ms". Its error wraps
// ErrStatus; a status that contradicts itself is an error too.
func ParseStatus(text string) (Status, error) {
	f := strings.Fields(text)
	if len(f) != 5 {
		return Status{}, fmt.Errorf("read %q, want five fields: %w", text, ErrStatus)
	}
	term, err := strconv.ParseUint(f[0], 10, 63)
	if err != nil {
		return Status{}, fmt.Errorf("read term of %q: %w", text, ErrStatus)
	}
	role, err := parseRole(f[1])
	if err != nil {
		return Status{}, err
	}
	last, err := ParsePosition(f[2])
	if err != nil {
		return Status{}, fmt.Errorf("read last position: %w", errors.Join(ErrStatus, err))
	}
	applied, err := ParsePosition(f[3])
	if err != nil {
		return Status{}, fmt.Errorf("read applied position: %w", errors.Join(ErrStatus, err))
	}
	ms, err := strconv.ParseUint(f[4], 10, 40)
	if err != nil {
		return Status{}, fmt.Errorf("read silence of %q: %w", text, ErrStatus)
	}
	s := NewStatus(Term(term), role, last, applied, time.Duration(ms)*time.Millisecond)
	if !s.coherent() {
		return Status{}, fmt.Errorf("%q contradicts itself: %w", text, ErrStatus)
	}
	return s, nil
}

func (s Status) coherent() bool {
	return s.last.Reaches(s.applied) && s.term >= s.last.term
}

func parseRole(word string) (Role, error) {
	for _, r := range []Role{RoleDetached, RoleReplica, RolePrimary} {
		if r.String() == word {
			return r, nil
		}
	}
	return RoleDetached, fmt.Errorf("unknown role %q: %w", word, ErrStatus)
}
