package pool

import (
	"hash/maphash"
	"time"

	"amaranthsill/query"
)

const (
	// recentReplyAge is the least time for which a link's replies are remembered, unless
	// there are more than maxRecentReplies.
	recentReplyAge = 10 * time.Second
	// minRecentReplies is the least number of replies that are remembered, however old,
	// and maxRecentReplies half of the greatest.
	minRecentReplies = 64
	maxRecentReplies = 4096
)

// replySeed is random for each process. Hashes are compared within one process only.
var replySeed = maphash.MakeSeed()

// recentReplies remembers the replies that arrived on a link. The zero value is empty.
type recentReplies struct {
	// current holds the newest replies by their keys, since begun, and previous those before
	// them.
	current, previous map[uint64]replyHash
	begun             time.Time
}

// replyHash is a hash of a reply, and one of the statement that it answers if the reply has a
// receipt.
type replyHash struct{ content, statement uint64 }

// rememberedReply identifies a reply. Replies with the same receipt have the same key.
type rememberedReply struct {
	key uint64
	replyHash
}

// likeness is what a reply has in common with the remembered ones.
type likeness uint8

const (
	// newReply is unlike all remembered ones.
	newReply likeness = iota
	// repeatedReply equals a remembered one.
	repeatedReply
	// rerunReply equals the remembered answer to an earlier run of the same statement.
	rerunReply
	// conflictingReply has the receipt of a remembered one that differs otherwise.
	conflictingReply
)

// find compares a reply with the remembered ones.
func (s *recentReplies) find(r rememberedReply) likeness {
	h, known := s.current[r.key]
	if !known {
		h, known = s.previous[r.key]
	}
	switch {
	case !known:
		return newReply
	case h.content != r.content:
		return conflictingReply
	case r.statement != 0 && h.statement == r.statement:
		return rerunReply
	default:
		return repeatedReply
	}
}

// add remembers a reply.
func (s *recentReplies) add(r rememberedReply) {
	if s.current == nil {
		s.current, s.previous = map[uint64]replyHash{}, map[uint64]replyHash{}
		s.begun = time.Now()
	}
	if n := len(s.current); n >= maxRecentReplies || n >= minRecentReplies && time.Since(s.begun) >= recentReplyAge {
		s.current, s.previous = s.previous, s.current
		clear(s.current)
		s.begun = time.Now()
	}
	s.current[r.key] = r.replyHash
}

// identify returns what identifies a reply among those of its link, if it answers an order.
func identify(o Order, r query.Reply) rememberedReply {
	content := hashReply(r)
	if r.Receipt == "" {
		return rememberedReply{key: content, replyHash: replyHash{content: content}}
	}
	return rememberedReply{key: maphash.String(replySeed, r.Receipt), replyHash: replyHash{content: content, statement: hashStatement(o)}}
}

// hashStatement returns a hash of a statement with its request's ID; zero for other orders.
func hashStatement(o Order) uint64 {
	switch o := o.(type) {
	case Forward:
		return maphash.Comparable(replySeed, [2]string{o.Query.ID, o.Query.Text})
	case ForwardPlan:
		return maphash.Comparable(replySeed, [3]string{o.Query.ID, o.Plan.Shape, o.Arguments})
	default:
		return 0
	}
}

// hashReply returns a hash of all that a target sent in a reply.
func hashReply(r query.Reply) uint64 {
	h := maphash.Hash{}
	h.SetSeed(replySeed)
	for _, row := range r.Rows {
		maphash.WriteComparable(&h, len(row))
		_, _ = h.WriteString(row)
	}
	_ = h.WriteByte(byte(r.State))
	_, _ = h.WriteString(r.Receipt)
	maphash.WriteComparable(&h, r.Position)
	if r.Failure != nil {
		maphash.WriteComparable(&h, *r.Failure)
	}
	return h.Sum64()
}
