package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
	"amaranthsill/quota"
)

// errNoSuchBucket reports a request for a hash bucket that does not exist.
var errNoSuchBucket = errors.New("no such hash bucket of customers")

// poolKey identifies a hash bucket of customers, of as many as there are.
type poolKey struct{ buckets, index int }

// limitPool is the shares that other VMs delegated to this one for a hash bucket.
type limitPool struct {
	*quota.Pool
	askedAt time.Duration
}

// poolRetention is how long a pool is kept that no VM asks. A new one starts empty.
const poolRetention = time.Minute

// allot answers a request to this VM as the limiter of a hash bucket. Where VMs count
// different numbers of VMs, the greater is used.
func (l *rateLimiter) allot(bucket int, q quota.Request) quota.Response {
	k := poolKey{buckets: quota.Buckets(q.VMs), index: bucket}
	q.VMs = max(q.VMs, l.counter.last())
	l.poolLock.Lock()
	defer l.poolLock.Unlock()
	now := l.Now()
	p := l.pools[k]
	if p == nil {
		p = &limitPool{Pool: quota.NewPool(now, l.startedAt, l.offset)}
		l.pools[k] = p
	}
	p.askedAt = now
	if l.stopping.Load() {
		p.Retire()
	}
	return p.Allot(now, q, func(name string) (quota.Limit, bool) {
		if quota.BucketOf(name, k.buckets) != k.index {
			return quota.Limit{}, false
		}
		return l.limitOf(name)
	})
}

// retirePools drops the pools that no VM asks any more.
func (l *rateLimiter) retirePools() {
	l.poolLock.Lock()
	defer l.poolLock.Unlock()
	for k, p := range l.pools {
		if l.Now()-p.askedAt > poolRetention {
			delete(l.pools, k)
		}
	}
}

// Allot implements peerpbconnect.FleetHandler.
func (s fleetServer) Allot(_ context.Context, q *connect.Request[peerpb.AllotRequest]) (*connect.Response[peerpb.AllotResponse], error) {
	m := q.Msg
	r := quota.Request{VM: m.GetVm(), VMs: int(m.GetVms()), Echo: m.GetEcho()}
	if r.VMs == 0 || int(m.GetBucket()) >= quota.Buckets(r.VMs) {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("bucket %d of %d VMs: %w", m.GetBucket(), r.VMs, errNoSuchBucket))
	}
	for _, a := range m.GetAsks() {
		r.Asks = append(r.Asks, quota.Ask{Customer: a.GetCustomer(), Waiting: int(a.GetWaiting()), Extra: int(a.GetExtra())})
	}
	answer := s.admission.allot(int(m.GetBucket()), r)
	out := &peerpb.AllotResponse{Stamp: answer.Stamp}
	for _, a := range answer.Allowances {
		// Rounded up, so that the token is there when the VM asks again.
		out.Allowances = append(out.Allowances, &peerpb.Allowance{Granted: uint32(a.Granted), Retry: uint32((a.Retry + time.Millisecond - 1) / time.Millisecond)})
	}
	return connect.NewResponse(out), nil
}
