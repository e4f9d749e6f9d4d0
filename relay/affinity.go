package relay

import (
	"time"

	"amaranthsill/pool"
)

// wantedTimeout is how long after the last statement that would use it an unreachable
// holder is still probed. VMs that have left are forgotten in this way.
const wantedTimeout = 10 * time.Second

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
	for _, address := range h.Addresses {
		if !d.isDown(address, now) {
			return address
		}
	}
	return ""
}

// IsFallback reports whether this VM reaches a target only by a direct connection of
// its own, of which it may have one, because no holder of the target answers.
func (d *Dialer) IsFallback(t pool.Target) bool {
	h := d.Holders(t, "")
	if h.Self || !h.ByCustomer {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, address := range h.Addresses {
		if p := d.holderStates[address]; p == nil || !p.down {
			return false
		}
	}
	return true
}

// isDown reports whether a holder of customers' statements is skipped, and records
// that it is wanted. The lock must be held.
func (d *Dialer) isDown(address string, now time.Duration) bool {
	p := d.holderStates[address]
	if p == nil {
		return false
	}
	p.wantedAt = max(now, 1)
	return p.down
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
