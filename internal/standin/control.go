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

// batchEntries bounds the entries that one group_log call returns.
const batchEntries = 200

// logBody is the JSON that group_log returns.
type logBody struct {
	After   string
	Entries []replica.Entry
}

// control runs a control call or a fault.
func (t *Target) control(ctx context.Context, s statement) (result, error) {
	switch s.name {
	case "group_status":
		return t.command(func() error { return nil })
	case "group_wait":
		return t.wait(ctx, s.arguments)
	case "group_fence":
		return t.termCommand(s.arguments, func(term group.Term, owner string) error {
			return t.replica.Fence(term, owner)
		})
	case "group_promote":
		return t.termCommand(s.arguments, func(term group.Term, owner string) error {
			return t.replica.Promote(term, owner, t.now())
		})
	case "group_follow":
		return t.termCommand(s.arguments, func(term group.Term, primary string) error {
			return t.replica.Follow(term, primary, t.now())
		})
	case "group_log":
		return t.log(ctx, s.arguments)
	default:
		return t.fault(s)
	}
}

// command runs one change of the replica and returns the status after it.
func (t *Target) command(change func() error) (result, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if err := change(); err != nil {
		return result{}, fmt.Errorf("%s: %w", t.status(), err)
	}
	t.signal()
	return result{rows: []string{t.status().String()}, tag: "SELECT 1"}, nil
}

func (t *Target) termCommand(arguments []string, change func(group.Term, string) error) (result, error) {
	if len(arguments) != 2 {
		return result{}, errSyntax
	}
	term, err := strconv.ParseUint(arguments[0], 10, 63)
	if err != nil {
		return result{}, errSyntax
	}
	return t.command(func() error { return change(group.Term(term), arguments[1]) })
}

func (t *Target) wait(ctx context.Context, arguments []string) (result, error) {
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

func (t *Target) log(ctx context.Context, arguments []string) (result, error) {
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
	entries, ok := t.replica.After(from, batchEntries)
	if !ok {
		from = t.replica.Match(from)
		entries, _ = t.replica.After(from, batchEntries)
	}
	body, err := json.Marshal(logBody{After: from.String(), Entries: entries})
	if err != nil {
		return result{}, fmt.Errorf("encode log: %w", err)
	}
	return result{rows: []string{string(body)}, tag: "SELECT 1"}, nil
}

// fault brings about a failure: fault_lag(ms), fault_cut(address),
// fault_mend(address), fault_silence().
func (t *Target) fault(s statement) (result, error) {
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
		t.cut[argument] = true
	case "fault_mend":
		delete(t.cut, argument)
	case "fault_silence":
		t.silent = time.Now()
	default:
		return result{}, errSyntax
	}
	return done, nil
}
