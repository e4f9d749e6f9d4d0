package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/customer"
	"amaranthsill/front"
	"amaranthsill/quota"
)

// limitsInterval is the time between two looks at the configuration and the VMs, on which
// the division of the customers' limits depends.
const limitsInterval = 250 * time.Millisecond

// startupLimitsInterval replaces limitsInterval during startupPeriod. After a loss of all
// VMs nothing is admitted before they have delegated their shares.
const startupLimitsInterval = 50 * time.Millisecond

// joinDelay is how long a VM is registered before it delegates its share. The others have
// learned of it by then, and what they delegated as a part of fewer VMs has expired.
const joinDelay = 2500 * time.Millisecond

// rateLimiter admits operations under the customers' limits, which all VMs together keep. It
// does nothing where no customer has a limit.
type rateLimiter struct {
	*fleet
	// layout is the division of the customers into hash buckets; nil while no customer has
	// a limit.
	layout atomic.Pointer[limitLayout]
	// wake makes run look at the configuration at once.
	wake    chan struct{}
	places  limitRing
	counter vmCounter
	metrics *limitMetrics

	// memberSince is when this VM learned that it is registered; zero if it is not.
	memberSince time.Duration
	// heldUntil is until when the share may be delegated from an earlier layout.
	heldUntil time.Duration

	poolLock sync.Mutex
	pools    map[poolKey]*limitPool
	// offset distinguishes the stamps of this start of the VM.
	offset uint64
}

var _ front.Limiter = (*rateLimiter)(nil)

// newLimits returns the rate limiter of a VM that has just started.
func newLimits(f *fleet) *rateLimiter {
	l := &rateLimiter{
		fleet:   f,
		wake:    make(chan struct{}, 1),
		counter: vmCounter{seen: map[string]time.Duration{}, left: map[string]bool{}},
		metrics: newLimitMetrics(),
		pools:   map[poolKey]*limitPool{},
		offset:  rand.Uint64(),
	}
	return l
}

// Admit implements front.Limiter. It waits quota.AnswerTimeout at most.
func (l *rateLimiter) Admit(ctx context.Context, c *customer.Customer) (time.Duration, bool) {
	if c == nil || c.Rate <= 0 {
		return 0, true
	}
	layout := l.awaitLayout(ctx)
	if layout == nil {
		return withJitter(limitsInterval), false
	}
	b := layout.buckets[quota.BucketOf(c.Name, len(layout.buckets))]
	retry, ok := b.admit(ctx, c.Name, quota.Limit{Rate: c.Rate, Burst: c.Burst})
	if ok {
		return 0, true
	}
	return withJitter(retry), false
}

// layoutCheckInterval is the time between two looks for a layout.
const layoutCheckInterval = 10 * time.Millisecond

// awaitLayout returns the layout in use. There is none yet when the configuration has just
// come into force; nil if that takes longer than quota.AnswerTimeout.
func (l *rateLimiter) awaitLayout(ctx context.Context) *limitLayout {
	for waited := time.Duration(0); ctx.Err() == nil; waited += layoutCheckInterval {
		if layout := l.layout.Load(); layout != nil || waited >= quota.AnswerTimeout {
			return layout
		}
		l.wakeUp()
		sleep(ctx, layoutCheckInterval)
	}
	return nil
}

// withJitter lengthens a time by up to half, so that callers do not retry in unison.
func withJitter(d time.Duration) time.Duration { return d + rand.N(d/2+1) }

