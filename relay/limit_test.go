package relay

import (
	"bytes"
	"encoding/gob"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/clock"
)

// sendToHolder sends a hello that asks for streams and then a text in pieces. It returns how
// many bytes of the text the holder read before it closed the connection.
func sendToHolder(t *testing.T, piece []byte, pieces int) int {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	s := &Server{Now: clock.SinceBoot, Log: logr.Discard()}
	go func() { _ = s.Serve(t.Context(), l) }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewEncoder(c).Encode(hello{Streams: true}); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(c).Decode(&response{}); err != nil {
		t.Fatal(err)
	}
	sent := 0
	for range pieces {
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			return sent
		}
	}
	return sent
}

// Guards against a VM that runs out of memory because of one message on a link, as from
// whatever else reaches its port.
func TestHolderReadsNoLongerMessageThanARequest(t *testing.T) {
	// A message that is 1 GiB long, by its own account.
	begin := append([]byte{0xfc, 0x40, 0, 0, 0}, bytes.Repeat([]byte{1}, 1<<20)...)
	before := runtime.MemStats{}
	runtime.ReadMemStats(&before)
	sent := sendToHolder(t, begin, 200)
	after := runtime.MemStats{}
	runtime.ReadMemStats(&after)
	if sent > 32<<20 {
		t.Errorf("holder read %d bytes of one message", sent)
	}
	if grown := after.TotalAlloc - before.TotalAlloc; grown > 64<<20 {
		t.Errorf("%d bytes were allocated for one message", grown)
	}
}

// Guards against a limit that ends links on which requests are as long as callers' may be.
func TestHolderReadsTheLongestRequests(t *testing.T) {
	text := &bytes.Buffer{}
	e := gob.NewEncoder(text)
	long := strings.Repeat("x", 1<<20)
	for i := range 20 {
		q := request{Kind: kindPlan, Stream: uint32(i + 1), Arguments: long}
		q.Plan.Shape = long
		if err := e.Encode(q); err != nil {
			t.Fatal(err)
		}
	}
	if sent := sendToHolder(t, text.Bytes(), 1); sent != text.Len() {
		t.Errorf("holder read %d of %d bytes", sent, text.Len())
	}
}
