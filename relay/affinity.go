package relay

import (
	"cmp"
	"time"

	"amaranthsill/pool"
)

// wantedTimeout is how long after the last statement that would use it an unreachable
// holder is still probed. VMs that have left are forgotten in this way.
const wantedTimeout = 10 * time.Second

// refusalBackoff is how long a holder that refused a link to a target is not asked for
// another one by customers. It has begun or ceased to hold the target within that time,
// or the views of the two VMs agree.
const refusalBackoff = time.Second

// Affinity implements pool.Dialer. It is empty for a direct connection, and where the
// holders are the same for all customers. Otherwise it is the address of the holder
// through which the customer's statements go, so that links are shared by the
// customers with the same holder.
func (d *Dialer) Affinity(t pool.Target, customer string) string {
	h := d.Holders(t, customer)
	if h.Self || !h.ByCustomer {
		return ""
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.Now()
	leaving := ""
	for _, address := range h.Addresses {
		if d.unavailable(address, t.ID, now) {
			continue
		}
		if !d.isLeaving(address, now) {
			return address
		}
		leaving = cmp.Or(leaving, address)
	}
	return leaving
}

// IsFallback reports whether this VM reaches a target only by a direct connection of
// its own, of which it may have one, because no holder of the target is available.
func (d *Dialer) IsFallback(t pool.Target) bool {
	h := d.Holders(t, "")
	if h.Self || !h.ByCustomer {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.Now()
	for _, address := range h.Addresses {
		if !d.unavailable(address, t.ID, now) {
			return false
		}
	}
	return true
}

// unavailable reports whether a holder is skipped for customers' statements on a target,
// because it does not answer or refused a link to the target. It records that the holder
// is wanted. The lock must be held.
func (d *Dialer) unavailable(address, target string, now time.Duration) bool {
	p := d.holderStates[address]
	if p == nil {
		return false
	}
	p.wantedAt = max(now, 1)
	return p.down || now < p.refusedUntil[target]
}

// leavingTimeout is how long a holder that is about to stop comes last. It has stopped,
// and its entry has gone, within that time.
const leavingTimeout = 10 * time.Second

// isLeaving reports whether a holder is about to stop. The lock must be held.
func (d *Dialer) isLeaving(address string, now time.Duration) bool {
	p := d.holderStates[address]
	return p != nil && now < p.leavingUntil
}

// leavingLast returns the addresses of holders in the order in which they are tried.
// Where the order depends on the customer, those about to stop come last: an order that
// arrives once they have closed the link would be answered by nobody.
func (d *Dialer) leavingLast(h Holders) []string {
	if !h.ByCustomer {
		return h.Addresses
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.Now()
	order, leaving := make([]string, 0, len(h.Addresses)), []string{}
	for _, address := range h.Addresses {
		if d.isLeaving(address, now) {
			leaving = append(leaving, address)
			continue
		}
		order = append(order, address)
	}
	return append(order, leaving...)
}

// recordRefusal records that a holder refused a link to a target.
func (d *Dialer) recordRefusal(address, target string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.holderState(address)
	if p.refusedUntil == nil {
		p.refusedUntil = map[string]time.Duration{}
	}
	p.refusedUntil[target] = d.Now() + refusalBackoff
}

// isDueForRetry reports whether an unreachable holder is to be probed again.
func (p *holderState) isDueForRetry(now time.Duration) bool {
	return p.down && now >= p.avoidUntil && p.wantedAt != 0 && now-p.wantedAt < wantedTimeout
}

// version returns the version of the configuration in force if that has customers,
// else zero.
func (d *Dialer) version() uint64 {
	if d.Version == nil {
		return 0
	}
	return d.Version()
}
