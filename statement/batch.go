// Package statement holds what a caller sends in one request: the messages
// up to and including a Sync, or one simple query, with the hints that the
// caller wrote in a leading comment.
//
// # Usage
//
//	hints, err := statement.ParseHints("/* kind=dues key=8f2a */ insert ...")
//	batch := statement.NewBatch(messages, prepared)
//	batch.Deliver(run, reply)
//	batch.Reply(run)
package statement

import (
	"encoding/hex"
	"hash"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Prepared is a prepared statement as its caller defined it.
type Prepared struct {
	Query string
	Types []uint32
}

// Name returns the name under which targets know the statement. Equal
// statements share it, whatever their callers call them.
func (p Prepared) Name() string {
	h := xxhash.New()
	write(h, p.Query)
	for _, t := range p.Types {
		write(h, string([]byte{byte(t >> 24), byte(t >> 16), byte(t >> 8), byte(t)}))
	}
	return "s" + hex.EncodeToString(h.Sum(nil))
}

func write(h hash.Hash, s string) {
	// A hash's Write never returns an error.
	_, _ = h.Write([]byte(s))
}

// Batch is one request and the replies that targets gave to it.
type Batch struct {
	messages []pgproto3.FrontendMessage
	prepared map[string]Prepared
	key      string

	lock    sync.Mutex
	replies map[uint64]Reply
}

// NewBatch returns a request of these messages. Prepared holds the named
// statements that the messages refer to and do not define. A key that is not
// empty makes the request run at most once for all its repeats.
func NewBatch(messages []pgproto3.FrontendMessage, prepared map[string]Prepared, key string) *Batch {
	return &Batch{messages: messages, prepared: prepared, key: key, replies: map[uint64]Reply{}}
}

// Messages returns the caller's messages without the closing Sync.
func (b *Batch) Messages() []pgproto3.FrontendMessage { return b.messages }

// Simple reports whether the request is one simple query.
func (b *Batch) Simple() bool {
	if len(b.messages) != 1 {
		return false
	}
	_, ok := b.messages[0].(*pgproto3.Query)
	return ok
}

// Prepared returns the named statement as the session defined it.
func (b *Batch) Prepared(name string) (Prepared, bool) {
	p, ok := b.prepared[name]
	return p, ok
}

// Key returns the idempotency key, or the empty string.
func (b *Batch) Key() string { return b.key }

// Reply is what a run's target answered.
type Reply struct {
	// Bytes is the answer, encoded for the caller, without the closing
	// ReadyForQuery.
	Bytes []byte
	// State is the transaction state of ReadyForQuery: I, T or E.
	State byte
}

// Deliver keeps a run's reply until the decision on the run is known.
func (b *Batch) Deliver(run uint64, r Reply) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.replies[run] = r
}

// Reply returns what Deliver kept for the run.
func (b *Batch) Reply(run uint64) Reply {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.replies[run]
}
