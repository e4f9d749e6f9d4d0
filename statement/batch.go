// Package statement represents one request of a caller: either one simple
// query or the extended-protocol messages up to and including a Sync. It also
// parses the hints that a caller writes in a leading comment.
//
// # Usage
//
//	hints, err := statement.ParseHints("/* kind=dues key=8f2a */ insert ...")
//	batch := statement.NewBatch(messages, prepared, hints.Key)
//	batch.StoreReply(run, reply)
//	batch.Reply(run)
package statement

import (
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Prepared is a prepared statement as its caller defined it: the query text
// and the OIDs of the parameter types.
type Prepared struct {
	Query string
	Types []uint32
}

// Key returns a text that two statements share only if their queries and types are equal,
// whatever their callers call them.
func (p Prepared) Key() string {
	key := strconv.AppendInt(nil, int64(len(p.Query)), 10)
	key = append(append(key, ':'), p.Query...)
	for _, t := range p.Types {
		key = binary.BigEndian.AppendUint32(key, t)
	}
	return string(key)
}

// Batch is one request, together with the replies of the targets that ran it.
type Batch struct {
	messages []pgproto3.FrontendMessage
	prepared map[string]Prepared
	key      string

	lock    sync.Mutex
	replies map[uint64]Reply
}

// NewBatch returns a request with the given messages. The map prepared has
// the named statements that the messages use but do not define. A key that is
// not empty is an idempotency key: repeats of the request with the same key
// run at most once.
func NewBatch(messages []pgproto3.FrontendMessage, prepared map[string]Prepared, key string) *Batch {
	return &Batch{messages: messages, prepared: prepared, key: key, replies: map[uint64]Reply{}}
}

// Messages returns the caller's messages without the closing Sync.
func (b *Batch) Messages() []pgproto3.FrontendMessage { return b.messages }

// Simple reports whether the request is a single simple query.
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

// Key returns the idempotency key, or the empty string if there is none.
func (b *Batch) Key() string { return b.key }

// Reply is a target's reply to one run of a request.
type Reply struct {
	// Bytes is the reply, encoded for the caller, without the closing
	// ReadyForQuery.
	Bytes []byte
	// State is the transaction status of ReadyForQuery: I, T or E.
	State byte
}

// StoreReply stores the reply of a run until it is decided whether the caller
// may get it.
func (b *Batch) StoreReply(run uint64, r Reply) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.replies[run] = r
}

// Reply returns the reply that StoreReply stored for the run; zero if there is
// none.
func (b *Batch) Reply(run uint64) Reply {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.replies[run]
}
