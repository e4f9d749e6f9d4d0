package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// Timeouts and intervals for reaching holders.
const (
	// connectTimeout limits the opening of a connection to a holder, including its
	// first reply. The holder is in the same zone or, with customers, in the target's,
	// at most 40 ms of round trip away.
	connectTimeout = 250 * time.Millisecond
	// holderBackoff is how long an unreachable holder is skipped.
	holderBackoff = 2 * time.Second
	// silenceTimeout is how long replies of a holder may be pending, without any
	// reply from it, before the holder is probed over a new connection.
	silenceTimeout = 600 * time.Millisecond
	// watchInterval is the interval between two checks for silent holders.
	watchInterval = 150 * time.Millisecond
)

// Holders describes how this VM reaches a target.
type Holders struct {
	// Self is true if this VM holds connections to the target itself.
	Self bool
	// ByCustomer is true if the order of the addresses depends on the customer.
	ByCustomer bool
	// Addresses are the addresses at which holders accept links, in the order in
	// which they are tried.
	Addresses []string
}

// Dialer opens links to targets through holders. It connects directly if this
// VM is a holder itself, or if no holder is reached. Set the exported fields
// before the first call.
type Dialer struct {
	// Direct opens direct connections to targets.
	Direct pool.Dialer
	// Holders returns how a target is reached for a customer, whose name may be
	// empty. It is called for each statement.
	Holders func(t pool.Target, customer string) Holders
	// Version returns the version of the configuration in force, or zero if that
	// has no customers. Nil means that there are never any.
	Version func() uint64
	// Now is a monotonic clock that includes the time for which the VM was
	// suspended.
	Now func() time.Duration
	Log logr.Logger

	lock         sync.Mutex
	holderStates map[string]*holderState
	// fallbacks are the IDs of the targets to which this VM has a direct
	// connection although other VMs are the holders.
	fallbacks map[string]bool
}

var (
	_ pool.Dialer   = (*Dialer)(nil)
	_ pool.Preparer = (*Dialer)(nil)
)

// holderState is what the dialer knows about one holder.
type holderState struct {
	links map[*link]bool
	trunkState
	// lastAnswer is when the holder last replied. The holder is skipped until
	// avoidUntil.
	lastAnswer, avoidUntil time.Duration
	probing                bool
	// down reports that the holder was marked as unreachable and has not replied
	// since. wantedAt is when a statement of a customer last had it in its order.
	down     bool
	wantedAt time.Duration
	// refusedUntil holds by target until when the holder is not asked again for links
	// of customers, because it refused one.
	refusedUntil map[string]time.Duration
	// leavingUntil is until when the holder comes last for customers, because it is
	// about to stop; zero if it is not.
	leavingUntil time.Duration
}

// ParseStatus implements pool.Dialer.
func (d *Dialer) ParseStatus(r query.Reply) (pool.Report, error) {
	n, err := d.Direct.ParseStatus(r)
	if err != nil {
		return n, fmt.Errorf("parse status: %w", err)
	}
	return n, nil
}

// Dial implements pool.Dialer. The returned position is a log position that the
// target has reached. Through a holder, it is the highest one that the holder
// has seen of the target; otherwise it is the one that Direct returns. The error
// wraps pool.ErrReserved if no holder is reached and this VM has a direct
// connection to the target already.
func (d *Dialer) Dial(ctx context.Context, t pool.Target, customer string) (pool.Link, query.Position, error) {
	h := d.Holders(t, customer)
	if !h.Self {
		for _, address := range d.leavingLast(h) {
			l, p, err := d.dialHolder(ctx, address, t, h.ByCustomer)
			if err == nil {
				return l, p, nil
			}
			d.Log.V(1).Info("link through holder failed; trying the next holder or a direct connection", "holder", address, "target", t.ID, "reason", err.Error())
		}
	}
	if h.Self {
		return d.dialDirect(ctx, t, customer)
	}
	return d.dialFallback(ctx, t, customer)
}

