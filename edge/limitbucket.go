package edge

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
	"amaranthsill/quota"
)

// limitBucket is one hash bucket of customers on this VM: the tokens that it holds, and
// the operations that wait for some. One call to the limiter is in flight at a time;
// operations that arrive meanwhile share the next.
type limitBucket struct {
	*rateLimiter
	index int
	// wake tells run that an operation waits, or that the places changed.
	wake chan struct{}

	lock    sync.Mutex
	client  *quota.Client
	waiting []*limitWaiter
	places  limitPlaces
	// mayDelegate is what update was told last.
	mayDelegate bool
	closed      bool
	// ownShare is the last state that was logged.
	ownShare bool
}

// limitWaiter is an operation that waits for a token.
type limitWaiter struct {
	customer string
	limit    quota.Limit
	decided  chan limitDecision
}

// limitDecision is the result of Admit.
type limitDecision struct {
	retry time.Duration
	ok    bool
}

func newLimitBucket(l *rateLimiter, index int, heldUntil time.Duration) *limitBucket {
	return &limitBucket{rateLimiter: l, index: index, wake: make(chan struct{}, 1), client: quota.NewClient(l.Settings.VM(), heldUntil)}
}

// admit decides on an operation, and waits for the limiter if there is no token.
func (b *limitBucket) admit(ctx context.Context, name string, limit quota.Limit) (time.Duration, bool) {
	b.lock.Lock()
	if b.closed {
		// Another division of the customers replaces this one.
		b.lock.Unlock()
		return limitsInterval, false
	}
	outcome, retry := b.client.Admit(b.Now(), name, limit)
	if outcome != quota.Undecided {
		b.lock.Unlock()
		b.metrics.decided(name, outcome == quota.Admitted)
		return retry, outcome == quota.Admitted
	}
	w := &limitWaiter{customer: name, limit: limit, decided: make(chan limitDecision, 1)}
	b.client.Enqueue(name)
	b.waiting = append(b.waiting, w)
	b.lock.Unlock()
	b.wakeUp()
	d := b.await(ctx, w)
	b.metrics.decided(name, d.ok)
	return d.retry, d.ok
}

// wakeUp makes run look at what is due.
func (b *limitBucket) wakeUp() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// await returns the decision on an operation, which is a refusal after
// quota.AnswerTimeout.
func (b *limitBucket) await(ctx context.Context, w *limitWaiter) limitDecision {
	t := time.NewTimer(quota.AnswerTimeout)
	defer t.Stop()
	select {
	case d := <-w.decided:
		return d
	case <-t.C:
	case <-ctx.Done():
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		b.client.Dequeue(w.customer)
		return limitDecision{retry: quota.AnswerTimeout}
	}
	return <-w.decided
}

// update tells which VMs are the limiters, and what the VM may do with its share.
func (b *limitBucket) update(p limitPlaces, mayDelegate, mayUseOwn bool) {
	b.lock.Lock()
	changed := b.places.vms == 0 || mayDelegate != b.mayDelegate
	b.places, b.mayDelegate = p, mayDelegate
	b.client.SetStanding(mayDelegate, mayUseOwn)
	b.lock.Unlock()
	if changed {
		b.wakeUp()
	}
}

// close refuses all operations that wait, and returns until when the VM's share may still
// be delegated. Nothing is delegated after it.
func (b *limitBucket) close() time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.closed = true
	for _, w := range b.waiting {
		w.decided <- limitDecision{retry: limitsInterval}
	}
	b.waiting = nil
	return b.client.HeldUntil()
}

// forget drops what is kept for customers without a limit.
func (b *limitBucket) forget() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.client.Forget(b.limitOf)
}

// run calls the limiters until the context ends.
func (b *limitBucket) run(ctx context.Context) {
	for ctx.Err() == nil {
		call, address, due := b.next()
		if call != nil {
			b.exchange(ctx, *call, address)
			continue
		}
		t := time.NewTimer(due)
		select {
		case <-b.wake:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// next returns the call that is due and the limiter's address, or else after what time to
// look again.
func (b *limitBucket) next() (call *quota.Call, address string, due time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.closed || b.places.vms == 0 {
		return nil, "", limitsInterval
	}
	now := b.Now()
	before := b.client.Limiter()
	c, ok := b.client.Next(now, b.places.order, b.places.vms)
	b.logChange(before)
	if !ok {
		b.settle(now)
		return nil, "", b.client.Due(now) - now
	}
	return &c, b.places.addresses[c.Limiter], 0
}

// logChange logs a change of the limiter, or of the use of the VM's own share. The caller
// holds the lock.
func (b *limitBucket) logChange(before string) {
	if l := b.client.Limiter(); l != before {
		b.Log.Info("VM's share of limits is delegated to another limiter", "bucket", b.index, "limiter", l, "before", before)
	}
	if own := b.client.UsesOwnShare(); own != b.ownShare {
		b.ownShare = own
		b.Log.Info("use of the VM's own share of limits changed", "bucket", b.index, "own", own, "vms", b.places.vms)
	}
}

// settle decides on the operations that wait, in the order of their arrival. The caller
// holds the lock.
func (b *limitBucket) settle(now time.Duration) {
	left := b.waiting[:0]
	for _, w := range b.waiting {
		outcome, retry := b.client.Retry(now, w.customer, w.limit)
		if outcome == quota.Undecided {
			left = append(left, w)
			continue
		}
		b.client.Dequeue(w.customer)
		w.decided <- limitDecision{retry: retry, ok: outcome == quota.Admitted}
	}
	clear(b.waiting[len(left):])
	b.waiting = left
}

// exchange sends a call to a limiter and applies its response.
func (b *limitBucket) exchange(ctx context.Context, call quota.Call, address string) {
	r, err := b.send(ctx, call, address)
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.closed {
		return
	}
	now := b.Now()
	if err != nil {
		b.Log.V(1).Info("limiter did not respond", "bucket", b.index, "limiter", call.Limiter, "reason", err.Error())
		b.client.Failed(now, call)
	} else {
		b.client.Answered(now, call, r)
		b.metrics.answered(call, r)
	}
	b.settle(now)
}

// send sends a call to a limiter, which may be this VM.
func (b *limitBucket) send(ctx context.Context, call quota.Call, address string) (quota.Response, error) {
	if call.Limiter == b.Settings.VM() {
		return b.allot(b.index, call.Request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	r, err := b.fleet.client(address).Allot(ctx, connect.NewRequest(allotRequest(b.index, call.Request)))
	if err != nil {
		return quota.Response{}, fmt.Errorf("ask %s for tokens: %w", call.Limiter, err)
	}
	return responseFromMessage(r.Msg), nil
}

// allotRequest returns the message of a request.
func allotRequest(bucket int, q quota.Request) *peerpb.AllotRequest {
	m := &peerpb.AllotRequest{Vm: q.VM, Bucket: uint32(bucket), Vms: uint32(q.VMs), Echo: q.Echo}
	for _, a := range q.Asks {
		m.Asks = append(m.Asks, &peerpb.Ask{Customer: a.Customer, Waiting: uint32(a.Waiting), Extra: uint32(a.Extra)})
	}
	return m
}

// responseFromMessage returns the response in a message.
func responseFromMessage(m *peerpb.AllotResponse) quota.Response {
	r := quota.Response{Stamp: m.GetStamp()}
	for _, a := range m.GetAllowances() {
		r.Allowances = append(r.Allowances, quota.Allowance{Granted: int(a.GetGranted()), Retry: time.Duration(a.GetRetry()) * time.Millisecond})
	}
	return r
}
