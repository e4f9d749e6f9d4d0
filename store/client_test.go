package store

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveCopies answers calls in turn with the given statuses and bodies. It sends the last
// answer of a connection again when the next call arrives on it.
func serveCopies(t *testing.T, answers chan string) *Client {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go copyAnswers(c, answers)
		}
	}()
	return &Client{Address: l.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{}}}
}

func copyAnswers(c net.Conn, answers <-chan string) {
	defer func() { _ = c.Close() }()
	r, last := bufio.NewReader(c), ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		answer := <-answers
		if _, err := io.WriteString(c, last+answer); err != nil || q.Close {
			return
		}
		last = answer
	}
}

func answerOf(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// TestCopyOfAnEarlierAnswerIsNotTaken guards against a call that is given the copy of an
// earlier answer, such as a lease that counts as renewed although another holder has it.
func TestCopyOfAnEarlierAnswerIsNotTaken(t *testing.T) {
	const entry, changed = `{"value":"e30=","revision":5}`, `{"value":"e30=","revision":8}`
	cases := map[string]struct {
		copied, answer string
		call           func(c *Client) (uint64, error)
		revision       uint64
		err            error
	}{
		"lease": {answerOf(200, ""), answerOf(409, ""), func(c *Client) (uint64, error) {
			return 0, c.Acquire(t.Context(), "choir", "vm-0", time.Minute)
		}, 0, ErrConflict},
		"write": {answerOf(200, entry), answerOf(409, changed), func(c *Client) (uint64, error) {
			e, err := c.Swap(t.Context(), "manifest", 5, []byte("{}"))
			return e.Revision(), err
		}, 8, ErrConflict},
		"read": {answerOf(200, entry), answerOf(200, changed), func(c *Client) (uint64, error) {
			e, err := c.Get(t.Context(), "manifest")
			return e.Revision(), err
		}, 8, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answers := make(chan string, 2)
			answers <- c.copied
			answers <- c.answer
			l := serveCopies(t, answers)
			_, _ = c.call(l)
			// The connection is idle again before the copy comes.
			time.Sleep(5 * time.Millisecond)
			if got, err := c.call(l); got != c.revision || !errors.Is(err, c.err) {
				t.Errorf("revision %d, error %v; want %d, %v", got, err, c.revision, c.err)
			}
		})
	}
}