func (d *Dialer) dialDirect(ctx context.Context, t pool.Target, customer string) (pool.Link, query.Position, error) {
	l, p, err := d.Direct.Dial(ctx, t, customer)
	if err != nil {
		return nil, p, fmt.Errorf("dial directly: %w", err)
	}
	return l, p, nil
}

// dialFallback connects directly to a target whose holders are not reached.
// It allows one such connection per target and VM, because the targets'
// connection limits are reserved for the holders.
func (d *Dialer) dialFallback(ctx context.Context, t pool.Target, customer string) (pool.Link, query.Position, error) {
	if !d.reserveFallback(t.ID) {
		return nil, query.Position{}, fmt.Errorf("no holder is reached, and this VM has a connection of its own: %w", pool.ErrReserved)
	}
	l, p, err := d.dialDirect(ctx, t, customer)
	if err != nil {
		d.releaseFallback(t.ID)
		return nil, p, err
	}
	return &fallbackLink{Link: l, release: sync.OnceFunc(func() { d.releaseFallback(t.ID) })}, p, nil
}

// fallbackLink is a direct connection of a VM that is not a holder.
type fallbackLink struct {
	pool.Link
	release func()
}

// Close implements pool.Link. The reservation is freed after the connection is
// closed, so that the target never has two from this VM.
func (b *fallbackLink) Close() {
	b.Link.Close()
	b.release()
}

// reserveFallback reserves the VM's direct connection to a target. It returns
// false if it is in use.
func (d *Dialer) reserveFallback(target string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.fallbacks == nil {
		d.fallbacks = map[string]bool{}
	}
	if d.fallbacks[target] {
		return false
	}
	d.fallbacks[target] = true
	return true
}

func (d *Dialer) releaseFallback(target string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.fallbacks, target)
}

// errAvoided reports a holder that is skipped because it was unreachable
// recently.
var errAvoided = errors.New("holder was unreachable recently and is skipped")

// dialHolder opens a link to a target through the holder at the address. A
// holder that does not answer is marked as unreachable.
func (d *Dialer) dialHolder(ctx context.Context, address string, t pool.Target, byCustomer bool) (pool.Link, query.Position, error) {
	if d.isAvoided(address, t.ID, byCustomer) {
		return nil, query.Position{}, errAvoided
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, r, err := d.openChannel(ctx, address, t)
	var refusal *query.Failure
	if errors.As(err, &refusal) {
		d.recordRefusal(address, t.ID)
		return nil, query.Position{}, err
	}
	if err != nil {
		d.markUnreachable(address)
		return nil, query.Position{}, err
	}
	l := &link{dialer: d, address: address, channel: c, leaving: r.Leaving}
	d.addLink(l)
	d.recordAnswer(l)
	n := r.reply()
	if n.Failure != nil {
		d.recordRefusal(address, t.ID)
		l.Close()
		return nil, query.Position{}, fmt.Errorf("holder refused the link: %w", n.Failure)
	}
	return l, n.Position, nil
}

// openChannel opens a channel to a target through a holder, and returns it with the
// holder's first response. A trunk that was lost unnoticed is replaced by a new one.
func (d *Dialer) openChannel(ctx context.Context, address string, t pool.Target) (channel, response, error) {
	for {
		k, isNew, err := d.trunkTo(ctx, address)
		if err != nil {
			return nil, response{}, err
		}
		if k == nil {
			return d.openOwn(ctx, address, t)
		}
		s, r, err := k.open(t)
		if err == nil {
			return s, r, nil
		}
		if isNew || isTimeout(err) || ctx.Err() != nil {
			return nil, r, err
		}
		d.forgetTrunk(address, k)
	}
}

// openOwn opens a channel with a connection of its own.
func (d *Dialer) openOwn(ctx context.Context, address string, t pool.Target) (channel, response, error) {
	c, err := connect(ctx, address)
	if err != nil {
		return nil, response{}, err
	}
	r, err := c.greet(hello{Group: t.Group, Target: t.ID})
	if err != nil {
		c.close()
		return nil, r, err
	}
	return c, r, nil
}

func connect(ctx context.Context, address string) (*ownConnection, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to holder: %w", err)
	}
	return newOwnConnection(conn), nil
}

