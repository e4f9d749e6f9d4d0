package target

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// answerTimeout limits what is done at once on the loopback interface.
const answerTimeout = 5 * time.Second

// dialTarget returns a connection to a target that sends further messages together with
// the answer to the startup message.
func dialTarget(t *testing.T, further ...pgproto3.BackendMessage) *conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		b := pgproto3.NewBackend(c, c)
		if _, err := b.ReceiveStartupMessage(); err != nil {
			return
		}
		for _, m := range append([]pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}}, further...) {
			b.Send(m)
		}
		// The test fails if nothing arrives.
		_ = b.Flush()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	c, err := dial(ctx, netip.MustParseAddrPort(l.Addr().String()), "choir", false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answerOf returns an answer of one row.
func answerOf(value string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
}

// TestAnswerBufferedBetweenRequests guards against a caller that gets another one's answer:
// a target sent an answer twice, and the second one had been read together with the first.
func TestAnswerBufferedBetweenRequests(t *testing.T) {
	if c := dialTarget(t); !c.idle() {
		t.Error("connection on which nothing arrived is not idle")
	}
	if c := dialTarget(t, answerOf("another caller's")...); c.idle() {
		t.Error("connection with a buffered answer is idle")
	}
}

// TestStatusThatNobodyAskedFor guards against a status that is taken for the answer to a
// later request: a target sent a status twice, and all later ones were shifted by one.
func TestStatusThatNobodyAskedFor(t *testing.T) {
	c := dialTarget(t, answerOf("3 primary 3.7 3.7 0")...)
	k := &control{inFlight: make(chan uint64, controlQueueSize)}
	ended := make(chan struct{})
	go func() {
		k.receive(context.Background(), c)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(answerTimeout):
		t.Error("status waits for the next request")
	}
}
