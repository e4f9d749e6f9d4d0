package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponential backoff with jitter. The pause doubles with each
// retry, and up to half of it is added at random, so that callers which failed
// at the same time do not retry at the same time. Set the fields before the
// first call. A Backoff is not safe for concurrent use.
type Backoff struct {
	// Min is the first pause and Max the longest one, both before jitter.
	// If Max is not above Min, the pause stays at Min.
	Min, Max time.Duration

	// next is the next pause before jitter, or zero for Min.
	next time.Duration
}

// Next returns the pause before the next retry and doubles the one after it.
func (b *Backoff) Next() time.Duration {
	pause := max(b.next, b.Min)
	b.next = min(2*pause, b.Max)
	return pause + rand.N(pause/2+1)
}

// Reset sets the next pause back to Min. It is called after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Wait blocks for the time that Next returns, or until the context ends.
func (b *Backoff) Wait(ctx context.Context) {
	t := time.NewTimer(b.Next())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
