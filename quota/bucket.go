package quota

import (
	"slices"
	"time"
)

// inFlightSlots is the number of slots of time in which tokens in flight are counted.
const inFlightSlots = 9

// inFlight is a number of tokens that are debited at a time.
type inFlight struct {
	debitAt time.Duration
	tokens  int
}

// tokenBucket is a limiter's token bucket for one customer. Granted tokens may be used
// until they expire, and are debited only then. Until then they are in flight, and are
// not available.
type tokenBucket struct {
	limit Limit
	// level is the number of tokens, among them those in flight, at the time of
	// updatedAt. It is negative if shares went away while tokens were in flight.
	level     float64
	updatedAt time.Duration
	flight    []inFlight
	// promisedAt is the time that the last refused VM was told.
	promisedAt time.Duration
}

// newTokenBucket returns a token bucket that is filled as if it had been there since
// the oldest change of the shares.
func newTokenBucket(now time.Duration, l Limit, d *delegations) *tokenBucket {
	b := &tokenBucket{limit: l, updatedAt: d.changes[0].at}
	b.advance(now, d)
	return b
}

// setLimit applies the limit of a new version from now on.
func (b *tokenBucket) setLimit(now time.Duration, l Limit, d *delegations) {
	if l == b.limit {
		return
	}
	b.advance(now, d)
	b.limit = l
	b.level = min(b.level, l.capacity(d.share()))
}

// advance accrues tokens until now and debits those in flight that have expired.
func (b *tokenBucket) advance(now time.Duration, d *delegations) {
	if first := d.changes[0]; b.updatedAt < first.at {
		// What happened to the shares before is not known any more.
		b.level = min(b.level, 0)
		b.updatedAt = first.at
	}
	i, found := slices.BinarySearchFunc(d.changes, b.updatedAt, compareTime)
	if !found {
		i--
	}
	for ; i < len(d.changes); i++ {
		until := now
		if i+1 < len(d.changes) {
			until = min(now, d.changes[i+1].at)
		}
		b.accrue(until, d.changes[i].share)
	}
}

// accrue is advance for a time in which the shares do not change.
func (b *tokenBucket) accrue(until time.Duration, share float64) {
	capacity := b.limit.capacity(share)
	for {
		next := until
		if len(b.flight) > 0 {
			next = min(next, b.flight[0].debitAt)
		}
		if next > b.updatedAt {
			b.level += b.limit.Rate * share * (next - b.updatedAt).Seconds()
			b.updatedAt = next
		}
		b.level = min(b.level, capacity)
		if len(b.flight) == 0 || b.flight[0].debitAt > until {
			return
		}
		b.level -= float64(b.flight[0].tokens)
		b.flight = slices.Delete(b.flight, 0, 1)
	}
}

// available returns the number of tokens that can be granted, as of the last advance.
func (b *tokenBucket) available() float64 {
	n := b.level
	for _, f := range b.flight {
		n -= float64(f.tokens)
	}
	return n
}

// take grants tokens, which the caller has found available.
func (b *tokenBucket) take(now time.Duration, tokens int) {
	if tokens == 0 {
		return
	}
	// The debit is rounded up to the end of a slot, which bounds the list.
	slot := b.limit.tokenTime() / (inFlightSlots - 1)
	at := (now+b.limit.tokenTime()+slot-1)/slot*slot + 1
	if n := len(b.flight); n > 0 && b.flight[n-1].debitAt >= at {
		b.flight[n-1].tokens += tokens
		return
	}
	b.flight = append(b.flight, inFlight{debitAt: at, tokens: tokens})
}

// Times that refused VMs are told.
const (
	// retryWithoutShares is for a limiter that has too few shares for a token. More may
	// be delegated within a renewal.
	retryWithoutShares = 500 * time.Millisecond
	// maxRetry bounds the time that is told to the last of many VMs. Those before it may
	// not return, and tokens are left unused meanwhile.
	maxRetry = time.Second
)

// promise returns the time after which the next VM that finds no token should ask again,
// counting those told before.
func (b *tokenBucket) promise(now time.Duration, share float64) time.Duration {
	if b.limit.capacity(share) == 0 {
		return retryWithoutShares
	}
	at := b.nextTokenAt(share)
	if b.promisedAt > now {
		at = max(at, b.promisedAt+seconds(1/(b.limit.Rate*share)))
	}
	b.promisedAt = min(at, now+maxRetry)
	return max(b.promisedAt-now, time.Millisecond)
}

// nextTokenAt returns when a token will be available if no shares change. The capacity
// is at least one token.
func (b *tokenBucket) nextTokenAt(share float64) time.Duration {
	c := *b
	c.flight = slices.Clone(b.flight)
	capacity := c.limit.capacity(share)
	for {
		missing := 1 - c.available()
		room := capacity - c.level
		if missing <= room+tolerance || len(c.flight) == 0 {
			return c.updatedAt + seconds(max(missing, 0)/(c.limit.Rate*share))
		}
		c.accrue(c.flight[0].debitAt, share)
	}
}
