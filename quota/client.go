package quota

import (
	"time"
)

// Outcome is what becomes of an operation.
type Outcome uint8

// The outcomes of Client.Admit.
const (
	// Admitted means that a token was used.
	Admitted Outcome = iota
	// Refused means that the customer is known to be over its limit, or that no limiter
	// can be asked now.
	Refused
	// Undecided means that a limiter has to be asked first.
	Undecided
)

// Client is a VM's side of one hash bucket: what it has delegated to whom, and the tokens
// that it holds. It is not safe for concurrent use.
type Client struct {
	vm string
	// delegatedTo is the limiter to which the share was delegated last; empty if that is
	// not known. It counts the delegation until delegatedUntil at the latest.
	delegatedTo    string
	delegatedUntil time.Duration
	// heldUntil is when the share may be used or delegated elsewhere.
	heldUntil time.Duration
	// stamps holds the last stamp of each limiter.
	stamps map[string]stamp
	// failedAt holds when a limiter last failed to respond.
	failedAt map[string]time.Duration
	// retiredAt holds when a limiter last said that it takes no delegations any more.
	retiredAt map[string]time.Duration
	// renewedAt is when the last call was sent that was not only for tokens of an earlier
	// limiter.
	renewedAt time.Duration
	// unreachable reports that no limiter can be asked; ownSince is since when the own
	// share is used, zero if it is not.
	unreachable bool
	ownSince    time.Duration
	// share is the part of all shares that the VM owns.
	share float64
	// mayDelegate and mayUseOwn are what SetStanding allows.
	mayDelegate, mayUseOwn bool
	accounts               map[string]*account
}

// retirementTime is how long a limiter that takes no delegations any more is not asked for
// a stamp. It may have started again by then: a longer time would leave it with its own
// share alone.
const retirementTime = FailureBackoff

// stamp is a limiter's stamp, which it gave between the sending of a request and the
// receipt of the response.
type stamp struct {
	value              uint64
	sentAt, receivedAt time.Duration
}

// NewClient returns the client of a VM. Until heldUntil the VM's share may still be
// delegated, as after a restart: HoldTime from the start of the process.
func NewClient(vm string, heldUntil time.Duration) *Client {
	return &Client{vm: vm, heldUntil: heldUntil, stamps: map[string]stamp{}, failedAt: map[string]time.Duration{}, retiredAt: map[string]time.Duration{}, accounts: map[string]*account{}}
}

// HeldUntil returns when the VM's share may be used or delegated elsewhere.
func (c *Client) HeldUntil() time.Duration { return c.heldUntil }

// UsesOwnShare reports whether the VM uses its own share.
func (c *Client) UsesOwnShare() bool { return c.ownSince != 0 }

// SetStanding says whether the VM may delegate its share, as it is registered, and
// whether it may use it itself, as all VMs know that.
func (c *Client) SetStanding(mayDelegate, mayUseOwn bool) {
	c.mayDelegate, c.mayUseOwn = mayDelegate, mayUseOwn
	if !mayUseOwn {
		c.ownSince = 0
	}
}

// account returns the account of a customer, under the limit in force.
func (c *Client) account(customer string, l Limit) *account {
	a := c.accounts[customer]
	if a == nil {
		a = &account{limit: l}
		c.accounts[customer] = a
	}
	a.setLimit(l)
	return a
}

// Admit decides on one new operation. If it is refused, the result is the time after
// which it may be tried again.
func (c *Client) Admit(now time.Duration, customer string, l Limit) (Outcome, time.Duration) {
	a := c.account(customer, l)
	a.observe(now)
	return c.decide(now, a)
}

// Retry is Admit for an operation that has waited.
func (c *Client) Retry(now time.Duration, customer string, l Limit) (Outcome, time.Duration) {
	return c.decide(now, c.account(customer, l))
}

func (c *Client) decide(now time.Duration, a *account) (Outcome, time.Duration) {
	if a.take(now) {
		return Admitted, 0
	}
	if c.ownSince != 0 {
		wait, ok := a.takeOwn(now, c.ownSince, c.share)
		if ok {
			return Admitted, 0
		}
		return Refused, wait
	}
	if now < a.refusedUntil {
		return Refused, a.refusedUntil - now
	}
	if c.unreachable || c.held(now) && c.failed(now, c.delegatedTo) {
		return Refused, max(c.heldUntil-now, RenewalInterval)
	}
	return Undecided, 0
}

// held reports whether the share is still delegated to a limiter that is known.
func (c *Client) held(now time.Duration) bool { return c.delegatedTo != "" && now < c.heldUntil }

// failed reports whether a limiter failed to respond within FailureBackoff.
func (c *Client) failed(now time.Duration, limiter string) bool {
	at, ok := c.failedAt[limiter]
	return ok && now-at < FailureBackoff
}

// retired reports whether a limiter said lately that it takes no delegations any more.
func (c *Client) retired(now time.Duration, limiter string) bool {
	at, ok := c.retiredAt[limiter]
	return ok && now-at < retirementTime
}

// Limiter returns the limiter to which the share was delegated last.
func (c *Client) Limiter() string { return c.delegatedTo }

// Enqueue counts an operation of a customer that waits for a token.
func (c *Client) Enqueue(customer string) { c.accounts[customer].waiting++ }

// Dequeue reverses Enqueue.
func (c *Client) Dequeue(customer string) { c.accounts[customer].waiting-- }

// Forget drops the accounts of customers without waiting operations that the
// configuration in force does not have, or that have no limit.
func (c *Client) Forget(limits Limits) {
	for name, a := range c.accounts {
		if l, known := limits(name); a.waiting == 0 && (!known || l.Rate <= 0) {
			delete(c.accounts, name)
		}
	}
}
