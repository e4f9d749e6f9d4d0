package front_test

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestEndWaiting guards against a stop that cuts off statements which targets are working
// on, or that leaves those without an answer which still wait for a target.
func TestEndWaiting(t *testing.T) {
	cases := map[string]struct {
		before []string
		text   string
		// unled reports that the group has no leader.
		unled bool
		want  string
		after time.Duration
	}{
		"a write at a target":             {nil, "WRITE 1 x", false, "DATAROW a 1.95", 2 * time.Second},
		"a commit at a target":            {[]string{"BEGIN", "WRITE 1 x"}, "COMMIT", false, "DATAROW a 1.95", 2 * time.Second},
		"a write that waits for a leader": {nil, "WRITE 1 x", true, "ERROR BUSY", time.Second},
		"a transaction that waits":        {[]string{"BEGIN"}, "WRITE 1 x", true, "ERROR BUSY", time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
				s := n.session("STARTUP current u")
				for _, text := range c.before {
					s.row(text)
				}
				if c.unled {
					n.group.SetLeader("")
				}
				n.delayAnswers(2 * time.Second)
				begun := n.Now()
				time.AfterFunc(time.Second, n.EndWaiting)
				time.AfterFunc(1800*time.Millisecond, func() { n.confirm(n.grants.Record()) })
				if got := s.row(c.text); !strings.HasPrefix(got, c.want) {
					t.Errorf("the caller got %q, want %q", got, c.want)
				}
				if took := n.Now() - begun; took < c.after || took > c.after+100*time.Millisecond {
					t.Errorf("the answer took %s, want %s", took, c.after)
				}
			})
		})
	}
}

// TestEndWaitingClosesIdleSessions guards against a stop that waits for callers which have
// left in the middle of a transaction.
func TestEndWaitingClosesIdleSessions(t *testing.T) {
	runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
		s := n.session("STARTUP current u")
		s.row("BEGIN")
		s.row("WRITE 1 x")
		n.Drain(expired())
		n.AbortTransactions()
		time.Sleep(100 * time.Millisecond)
		n.EndWaiting()
		s.wantClosed(20 * time.Millisecond)
	})
}

// expired returns a context that has ended.
func expired() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestCutOff guards against requests without a complete answer when the VM has to exit, and
// against answers that promise more than is known.
func TestCutOff(t *testing.T) {
	cases := map[string]struct {
		before []string
		text   string
		want   string
	}{
		"a read":                            {nil, "READ 1", "ERROR ABORTED"},
		"a write":                           {nil, "WRITE 1 x", "ERROR INDOUBT"},
		"a prepared write":                  {[]string{"PREPARE s WRITE q1"}, "EXECUTE s 1 x", "ERROR INDOUBT"},
		"a read in a transaction":           {[]string{"BEGIN READ"}, "READ 1", "ERROR ABORTED"},
		"a commit of writes":                {[]string{"BEGIN", "WRITE 1 x"}, "COMMIT", "ERROR INDOUBT"},
		"a commit that has written nothing": {[]string{"BEGIN", "READ 1"}, "COMMIT", "ERROR ABORTED"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
				s := n.session("STARTUP current u")
				for _, text := range c.before {
					s.row(text)
				}
				n.delayAnswers(2 * time.Second)
				begun := n.Now()
				time.AfterFunc(time.Second, func() { n.CutOff(context.Background()) })
				if got := s.row(c.text); !strings.HasPrefix(got, c.want) {
					t.Errorf("the caller got %q, want %q", got, c.want)
				}
				if took := n.Now() - begun; took > 1100*time.Millisecond {
					t.Errorf("the answer took %s, want a second", took)
				}
				s.wantClosed(20 * time.Millisecond)
				// The target's answer comes too late.
				time.Sleep(10 * time.Second)
			})
		})
	}
}
