package quota

import (
	"slices"
	"strings"
	"time"
)

// Call is a request to a limiter.
type Call struct {
	Limiter string
	SentAt  time.Duration
	// Timeout is how long to wait for the response.
	Timeout time.Duration
	Request
}

// probeTimeout bounds a call that only gets the stamp of a limiter which may have failed.
// Operations wait meanwhile, which the limiter in use could serve.
const probeTimeout = 100 * time.Millisecond

// Next returns the request that is due now, if any: one with asks as soon as operations
// wait for tokens, and one that renews the delegation after RenewalInterval. The limiters
// are given in the order of preference, and the number of VMs is the one among which the
// limits are divided. The request has to be sent at once; its SentAt is now.
func (c *Client) Next(now time.Duration, limiters []string, vms int) (Call, bool) {
	c.share = 1 / float64(vms)
	limiter := c.choose(now, limiters)
	c.unreachable = limiter == ""
	if c.unreachable {
		c.useOwnShare(now)
		return Call{}, false
	}
	call := Call{Limiter: limiter, SentAt: now, Timeout: AnswerTimeout, Request: Request{VM: c.vm, VMs: vms}}
	renewal := c.renewedAt == 0 || now-c.renewedAt >= RenewalInterval
	switch {
	case c.held(now) && limiter != c.delegatedTo && renewal:
		call.Timeout = probeTimeout
	case c.held(now) && limiter != c.delegatedTo:
		// The limiter is about to change. The earlier one has the shares of the VMs until
		// their delegations expire.
		call.Limiter, call.Asks = c.delegatedTo, c.asks(now)
		return call, len(call.Asks) > 0 && now < c.delegatedUntil && !c.failed(now, c.delegatedTo)
	default:
		call.Asks = c.asks(now)
		delegates := c.mayDelegate && (limiter == c.delegatedTo || now >= c.heldUntil) && c.fresh(now, limiter)
		if !renewal && len(call.Asks) == 0 && (!delegates || now < c.heldUntil) {
			return Call{}, false
		}
		if delegates {
			c.delegate(&call)
		}
	}
	c.renewedAt = max(now, 1)
	return call, true
}

// delegate makes a call delegate the share. The limiter gave the stamp that it echoes
// before the VM received it.
func (c *Client) delegate(call *Call) {
	s := c.stamps[call.Limiter]
	call.Echo = s.value
	c.delegatedTo = call.Limiter
	c.delegatedUntil = s.receivedAt + DelegationTime
	c.heldUntil = max(c.heldUntil, s.receivedAt+HoldTime)
	c.ownSince = 0
}

// Due returns when Next is to be called again, if no further operation waits before.
func (c *Client) Due(now time.Duration) time.Duration {
	at := c.renewedAt + RenewalInterval
	if c.unreachable {
		at = now + RenewalInterval
		for _, failed := range c.failedAt {
			at = min(at, failed+FailureBackoff)
		}
	}
	if now < c.heldUntil {
		at = min(at, c.heldUntil)
	}
	for _, a := range c.accounts {
		if a.waiting > 0 {
			at = min(at, max(a.askAfter, now+minRetryTime))
		}
	}
	return max(at, now+time.Millisecond)
}

// minRetryTime is the least time between two looks at operations that cannot be asked
// for yet.
const minRetryTime = 10 * time.Millisecond

// choose returns the first limiter that has neither failed lately nor takes no
// delegations any more; empty if there is none.
func (c *Client) choose(now time.Duration, limiters []string) string {
	i := slices.IndexFunc(limiters, func(l string) bool { return !c.failed(now, l) && !c.retired(now, l) })
	if i < 0 {
		return ""
	}
	return limiters[i]
}

// fresh reports whether a limiter's stamp is recent enough for a delegation.
func (c *Client) fresh(now time.Duration, limiter string) bool {
	s, ok := c.stamps[limiter]
	return ok && now-s.sentAt < DelegationTime
}

// useOwnShare begins to use the own share, once it is delegated to nobody.
func (c *Client) useOwnShare(now time.Duration) {
	if c.ownSince == 0 && c.mayUseOwn && now >= c.heldUntil {
		c.ownSince = max(now, 1)
	}
}

// asks returns what to ask for the customers whose operations wait, and for those that
// will soon need tokens, sorted by name.
func (c *Client) asks(now time.Duration) []Ask {
	asks := []Ask{}
	for name, a := range c.accounts {
		if a.waiting > 0 && now >= a.askAfter {
			asks = append(asks, Ask{Customer: name, Waiting: a.waiting, Extra: a.extra(now)})
		}
	}
	slices.SortFunc(asks, func(a, b Ask) int { return strings.Compare(a.Customer, b.Customer) })
	return asks
}

// Answered applies a limiter's response. Operations that wait are then to be retried in
// the order of their arrival.
func (c *Client) Answered(now time.Duration, call Call, r Response) {
	delete(c.failedAt, call.Limiter)
	if r.Stamp == 0 {
		c.retire(now, call.Limiter)
	} else {
		c.stamped(now, call, r.Stamp)
	}
	if now >= call.SentAt+call.Timeout {
		return
	}
	for i, ask := range call.Asks {
		if a := c.accounts[ask.Customer]; a != nil && i < len(r.Allowances) {
			a.answered(now, call.SentAt, ask, r.Allowances[i])
		}
	}
}

// retire records that a limiter takes no delegations any more.
func (c *Client) retire(now time.Duration, limiter string) {
	if !c.retired(now, limiter) {
		// The next limiter's stamp is needed by the time at which the delegation expires.
		c.renewedAt = 0
	}
	c.retiredAt[limiter] = now
	delete(c.stamps, limiter)
}

// stamped records a limiter's stamp.
func (c *Client) stamped(now time.Duration, call Call, value uint64) {
	if !c.fresh(now, call.Limiter) && c.renewedAt == call.SentAt {
		// The call delegated nothing.
		c.renewedAt = 0
	}
	c.stamps[call.Limiter] = stamp{value: value, sentAt: call.SentAt, receivedAt: now}
}

// Failed records that a limiter did not respond to a call.
func (c *Client) Failed(now time.Duration, call Call) {
	c.failedAt[call.Limiter] = now
	delete(c.stamps, call.Limiter)
	// The next limiter's stamp is needed by the time at which the delegation expires.
	c.renewedAt = 0
}
