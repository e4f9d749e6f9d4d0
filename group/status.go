package group

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Role is the role of a target in its group at the target's own term.
type Role uint8

// Roles of a target. A detached target neither accepts writes nor follows a
// primary, and must not serve requests: it was fenced, restarted or deposed.
const (
	RoleDetached Role = iota
	RoleReplica
	RolePrimary
)

// String returns the name of the role in the targets' control calls.
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

// ErrStatus is wrapped by the errors of ParseStatus.
var ErrStatus = errors.New("malformed target status")

// Status is what a target reports about itself at one moment.
type Status struct {
	term    Term
	role    Role
	last    Position
	applied Position
	silence time.Duration
}

// NewStatus returns a Status. The parameter last is the position of the last
// entry in the target's log, applied the position up to which reads see
// entries, and silence the time since a replica last heard from its primary.
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

// Silence returns the time since a replica last heard from its primary. It is
// zero on a primary.
func (s Status) Silence() time.Duration { return s.silence }

// HasTermEntry reports whether the last entry of the target's log is of the
// target's own term. Until then, no entry that it holds may be acknowledged.
func (s Status) HasTermEntry() bool { return s.last.term == s.term && s.term > 0 }

// String returns the form that ParseStatus parses.
func (s Status) String() string {
	return fmt.Sprintf("%d %s %s %s %d", s.term, s.role, s.last, s.applied, s.silence.Milliseconds())
}

// ParseStatus parses "term role last applied silence", with silence in
// milliseconds. Its errors wrap ErrStatus. A status is also malformed if its
// applied position is above its last one, or its last position is of a higher
// term than its own.
func ParseStatus(text string) (Status, error) {
	f := strings.Fields(text)
	if len(f) != 5 {
		return Status{}, fmt.Errorf("parse status %q, want five fields: %w", text, ErrStatus)
	}
	term, err := strconv.ParseUint(f[0], 10, 63)
	if err != nil {
		return Status{}, fmt.Errorf("parse term of status %q: %w", text, ErrStatus)
	}
	role, err := parseRole(f[1])
	if err != nil {
		return Status{}, err
	}
	last, err := ParsePosition(f[2])
	if err != nil {
		return Status{}, fmt.Errorf("parse last position of status: %w", errors.Join(ErrStatus, err))
	}
	applied, err := ParsePosition(f[3])
	if err != nil {
		return Status{}, fmt.Errorf("parse applied position of status: %w", errors.Join(ErrStatus, err))
	}
	ms, err := strconv.ParseUint(f[4], 10, 40)
	if err != nil {
		return Status{}, fmt.Errorf("parse silence of status %q: %w", text, ErrStatus)
	}
	s := NewStatus(Term(term), role, last, applied, time.Duration(ms)*time.Millisecond)
	if !s.consistent() {
		return Status{}, fmt.Errorf("status %q has applied above last or last above its term: %w", text, ErrStatus)
	}
	return s, nil
}

// consistent reports whether the applied position is at most the last one,
// and the last one is not of a higher term than the status.
func (s Status) consistent() bool {
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
