package quota

import (
	"math"
	"time"
)

// maxBatches is the number of batches of tokens with different expiries that a VM keeps
// for one customer. Tokens of further batches expire with the earliest of the last two.
const maxBatches = 4

// demandTime is the time constant of the average rate of a customer's operations.
const demandTime = 500 * time.Millisecond

// batch is a number of tokens that expire at a time.
type batch struct {
	tokens    int
	expiresAt time.Duration
}

// account is a VM's side of one customer's limit: the tokens that it holds, and until
// when it refuses operations without asking.
type account struct {
	limit Limit
	// batches hold the tokens, the earliest expiry first.
	batches [maxBatches]batch
	count   int
	// refusedUntil is when a token is expected, if the customer is over its limit.
	refusedUntil time.Duration
	// shortfalls is the number of responses in succession that granted too little.
	shortfalls int
	// askAfter is the earliest time of the next request for tokens.
	askAfter time.Duration
	// waiting is the number of operations that wait for a token.
	waiting int
	// demand is the decaying average of operations a second, at the time demandAt.
	demand   float64
	demandAt time.Duration
	// share is the token bucket of the VM's own share, from ownSince on; zero if it was
	// not used since.
	share    float64
	shareAt  time.Duration
	ownSince time.Duration
}

// observe counts an operation in the average demand.
func (a *account) observe(now time.Duration) {
	a.decay(now)
	a.demand += 1 / demandTime.Seconds()
}

func (a *account) decay(now time.Duration) {
	if elapsed := now - a.demandAt; elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		a.demandAt = now
	}
}

// take uses one token that has not expired; false if there is none.
func (a *account) take(now time.Duration) bool {
	expired := 0
	for expired < a.count && a.batches[expired].expiresAt <= now {
		expired++
	}
	a.drop(expired)
	if a.count == 0 {
		return false
	}
	a.batches[0].tokens--
	if a.batches[0].tokens == 0 {
		a.drop(1)
	}
	return true
}

// drop removes the first batches.
func (a *account) drop(batches int) {
	if batches == 0 {
		return
	}
	copy(a.batches[:], a.batches[batches:a.count])
	a.count -= batches
}

// held returns the number of tokens that have not expired.
func (a *account) held(now time.Duration) int {
	n := 0
	for _, b := range a.batches[:a.count] {
		if b.expiresAt > now {
			n += b.tokens
		}
	}
	return n
}

// put adds tokens.
func (a *account) put(now time.Duration, tokens int, expiresAt time.Duration) {
	if tokens <= 0 || expiresAt <= now {
		return
	}
	if a.count < maxBatches {
		a.batches[a.count] = batch{tokens: tokens, expiresAt: expiresAt}
		a.count++
		return
	}
	last := &a.batches[maxBatches-1]
	last.tokens += tokens
	last.expiresAt = min(last.expiresAt, expiresAt)
}

// setLimit applies the limit of a new version. Tokens granted under a higher one are
// given up.
func (a *account) setLimit(l Limit) {
	if l == a.limit {
		return
	}
	if l.Rate < a.limit.Rate || l.Burst < a.limit.Burst {
		a.count = 0
	}
	a.limit = l
	a.refusedUntil, a.askAfter, a.shortfalls = 0, 0, 0
}

// extra returns the number of tokens to ask in advance.
func (a *account) extra(now time.Duration) int {
	a.decay(now)
	expected := int(a.demand*ForecastTime.Seconds()) - a.waiting - a.held(now)
	return max(expected, 0)
}

// Pauses between requests for tokens of a customer that gets less than it asks for.
const (
	// minPause doubles with each response that grants too little, up to maxPause.
	minPause = 50 * time.Millisecond
	maxPause = 250 * time.Millisecond
	// gatherPause is the pause after a response that grants the waiting operations a
	// token but not those expected. Those that come meanwhile share a request. It is also
	// the longest time for which operations wait when a token is missing for once.
	gatherPause = 100 * time.Millisecond
)

// pause returns the least time until tokens are asked again after a refusal. Tokens that
// accrue meanwhile must fit into the burst.
func (a *account) pause() time.Duration {
	p := min(minPause<<min(a.shortfalls, 8), maxPause)
	return min(p, max(seconds(a.limit.burst()/(4*a.limit.Rate)), minPause/2))
}

// answered applies the answer to one ask.
func (a *account) answered(now, sentAt time.Duration, asked Ask, r Allowance) {
	a.put(now, r.Granted, sentAt+a.limit.tokenTime())
	switch {
	case r.Granted < asked.Waiting && a.shortfalls == 0 && r.Retry <= gatherPause:
		a.askAfter = now + r.Retry
		a.shortfalls++
	case r.Granted < asked.Waiting:
		a.refusedUntil = now + max(r.Retry, a.pause())
		a.shortfalls++
	case r.Granted < asked.Waiting+asked.Extra:
		a.askAfter = sentAt + gatherPause
	default:
		a.shortfalls = 0
	}
}

// takeOwn uses a token of the VM's own share, which it uses since the given time; if there
// is none, the result is the time after which there is one.
func (a *account) takeOwn(now, since time.Duration, share float64) (time.Duration, bool) {
	if a.ownSince != since {
		a.share, a.shareAt, a.ownSince = 0, since, since
	}
	capacity := a.limit.capacity(share)
	if now > a.shareAt {
		a.share += a.limit.Rate * share * (now - a.shareAt).Seconds()
		a.shareAt = now
	}
	a.share = min(a.share, capacity)
	if a.share >= 1-tolerance {
		a.share--
		return 0, true
	}
	if capacity == 0 {
		return maxRetry, false
	}
	return seconds((1 - a.share) / (a.limit.Rate * share)), false
}
