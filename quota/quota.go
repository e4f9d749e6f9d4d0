// Package quota divides the customers' limits of operations among VMs, so that the sum
// over all VMs stays within rate x W + burst in every window of length W. Each VM owns an
// equal share of every limit and delegates it to a limiter VM for DelegationTime at a
// time. The limiter pools the shares and grants tokens from them. A VM that reaches no
// limiter uses its own share once its delegation has expired. The argument is in
// docs/design/limits.md.
//
// The package does no I/O and has no clock: each call is given the time.
//
// # Usage
//
// The VM's side, of one hash bucket of customers:
//
//	c := quota.NewClient(self, heldUntil)
//	outcome, retry := c.Admit(now, "choir", limit)         // Ask: no token at hand
//	c.Enqueue("choir")
//	call, ok := c.Next(now, limiters, vms)                 // send call.Request to call.Limiter
//	c.Answered(now, call, response)
//
// The limiter's side, of one hash bucket:
//
//	p := quota.NewPool(now, startedAt, offset)
//	response := p.Allot(now, request, limits)
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of delegations and tokens.
const (
	// DelegationTime is how long a limiter counts a delegation from the stamp that the
	// request echoes.
	DelegationTime = 1500 * time.Millisecond
	// RenewalInterval is the time after which a VM renews a delegation. The stamp that it
	// echoes is that old by then, so that a renewal arrives 0.9 s before the expiry, less
	// the round trip.
	RenewalInterval = 600 * time.Millisecond
	// maxTokenTime and minTokenTime bound the validity of a token. The lower bound leaves
	// time for a round trip between regions, of 40 ms, and for a busy VM.
	maxTokenTime = 300 * time.Millisecond
	minTokenTime = 100 * time.Millisecond
	// singleTokenTime is the validity for customers with so few operations that no tokens
	// are granted to them in advance. A burst that was used up refills that much later.
	singleTokenTime = 150 * time.Millisecond
	// clockMargin covers the drift of two VMs' clocks over a delegation.
	clockMargin = 20 * time.Millisecond
	// HoldTime is how long a VM leaves its share alone from the receipt of the stamp that
	// it echoed. The tokens that the limiter granted last are then expired as well.
	HoldTime = DelegationTime + maxTokenTime + clockMargin
	// AnswerTimeout is how long a VM waits for a limiter's response.
	AnswerTimeout = 300 * time.Millisecond
	// FailureBackoff is how long a limiter that did not respond is not asked.
	FailureBackoff = 2 * time.Second
	// ForecastTime is the time for which a VM asks tokens in advance.
	ForecastTime = 300 * time.Millisecond
)

// Limits on numbers of hash buckets.
const (
	vmsPerBucket = 32
	minBuckets   = 3
)

// Buckets returns the number of hash buckets into which customers are divided, where
// there are as many VMs.
func Buckets(vms int) int { return max(minBuckets, (vms+vmsPerBucket-1)/vmsPerBucket) }

// BucketOf returns the hash bucket of a customer, from 0 to buckets-1.
func BucketOf(customer string, buckets int) int {
	return int(xxhash.Sum64String(customer) % uint64(buckets))
}

// Limit is a customer's limit, summed over all VMs. A rate of zero means none.
type Limit struct {
	// Rate is in operations a second.
	Rate float64
	// Burst is in operations. Less than one counts as one, since the customer could
	// otherwise never be admitted.
	Burst float64
}

func (l Limit) burst() float64 { return max(l.Burst, 1) }

// tokenTime returns the validity of a token from the sending of the request. Tokens that
// may still be used count against the burst, which the validity leaves half of.
func (l Limit) tokenTime() time.Duration {
	if l.Rate*ForecastTime.Seconds() < 1 {
		return singleTokenTime
	}
	return min(max(seconds(l.burst()/(2*l.Rate)), minTokenTime), maxTokenTime)
}

// tolerance is the error of sums of shares and tokens that is made up for.
const tolerance = 1e-6

// capacity returns the most tokens that may be available where the given part of all
// shares is. Less than one token is of no use. At most one place has more than half of
// the shares, and if that has less than one token, no other has any.
func (l Limit) capacity(share float64) float64 {
	c := l.burst() * share
	switch {
	case c >= 1-tolerance:
		return c
	case share > 0.5+tolerance:
		return 1
	default:
		return 0
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Ask is a VM's request for tokens of one customer.
type Ask struct {
	Customer string
	// Waiting is the number of operations that wait for a token.
	Waiting int
	// Extra is the number of operations expected within ForecastTime.
	Extra int
}

// Request is a VM's message to the limiter of a hash bucket.
type Request struct {
	VM string
	// VMs is the number of VMs among which the limits are divided; it also determines
	// the number of hash buckets.
	VMs int
	// Echo is the stamp of the limiter's last response; zero delegates nothing.
	Echo uint64
	Asks []Ask
}

// Allowance is a limiter's answer to one Ask.
type Allowance struct {
	// Granted is the number of tokens.
	Granted int
	// Retry is the time after which a token is expected, if not all waiting operations
	// got one; zero otherwise.
	Retry time.Duration
}

// Response is a limiter's message to a VM.
type Response struct {
	// Stamp is the limiter's time, to be echoed; zero if it is about to stop and takes no
	// delegations any more. It still grants tokens from those that it has.
	Stamp uint64
	// Allowances are in the order of the request's asks.
	Allowances []Allowance
}
