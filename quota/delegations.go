package quota

import (
	"cmp"
	"slices"
	"time"
)

// historyTime is how long changes of the delegated shares are kept. A token bucket that
// was not used for longer starts again empty.
const historyTime = 2 * time.Minute

// delegation is one VM's share and the time until which it is delegated.
type delegation struct {
	share float64
	until time.Duration
}

// change is the sum of shares from a time on.
type change struct {
	at    time.Duration
	share float64
}

// delegations are the shares that are delegated to a limiter, with their recent history.
type delegations struct {
	byVM map[string]delegation
	// changes are in the order of time; the first is the oldest one that is kept.
	changes []change
	// expiry is no later than the first expiry of a delegation.
	expiry time.Duration
}

func newDelegations(now time.Duration) *delegations {
	return &delegations{byVM: map[string]delegation{}, changes: []change{{at: now}}}
}

// share returns the sum of the shares that are delegated now, as of the last expire.
func (d *delegations) share() float64 { return d.changes[len(d.changes)-1].share }

// delegate counts a VM's share until a time. The caller has called expire.
func (d *delegations) delegate(now time.Duration, vm string, share float64, until time.Duration) {
	old, counted := d.byVM[vm]
	if until <= now || counted && until <= old.until {
		return
	}
	d.byVM[vm] = delegation{share: share, until: until}
	if len(d.byVM) == 1 {
		d.expiry = until
	}
	d.expiry = min(d.expiry, until)
	if share != old.share {
		d.record(now)
	}
}

// expire drops the delegations that expired until now, each at its time.
func (d *delegations) expire(now time.Duration) {
	if len(d.byVM) == 0 || now < d.expiry {
		return
	}
	expired := []time.Duration{}
	next := time.Duration(0)
	for _, g := range d.byVM {
		if g.until <= now {
			expired = append(expired, g.until)
		} else if next == 0 || g.until < next {
			next = g.until
		}
	}
	d.expiry = next
	slices.Sort(expired)
	for _, at := range slices.Compact(expired) {
		for vm, g := range d.byVM {
			if g.until <= at {
				delete(d.byVM, vm)
			}
		}
		d.record(at)
	}
}

// record notes the sum of the shares from a time on. Shares above 1 in total, which VMs
// with different numbers of VMs may delegate, are not counted.
func (d *delegations) record(at time.Duration) {
	// The order of a map must not decide about rounding.
	shares := make([]float64, 0, len(d.byVM))
	for _, g := range d.byVM {
		shares = append(shares, g.share)
	}
	slices.Sort(shares)
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	d.changes = append(d.changes, change{at: at, share: min(sum, 1)})
	// The last change before that time is in force at it, and is kept.
	if drop, _ := slices.BinarySearchFunc(d.changes, at-historyTime, compareTime); drop-1 > len(d.changes)/2 {
		d.changes = slices.Delete(d.changes, 0, drop-1)
	}
}

func compareTime(c change, at time.Duration) int { return cmp.Compare(c.at, at) }
