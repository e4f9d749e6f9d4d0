package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// peerServer is a VM that answers with the protocol of the call.
type peerServer struct {
	address string
	// accepted counts connections; silent makes those that are open fall silent.
	accepted atomic.Int32
	lock     sync.Mutex
	open     []*silentConn
}

// silentConn drops what is written once it is silent.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// peerListener hands the connections that it accepts to a peerServer.
type peerListener struct {
	net.Listener
	server *peerServer
}

func (l peerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.accepted.Add(1)
	n := &silentConn{Conn: c}
	l.server.lock.Lock()
	defer l.server.lock.Unlock()
	l.server.open = append(l.server.open, n)
	return n, nil
}

func newPeerServer(t *testing.T, protocols *http.Protocols) *peerServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &peerServer{address: l.Addr().String()}
	h := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Proto+" "+string(b))
	})}
	go func() { _ = h.Serve(peerListener{l, s}) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

// call returns what the server answers within a time.
func (s *peerServer) call(tr http.RoundTripper, within time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/", strings.NewReader("text"))
	if err != nil {
		return "", err
	}
	response, err := tr.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	return string(b), err
}

// TestPeerTransport guards against calls that fail between builds with and without
// HTTP/2, and against a connection for each call.
func TestPeerTransport(t *testing.T) {
	http1 := new(http.Protocols)
	http1.SetHTTP1(true)
	for name, c := range map[string]struct {
		server    *http.Protocols
		transport http.RoundTripper
		want      string
		conns     int32
	}{
		"both of this build":     {peerProtocols(), newPeerTransport(), "HTTP/2.0 text", 1},
		"callee of a former one": {http1, newPeerTransport(), "HTTP/1.1 text", 4},
		"caller of a former one": {peerProtocols(), &http.Transport{}, "HTTP/1.1 text", 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPeerServer(t, c.server)
			for range 3 {
				if got, err := s.call(c.transport, 5*time.Second); err != nil || got != c.want {
					t.Fatalf("got %q, %v, want %q", got, err, c.want)
				}
			}
			if n := s.accepted.Load(); n > c.conns {
				t.Errorf("%d connections, want %d at most", n, c.conns)
			}
		})
	}
}

// TestSilentPeerConnection guards against a connection that has fallen silent without a
// reset and is used for all calls that follow.
func TestSilentPeerConnection(t *testing.T) {
	s, tr := newPeerServer(t, peerProtocols()), newPeerTransport()
	if _, err := s.call(tr, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	s.lock.Lock()
	s.open[0].silent.Store(true)
	s.lock.Unlock()
	if _, err := s.call(tr, 50*time.Millisecond); err == nil {
		t.Fatal("a call on a silent connection was answered")
	}
	if _, err := s.call(tr, 5*time.Second); err != nil {
		t.Errorf("the next call failed: %v", err)
	}
}

// TestCopyOfAPeersAnswerIsNotTaken guards against a call of a VM of a former build that is
// given the copy of the answer to an earlier call.
func TestCopyOfAPeersAnswerIsNotTaken(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	calls := atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go copyAnswers(c, &calls)
		}
	}()
	s, tr := &peerServer{address: l.Addr().String()}, newPeerTransport()
	for _, want := range []string{"answer 1", "answer 2", "answer 3"} {
		if got, err := s.call(tr, 5*time.Second); err != nil || got != want {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
}

// copyAnswers answers calls over HTTP/1.1 with their number. It sends each answer again when
// the next call arrives on the connection.
func copyAnswers(c net.Conn, calls *atomic.Int32) {
	defer func() { _ = c.Close() }()
	r, last := bufio.NewReader(c), ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil || q.ProtoMajor != 1 {
			// A former build answers the beginning of HTTP/2 like this.
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n")
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		text := fmt.Sprint("answer ", calls.Add(1))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if _, err := io.WriteString(c, last+answer); err != nil || q.Close {
			return
		}
		last = answer
	}
}

// TestHalfOfAPeersAnswerIsNotTaken guards against a message of a VM of a former build that
// lacks its last fields, such as the leader record, since the answer was cut off.
func TestHalfOfAPeersAnswerIsNotTaken(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		whole  bool
	}{
		"whole":                     {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext", true},
		"whole, in chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", true},
		"shorter than its length":   {"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ntext", false},
		"without its last chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n", false},
		"without a length":          {"HTTP/1.1 200 OK\r\n\r\ntext", false},
		"without a length and body": {"HTTP/1.1 200 OK\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				for {
					n, err := l.Accept()
					if err != nil {
						return
					}
					if q, err := http.ReadRequest(bufio.NewReader(n)); err == nil && q.ProtoMajor == 1 {
						_, _ = io.Copy(io.Discard, q.Body)
						_, _ = io.WriteString(n, c.answer)
					}
					_ = n.Close()
				}
			}()
			s := &peerServer{address: l.Addr().String()}
			got, err := s.call(newPeerTransport(), 5*time.Second)
			if whole := err == nil && got == "text"; whole != c.whole || !whole && err == nil {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
