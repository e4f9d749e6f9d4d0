package relay

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/clock"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// dialScripted opens a link through a holder that agrees to streams, opens them, and answers
// each other request with what answers returns for it.
func dialScripted(t *testing.T, answers func(q request) []response) (*Dialer, pool.Link) {
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
			go serveScripted(c, answers)
		}
	}()
	d := &Dialer{
		Holders: func(pool.Target, string) Holders { return Holders{Addresses: []string{l.Addr().String()}} },
		Now:     clock.SinceBoot,
		Log:     logr.Discard(),
	}
	return d, dialLink(t, d)
}

func dialLink(t *testing.T, d *Dialer) pool.Link {
	k, _, err := d.Dial(t.Context(), pool.Target{ID: "a", Group: "choir"}, "")
	if err != nil {
		t.Fatal(err)
	}
	if err := k.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return k
}

func serveScripted(c net.Conn, answers func(q request) []response) {
	defer func() { _ = c.Close() }()
	decoder, encoder := gob.NewDecoder(c), gob.NewEncoder(c)
	if decoder.Decode(&hello{}) != nil || encoder.Encode(response{Streams: true}) != nil {
		return
	}
	for {
		q := request{}
		if decoder.Decode(&q) != nil {
			return
		}
		list := []response{{Stream: q.Stream, Number: q.Number}}
		if q.Kind != kindOpen {
			list = answers(q)
		}
		for _, r := range list {
			if encoder.Encode(r) != nil {
				return
			}
		}
	}
}

// answerTo returns the response to a request, whose receipt names it.
func answerTo(q request) response {
	return response{Stream: q.Stream, Number: q.Number, Receipt: "of " + q.ID}
}

func statement(id string) pool.Order {
	return pool.Forward{Query: query.Query{ID: id, Text: "READ 1", Operation: query.Read{Item: "1"}}}
}

// Guards against a caller that gets the answer to another statement, because the holder's
// response to that one came twice, later, or on the stream of a link that was given up.
func TestResponseIsTakenForItsRequestOnly(t *testing.T) {
	cases := map[string]struct {
		// answers returns the responses to a request, given those to earlier ones.
		answers func(q request, sent []response) []response
		// want holds the receipts, of which an empty one stands for an error.
		want []string
	}{
		"each once":                    {func(q request, _ []response) []response { return []response{answerTo(q)} }, []string{"of q0", "of q1", "of q2"}},
		"twice at once":                {func(q request, _ []response) []response { return []response{answerTo(q), answerTo(q)} }, []string{"of q0", "of q1", "of q2"}},
		"all earlier before the next":  {func(q request, sent []response) []response { return append(slices.Clone(sent), answerTo(q)) }, []string{"of q0", "of q1", "of q2"}},
		"one is missing":               {skipping("q1"), []string{"of q0", "", ""}},
		"without numbers, unasked for": {unnumbered, []string{"of q0", "", ""}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := []response{}
			_, k := dialScripted(t, func(q request) []response {
				list := c.answers(q, sent)
				sent = append(sent, answerTo(q))
				return list
			})
			if err := k.SetDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			for i, want := range c.want {
				r, err := ask(k, fmt.Sprint("q", i))
				if r.Receipt != want || (err != nil) != (want == "") {
					t.Errorf("q%d was answered with %q, error %v; want %q", i, r.Receipt, err, want)
				}
				// Whatever comes without being asked for has come before the next request.
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

func ask(k pool.Link, id string) (query.Reply, error) {
	if err := k.Send(statement(id)); err != nil {
		return query.Reply{}, err
	}
	return k.Receive()
}

// skipping answers all requests but one.
func skipping(id string) func(q request, sent []response) []response {
	return func(q request, _ []response) []response {
		if q.ID == id {
			return nil
		}
		return []response{answerTo(q)}
	}
}

// unnumbered answers each request twice, as a holder of a former build would.
func unnumbered(q request, _ []response) []response {
	r := answerTo(q)
	r.Number = 0
	return []response{r, r}
}

// Guards against the late response to an order of a link that was given up, which another
// link on the same connection takes for its own.
func TestLateResponseToAClosedLinkIsDropped(t *testing.T) {
	held := []response{}
	d, k := dialScripted(t, func(q request) []response {
		if q.Kind == kindClose {
			return nil
		}
		if q.ID == "late" {
			held = append(held, answerTo(q))
			return nil
		}
		return append(held, answerTo(q))
	})
	if err := k.SetDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if r, err := ask(k, "late"); !isTimeout(err) {
		t.Fatalf("answered with %q, error %v; want a timeout", r.Receipt, err)
	}
	k.Close()
	r, err := ask(dialLink(t, d), "next")
	if err != nil || r.Receipt != "of next" {
		t.Errorf("answered with %q, error %v; want the link's own answer", r.Receipt, err)
	}
}

// Guards against half a response that counts as one.
func TestHalfAResponseEndsTheLink(t *testing.T) {
	whole := &recordingWriter{}
	encoder := gob.NewEncoder(whole)
	if encoder.Encode(response{Streams: true}) != nil || encoder.Encode(response{Stream: 1, Number: 1}) != nil {
		t.Fatal("cannot encode")
	}
	head := len(whole.text)
	if encoder.Encode(response{Stream: 1, Number: 2, Receipt: "mac", Rows: []string{"row"}}) != nil {
		t.Fatal("cannot encode")
	}
	for cut := head; cut <= len(whole.text); cut++ {
		r, err := receiveOf(t, whole.text[:cut])
		if complete := cut == len(whole.text); complete != (err == nil) || complete != (r.Receipt == "mac") {
			t.Errorf("%d of %d bytes were taken as %q, error %v", cut-head, len(whole.text)-head, r.Receipt, err)
		}
	}
}

type recordingWriter struct{ text []byte }

func (w *recordingWriter) Write(b []byte) (int, error) {
	w.text = append(w.text, b...)
	return len(b), nil
}

// receiveOf returns the answer to the first statement of a link whose holder sends a text
// and ends the connection.
func receiveOf(t *testing.T, text []byte) (query.Reply, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := newOwnConnection(near)
	go func() {
		_, _ = far.Write(text)
		_ = far.Close()
	}()
	if _, err := c.receive(); err != nil {
		t.Fatal(err)
	}
	s := &stream{id: 1, sent: 2, changed: make(chan struct{}, 1), deadline: time.Now().Add(2 * time.Second)}
	s.trunk = &trunk{ownConnection: c, ended: func(*trunk) {}, streams: map[uint32]*stream{1: s}}
	go s.trunk.run()
	if _, err := s.receive(); err != nil {
		t.Fatal(err)
	}
	r, err := s.receive()
	if err != nil && errors.Is(err, errUnmatched) {
		t.Fatal(err)
	}
	return r.reply(), err
}

// Guards against a connection that ends, with all that runs on it, because the numbers of its
// streams begin again at the one that stands for all of them.
func TestStreamNumbersAreNotUsedTwice(t *testing.T) {
	d, k := dialScripted(t, func(q request) []response { return []response{answerTo(q)} })
	old := k.(*link).channel.(*stream).trunk
	old.lock.Lock()
	old.last = math.MaxUint32
	old.lock.Unlock()
	next := dialLink(t, d)
	if s := next.(*link).channel.(*stream); s.trunk == old || s.id != 1 {
		t.Errorf("link is stream %d of the connection that has had all", s.id)
	}
	for name, l := range map[string]pool.Link{"old": k, "next": next} {
		if r, err := ask(l, name); err != nil || r.Receipt != "of "+name {
			t.Errorf("%s link was answered with %q, error %v", name, r.Receipt, err)
		}
	}
}