func (d *Dialer) addLink(l *link) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.holderState(l.address).links[l] = true
}

// holderState returns the state of a holder and creates it if necessary. The
// lock must be held.
func (d *Dialer) holderState(address string) *holderState {
	if d.holderStates == nil {
		d.holderStates = map[string]*holderState{}
	}
	p := d.holderStates[address]
	if p == nil {
		p = &holderState{links: map[*link]bool{}, lastAnswer: d.Now()}
		d.holderStates[address] = p
	}
	return p
}

// isAvoided reports whether a holder is skipped: for holderBackoff after it was not
// reached or, where holders are ordered by customer, while it is unavailable.
func (d *Dialer) isAvoided(address, target string, byCustomer bool) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if byCustomer {
		return d.unavailable(address, target, d.Now())
	}
	return d.Now() < d.holderState(address).avoidUntil
}

// markUnreachable skips a holder for holderBackoff and breaks the links to
// it.
func (d *Dialer) markUnreachable(address string) {
	d.lock.Lock()
	p := d.holderState(address)
	if d.Now() >= p.avoidUntil {
		d.Log.Info("holder is unreachable; skipping it for a while and breaking its links", "holder", address, "links", len(p.links))
	}
	p.avoidUntil = d.Now() + holderBackoff
	p.down = true
	for l := range p.links {
		// The goroutine that waits on the link reports the error.
		_ = l.channel.setDeadline(time.Unix(1, 0))
	}
	k := p.trunk
	p.trunk = nil
	d.lock.Unlock()
	if k != nil {
		k.fail(errSilent)
	}
}

func (d *Dialer) recordAnswer(l *link) {
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.holderState(l.address)
	p.lastAnswer = d.Now()
	p.down = false
	p.leavingUntil = 0
	if l.leaving {
		p.leavingUntil = d.Now() + leavingTimeout
	}
}

// setPending records whether a reply is pending on a link.
func (d *Dialer) setPending(l *link, pending bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	l.pendingSince = 0
	if pending {
		l.pendingSince = max(d.Now(), 1)
	}
}

func (d *Dialer) removeLink(l *link) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.holderState(l.address).links, l)
}

// WatchHolders breaks the links to holders that do not answer any more, and probes
// unreachable holders of customers, until ctx is done. Without it, requests on such
// links wait until their own deadlines, and such holders are not used again.
func (d *Dialer) WatchHolders(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.probeHolders(ctx)
		}
	}
}

// probeHolders starts a probe of each silent holder, and of each unreachable one that
// customers' statements would use.
func (d *Dialer) probeHolders(ctx context.Context) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.Now()
	for address, p := range d.holderStates {
		if k := p.trunk; k != nil {
			go k.closeUnused(trunkIdleTimeout)
		}
		if p.probing || !p.isSilent(now) && !p.isDueForRetry(now) {
			continue
		}
		p.probing = true
		go d.probe(ctx, address)
	}
}

// isSilent reports whether a reply has been pending for longer than
// silenceTimeout, in which the holder has not replied on any link.
func (p *holderState) isSilent(now time.Duration) bool {
	for l := range p.links {
		if l.pendingSince != 0 && now-max(l.pendingSince, p.lastAnswer) > silenceTimeout {
			return true
		}
	}
	return false
}

// probe opens a new connection to a holder, in order to tell a slow holder
// from an unreachable one.
func (d *Dialer) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := connect(ctx, address)
	if err == nil {
		_, err = c.greet(hello{})
		c.close()
	}
	if err != nil {
		d.markUnreachable(address)
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.holderState(address)
	p.probing = false
	if err == nil {
		p.lastAnswer = d.Now()
		p.down = false
	}
}
