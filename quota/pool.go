package quota

import "time"

// activeTime is how long a VM counts as one that wants tokens of a customer.
const activeTime = time.Second

// Pool is the limiter's side of one hash bucket: the shares that VMs have delegated and
// a token bucket for each customer. It is not safe for concurrent use.
type Pool struct {
	// offset distinguishes the stamps of this start of the limiter from earlier ones.
	offset uint64
	// opensAt is when delegations begin to count.
	opensAt time.Duration
	// retired reports that no further delegations are taken.
	retired     bool
	delegations *delegations
	customers   map[string]*pooled
}

// pooled is a customer's token bucket and the VMs that lately wanted tokens of it.
type pooled struct {
	*tokenBucket
	askedAt map[string]time.Duration
}

// NewPool returns a pool without shares, of a limiter that started at the given time. The
// offset is a random number that differs for each start. Tokens that an earlier start
// granted expire before delegations count.
func NewPool(now, startedAt time.Duration, offset uint64) *Pool {
	return &Pool{offset: offset, opensAt: startedAt + maxTokenTime, delegations: newDelegations(now), customers: map[string]*pooled{}}
}

// Limits returns a customer's limit; false if the configuration in force has no such
// customer.
type Limits func(customer string) (Limit, bool)

// Allot counts the sender's delegation and grants tokens.
func (p *Pool) Allot(now time.Duration, q Request, limits Limits) Response {
	p.delegations.expire(now)
	if at, ok := p.stampedAt(now, q.Echo); ok && q.VMs > 0 && now >= p.opensAt && !p.retired {
		p.delegations.delegate(now, q.VM, 1/float64(q.VMs), at+DelegationTime)
	}
	r := Response{Stamp: p.offset + uint64(now), Allowances: make([]Allowance, 0, len(q.Asks))}
	if p.retired {
		r.Stamp = 0
	}
	for _, a := range q.Asks {
		r.Allowances = append(r.Allowances, p.allow(now, q.VM, a, limits))
	}
	return r
}

// Retire makes the pool take no further delegations, so that the VMs change to another
// limiter.
func (p *Pool) Retire() { p.retired = true }

// Share returns the part of all shares that is delegated to this pool.
func (p *Pool) Share(now time.Duration) float64 {
	p.delegations.expire(now)
	return p.delegations.share()
}

// stampedAt returns when a stamp was given; false if it is not one of this start of the
// limiter, or too old to delegate anything.
func (p *Pool) stampedAt(now time.Duration, stamp uint64) (time.Duration, bool) {
	if stamp == 0 {
		return 0, false
	}
	age := time.Duration(uint64(now) + p.offset - stamp)
	return now - age, age >= 0 && age < DelegationTime
}

// allow answers one ask.
func (p *Pool) allow(now time.Duration, vm string, a Ask, limits Limits) Allowance {
	l, known := limits(a.Customer)
	switch {
	case !known:
		// The sender has another version of the configuration.
		return Allowance{Retry: retryWithoutShares}
	case l.Rate <= 0:
		return Allowance{Granted: a.Waiting + a.Extra}
	}
	c := p.customers[a.Customer]
	if c == nil {
		c = &pooled{tokenBucket: newTokenBucket(now, l, p.delegations), askedAt: map[string]time.Duration{}}
		p.customers[a.Customer] = c
	}
	c.setLimit(now, l, p.delegations)
	c.advance(now, p.delegations)
	c.askedAt[vm] = now
	return c.grant(now, a, p.delegations.share())
}

// grant takes tokens for the waiting operations as far as available, and for those that
// the VM expects.
func (c *pooled) grant(now time.Duration, a Ask, share float64) Allowance {
	r := Allowance{Granted: min(a.Waiting, whole(c.available()))}
	if r.Granted < a.Waiting {
		r.Retry = c.promise(now, share)
	} else {
		r.Granted += min(a.Extra, whole(c.spare(now, r.Granted, share)))
	}
	c.take(now, r.Granted)
	return r
}

// spare returns how many tokens may be granted in advance after the given number: what is
// over half of the capacity, or else an equal part for each VM that wants some.
func (c *pooled) spare(now time.Duration, granted int, share float64) float64 {
	left := c.available() - float64(granted)
	return max(left-c.limit.capacity(share)/2, left/float64(c.active(now)))
}

// active returns the number of VMs that asked within activeTime.
func (c *pooled) active(now time.Duration) int {
	for vm, at := range c.askedAt {
		if now-at > activeTime {
			delete(c.askedAt, vm)
		}
	}
	return max(len(c.askedAt), 1)
}

// whole returns the number of whole tokens.
func whole(tokens float64) int { return int(max(tokens+tolerance, 0)) }
