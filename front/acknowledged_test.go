package front_test

import (
	"strings"
	"testing"
	"time"

	"amaranthsill/group"
	"amaranthsill/query"
)

// TestAnsweredCommits guards against commits that are acknowledged to their callers but left
// out of what VMs tell one another of acknowledged commits.
func TestAnsweredCommits(t *testing.T) {
	cases := map[string]struct {
		before []string
		text   string
		commit bool
	}{
		"a write":                           {nil, "WRITE 1 x", true},
		"a prepared write":                  {[]string{"PREPARE s WRITE q1"}, "EXECUTE s 1 x", true},
		"a commit":                          {[]string{"BEGIN", "WRITE 1 x"}, "COMMIT", true},
		"a commit of a prepared write":      {[]string{"PREPARE s WRITE q1", "BEGIN", "EXECUTE s 1 x", "READ 1"}, "COMMIT", true},
		"a read":                            {nil, "READ 1", false},
		"a write in a transaction":          {[]string{"BEGIN", "WRITE 1 x"}, "WRITE 2 x", false},
		"a commit that has written nothing": {[]string{"BEGIN", "READ 1"}, "COMMIT", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
				s := n.session("STARTUP current u")
				for _, text := range c.before {
					s.row(text)
				}
				n.commit("a", group.At(1, 200))
				if got := s.row(c.text); strings.HasPrefix(got, "ERROR") {
					t.Fatalf("the caller got %q", got)
				}
				want := query.Position{}
				if c.commit {
					want = group.At(1, 200)
				}
				if got, known := n.group.AnsweredCommits(); got != want || !known {
					t.Errorf("commits are answered up to %v, %t; want %v", got, known, want)
				}
			})
		})
	}
}

// TestAnsweredCommitsBeforeTheyAreConfirmed guards against a VM that tells of its commits
// while one is answered, but is acknowledged later.
func TestAnsweredCommitsBeforeTheyAreConfirmed(t *testing.T) {
	for name, before := range map[string][]string{"WRITE 1 x": nil, "COMMIT": {"BEGIN", "WRITE 1 x"}} {
		t.Run(name, func(t *testing.T) {
			runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
				s := n.session("STARTUP current u")
				for _, text := range before {
					s.row(text)
				}
				n.commit("a", group.At(1, 200))
				// The leader record is unconfirmed when the target answers.
				n.delayAnswers(1300 * time.Millisecond)
				answer := make(chan string, 1)
				go func() { answer <- s.row(name) }()
				time.Sleep(1310 * time.Millisecond)
				if len(answer) > 0 {
					t.Fatalf("the caller got %q before the record was confirmed", <-answer)
				}
				if got, _ := n.group.AnsweredCommits(); got != group.At(1, 200) {
					t.Errorf("commits are answered up to %v, want 1.200", got)
				}
				n.confirm(n.grants.Record())
				if got := <-answer; strings.HasPrefix(got, "ERROR") {
					t.Errorf("the caller got %q", got)
				}
			})
		})
	}
}

// TestAnsweredCommitWithoutPosition guards against a VM that tells of its commits although
// it does not know how far they reach.
func TestAnsweredCommitWithoutPosition(t *testing.T) {
	for name, before := range map[string][]string{"WRITE 1 x": nil, "COMMIT": {"BEGIN", "WRITE 1 x"}} {
		t.Run(name, func(t *testing.T) {
			runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
				s := n.session("STARTUP current u")
				for _, text := range before {
					s.row(text)
				}
				n.commit("a", query.Position{})
				s.row(name)
				if got, known := n.group.AnsweredCommits(); known {
					t.Errorf("commits are answered up to %v, want that it is not known", got)
				}
				time.Sleep(time.Millisecond)
				n.commit("a", group.At(1, 201))
				s.row("READ 1")
				if got, known := n.group.AnsweredCommits(); got != group.At(1, 201) || !known {
					t.Errorf("commits are answered up to %v, %t; want 1.201, which a later read returned", got, known)
				}
			})
		})
	}
}
