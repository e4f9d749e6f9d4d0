package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is the pause between the tries of something that keeps failing. It
// doubles with each try, and up to half of it is added at random so that many
// who began together do not go on together. Set the fields before the first
// call.
type Backoff struct {
	// Least is the first pause, and Most the longest.
	Least, Most time.Duration

	next time.Duration
}

// Next returns the pause before the next try.
func (b *Backoff) Next() time.Duration {
	pause := max(b.next, b.Least)
	b.next = min(2*pause, b.Most)
	return pause + rand.N(pause/2+1)
}

// Reset makes the next pause the first again.
func (b *Backoff) Reset() { b.next = 0 }

// Pause waits for the next pause or until the context ends.
func (b *Backoff) Pause(ctx context.Context) {
	t := time.NewTimer(b.Next())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
