package front_test

import (
	"errors"
	"maps"
	"strings"
	"testing"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// Guards against a false or a needless answer to a statement that was not sent to its target, or
// that ran outside its transaction.
func TestStatementThatWasNotSent(t *testing.T) {
	tooLarge := &query.Failure{Code: query.CodeTooLarge, Detail: "message is longer than 1048576 bytes"}
	notSent := map[string]error{"WRITE 1 x": pool.ErrNotSent, "COMMIT": pool.ErrNotSent}
	cases := map[string]struct {
		send, receive map[string]error
		statements    []string
		want          string
	}{
		"a write is sent again": {notSent, nil, []string{"WRITE 1 x"}, "DATAROW a 1.95"},
		"a commit is aborted":   {notSent, nil, []string{"BEGIN", "WRITE 2 x", "COMMIT"}, "ERROR ABORTED"},
		"a write that cannot be sent": {
			map[string]error{"WRITE 1 x": errors.Join(pool.ErrNotSent, tooLarge)}, nil, []string{"WRITE 1 x"}, "ERROR TOOBIG",
		},
		"a write outside its transaction is in doubt": {
			nil, map[string]error{"WRITE 1 x": pool.ErrOutsideTransaction}, []string{"BEGIN", "READ 1", "WRITE 1 x"}, "ERROR INDOUBT",
		},
		"a read outside its transaction is aborted": {
			nil, map[string]error{"READ 2": pool.ErrOutsideTransaction}, []string{"BEGIN", "READ 1", "READ 2"}, "ERROR ABORTED",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
				s := n.session("STARTUP current u")
				n.fail(c.send, c.receive)
				got := ""
				for _, text := range c.statements {
					got = s.row(text)
				}
				if !strings.HasPrefix(got, c.want) {
					t.Errorf("the caller got %q, want %q", got, c.want)
				}
			})
		})
	}
}

// fail sets the errors of the next statements.
func (l *logs) fail(send, receive map[string]error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.sendErrors, l.receiveErrors = maps.Clone(send), maps.Clone(receive)
}