// wakeUp makes run look at the configuration at once.
func (l *rateLimiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// limitLayout is the division of the customers into hash buckets.
type limitLayout struct {
	buckets []*limitBucket
	// cancel ends what the hash buckets do.
	cancel context.CancelFunc
}

// run keeps the division of the limits up to date until the context ends.
func (l *rateLimiter) run(ctx context.Context) {
	var checked *catalog.Configuration
	limited := false
	for ctx.Err() == nil {
		if c := l.catalog.Current(); c != checked {
			checked, limited = c, hasLimits(c)
			l.forget()
		}
		if limited {
			l.update(ctx)
		} else {
			l.replaceLayout(nil)
		}
		select {
		case <-l.wake:
		case <-time.After(l.interval()):
		case <-ctx.Done():
		}
	}
}

// interval returns the time until the next look.
func (l *rateLimiter) interval() time.Duration {
	if l.Now()-l.startedAt < startupPeriod {
		return startupLimitsInterval
	}
	return limitsInterval
}

// hasLimits reports whether any customer of a configuration has a limit.
func hasLimits(c *catalog.Configuration) bool {
	if c == nil || c.Customers == nil {
		return false
	}
	for _, n := range c.Customers.All() {
		if n.Rate > 0 {
			return true
		}
	}
	return false
}

// update divides the customers by the number of VMs, and tells the hash buckets which VMs
// are their limiters.
func (l *rateLimiter) update(ctx context.Context) {
	members := l.directory.members()
	vms := max(l.counter.count(l.Now(), members, l.directory.leavers()), l.expectedVMs(), 1)
	layout := l.layout.Load()
	if layout == nil || len(layout.buckets) != quota.Buckets(vms) {
		layout = l.newLayout(ctx, quota.Buckets(vms))
	}
	_, isMember := members.zone(l.Settings.Zone()).byName[l.Settings.VM()]
	mayDelegate := l.counted(isMember) && l.registered.Load() && !l.stopping.Load()
	mayUseOwn := isMember && l.established()
	for _, b := range layout.buckets {
		b.update(l.placesOf(members, vms, b.index), mayDelegate, mayUseOwn)
	}
	l.retirePools()
}

// counted reports whether the other VMs count this one among those that own a share, given
// whether it is registered as far as it knows. When the whole system starts for the first
// time, it need not wait: all token buckets are empty, which makes up for what VMs that
// know few others delegate at first. Nor need a VM that returns while the entry of its
// earlier start is there, since the others counted that.
func (l *rateLimiter) counted(isMember bool) bool {
	now := l.Now()
	switch {
	case !isMember:
		l.memberSince = 0
		return false
	case l.memberSince == 0:
		l.memberSince = now
	}
	atStart := l.memberSince-l.startedAt < establishedAfter
	return atStart && (l.Settings.FirstStart() || l.directory.Returned()) || now-l.memberSince >= joinDelay
}

// newLayout starts as many hash buckets in place of those before.
func (l *rateLimiter) newLayout(ctx context.Context, buckets int) *limitLayout {
	ctx, cancel := context.WithCancel(ctx)
	layout := &limitLayout{cancel: cancel}
	l.replaceLayout(layout)
	for i := range buckets {
		b := newLimitBucket(l, i, l.heldUntil)
		layout.buckets = append(layout.buckets, b)
		go runDuty(ctx, l.Log, "ask for tokens of a hash bucket", b.run)
	}
	l.layout.Store(layout)
	l.Log.Info("customers with limits are divided", "buckets", buckets)
	return layout
}

// replaceLayout ends the layout in use. What its hash buckets delegated stays delegated
// until it expires.
func (l *rateLimiter) replaceLayout(next *limitLayout) {
	old := l.layout.Load()
	if old == nil || old == next {
		return
	}
	l.layout.Store(nil)
	old.cancel()
	for _, b := range old.buckets {
		l.heldUntil = max(l.heldUntil, b.close())
	}
}

// forget drops what is kept for customers without a limit in the configuration in force.
func (l *rateLimiter) forget() {
	if layout := l.layout.Load(); layout != nil {
		for _, b := range layout.buckets {
			b.forget()
		}
	}
}

// limitOf returns the limit of a customer; false if the configuration in force has no such
// customer.
func (v *VM) limitOf(name string) (quota.Limit, bool) {
	c := v.catalog.Current()
	if c == nil || c.Customers == nil {
		return quota.Limit{}, false
	}
	n, ok := c.Customers.Named(name)
	if !ok {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: n.Rate, Burst: n.Burst}, true
}
