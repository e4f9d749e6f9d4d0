package pool

import (
	"hash/maphash"
	"slices"
	"time"

	"amaranthsill/query"
)

const (
	// recentReplyAge is the least time for which a link's replies are remembered.
	recentReplyAge = 10 * time.Second
	// minRecentReplies is the least number of replies that are remembered, however old.
	minRecentReplies = 64
)

// replySeed is random for each process. Hashes are compared within one process only.
var replySeed = maphash.MakeSeed()

// recentReplies remembers the replies that arrived on a link. The zero value is empty.
type recentReplies struct {
	// current holds the newest replies, since begun, and previous those before them.
	current, previous []rememberedReply
	begun             time.Time
}

// rememberedReply identifies a reply. Replies with the same receipt have the same key.
type rememberedReply struct {
	key, content uint64
}

// likeness is what a reply has in common with the remembered ones.
type likeness uint8

const (
	// newReply is unlike all remembered ones.
	newReply likeness = iota
	// repeatedReply equals a remembered one.
	repeatedReply
	// conflictingReply has the receipt of a remembered one that differs otherwise.
	conflictingReply
)

// find compares a reply with the remembered ones.
func (s *recentReplies) find(r rememberedReply) likeness {
	for _, generation := range [][]rememberedReply{s.current, s.previous} {
		for _, known := range generation {
			switch {
			case known == r:
				return repeatedReply
			case known.key == r.key:
				return conflictingReply
			}
		}
	}
	return newReply
}

// add remembers a reply.
func (s *recentReplies) add(r rememberedReply) {
	if slices.Contains(s.current, r) {
		return
	}
	if len(s.current) >= minRecentReplies {
		s.rotate(time.Now())
	}
	s.current = append(s.current, r)
}

// rotate forgets the previous replies if the current ones are old enough.
func (s *recentReplies) rotate(now time.Time) {
	if s.begun.IsZero() {
		s.begun = now
	}
	if now.Sub(s.begun) < recentReplyAge {
		return
	}
	s.current, s.previous = s.previous[:0], s.current
	s.begun = now
}

// identify returns what identifies a reply among those of its link.
func identify(r query.Reply) rememberedReply {
	content := hashReply(r)
	if r.Receipt == "" {
		return rememberedReply{key: content, content: content}
	}
	return rememberedReply{key: maphash.String(replySeed, r.Receipt), content: content}
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
