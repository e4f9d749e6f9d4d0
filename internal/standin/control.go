package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// maxLogEntries is the most log entries that one group_log call returns.
const maxLogEntries = 200

// logBody is the JSON that group_log returns: the entries that follow the position After.
// The field names are the JSON keys, which targets exchange, so they must not change.
type logBody struct {
	After   string
	Entries []replica.Entry
}

// control runs a control call (group_*) or injects a fault (fault_*).
func (t *Target) control(ctx context.Context, s statement) (result, error) {
	switch s.name {
	case "group_status":
		return t.command(func() error { return nil })
	case "group_wait":
		return t.waitForPosition(ctx, s.arguments)
	case "group_fence":
		return t.commandWithTerm(s.arguments, func(term group.Term, owner string) error {
			return t.replica.Fence(term, owner)
		})
	case "group_promote":
		return t.commandWithTerm(s.arguments, func(term group.Term, owner string) error {
			return t.replica.Promote(term, owner, t.uptime())
		})
	case "group_follow":
		return t.commandWithTerm(s.arguments, func(term group.Term, primary string) error {
			return t.replica.Follow(term, primary, t.uptime())
		})
	case "group_log":
		return t.readLog(ctx, s.arguments)
	default:
		return t.injectFault(s)
	}
}

// command applies a change to the replica and returns its status after the change.
func (t *Target) command(change func() error) (result, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if err := change(); err != nil {
		return result{}, fmt.Errorf("%s: %w", t.status(), err)
	}
	t.notifyChanged()
	return result{rows: []string{t.status().String()}, tag: "SELECT 1"}, nil
}

// commandWithTerm runs command with a change that takes a term and the name of an owner
// or a primary.
func (t *Target) commandWithTerm(arguments []string, change func(group.Term, string) error) (result, error) {
	if len(arguments) != 2 {
		return result{}, errSyntax
	}
	term, err := strconv.ParseUint(arguments[0], 10, 63)
	if err != nil {
		return result{}, errSyntax
	}
	return t.command(func() error { return change(group.Term(term), arguments[1]) })
}

// waitForPosition runs group_wait(received, applied, ms). It returns the status once both
// positions have been reached, the term has changed or ms milliseconds have passed. A
// zero position is reached at once.
func (t *Target) waitForPosition(ctx context.Context, arguments []string) (result, error) {
	if len(arguments) != 3 {
		return result{}, errSyntax
	}
	received, err1 := group.ParsePosition(arguments[0])
	applied, err2 := group.ParsePosition(arguments[1])
	ms, err3 := strconv.Atoi(arguments[2])
	if err1 != nil || err2 != nil || err3 != nil {
		return result{}, errSyntax
	}
	t.lock.Lock()
	term := t.replica.Term()
	t.lock.Unlock()
	t.waitUntil(ctx, time.Duration(ms)*time.Millisecond, func() bool {
		if t.replica.Term() != term {
			return true
		}
		if !received.IsZero() && !t.replica.Last().Reaches(received) {
			return false
		}
		return applied.IsZero() || t.replica.Applied().Reaches(applied)
	})
	return t.command(func() error { return nil })
}

// readLog runs group_log(term, from, ms), by which replicas copy the primary's log. It
// waits at most ms milliseconds for entries after from. If the primary's log does not
// contain from, it returns entries after an earlier position that both logs may share.
func (t *Target) readLog(ctx context.Context, arguments []string) (result, error) {
	if len(arguments) != 3 {
		return result{}, errSyntax
	}
	term, err1 := strconv.ParseUint(arguments[0], 10, 63)
	from, err2 := group.ParsePosition(arguments[1])
	ms, err3 := strconv.Atoi(arguments[2])
	if err1 != nil || err2 != nil || err3 != nil {
		return result{}, errSyntax
	}
	t.waitUntil(ctx, time.Duration(ms)*time.Millisecond, func() bool {
		return t.replica.Last() != from
	})
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.replica.Role() != group.RolePrimary || t.replica.Term() != group.Term(term) {
		return result{}, replica.ErrNotPrimary
	}
	entries, ok := t.replica.EntriesAfter(from, maxLogEntries)
	if !ok {
		from = t.replica.Match(from)
		entries, _ = t.replica.EntriesAfter(from, maxLogEntries)
	}
	body, err := json.Marshal(logBody{After: from.String(), Entries: entries})
	if err != nil {
		return result{}, fmt.Errorf("encode log: %w", err)
	}
	return result{rows: []string{string(body)}, tag: "SELECT 1"}, nil
}

// injectFault injects or ends a fault. fault_lag(ms) sets the replication lag,
// fault_cut(address) stops replication from the primary at the address,
// fault_mend(address) resumes it, and fault_silence() leaves the connections that are
// open without answers.
func (t *Target) injectFault(s statement) (result, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	done := result{rows: []string{"done"}, tag: "SELECT 1"}
	argument := ""
	if len(s.arguments) > 0 {
		argument = s.arguments[0]
	}
	switch s.name {
	case "fault_lag":
		ms, err := strconv.Atoi(argument)
		if err != nil {
			return result{}, errSyntax
		}
		t.Lag = time.Duration(ms) * time.Millisecond
	case "fault_cut":
		t.blockedPrimaries[argument] = true
	case "fault_mend":
		delete(t.blockedPrimaries, argument)
	case "fault_silence":
		t.silencedAt = time.Now()
	default:
		return result{}, errSyntax
	}
	return done, nil
}
