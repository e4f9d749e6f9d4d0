package relay

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// The times of reaching a holder.
const (
	// connectLimit bounds the opening of a connection to a holder, which is in
	// the own zone, and its first answer.
	connectLimit = 250 * time.Millisecond
	// avoidTime is how long a holder that could not be reached is passed over.
	avoidTime = 2 * time.Second
	// silenceLimit is how long a holder may owe answers and say nothing before
	// a fresh connection is tried.
	silenceLimit = 600 * time.Millisecond
	// watchPause is the time between two looks for silent holders.
	watchPause = 150 * time.Millisecond
)

// Holders says through which VMs a group's targets are reached.
type Holders struct {
	// Self reports that this VM holds connections itself.
	Self bool
	// Addresses are where holders accept links, in the order in which they are
	// tried.
	Addresses []string
}

// Dialer opens links through holders, and directly where there are none or
// none is reached. Set the exported fields before the first call.
type Dialer struct {
	// Direct opens links to targets.
	Direct pool.Dialer
	// Holders returns who holds the connections to a group's targets.
	Holders func(group string) Holders
	// Now is a clock that counts suspended time.
	Now func() time.Duration
	Log logr.Logger

	lock  sync.Mutex
	peers map[string]*peer
	// lent are the targets to which this VM has a direct link though others
	// hold their connections.
	lent map[string]bool
}

var _ pool.Dialer = (*Dialer)(nil)

// peer is what the dialer knows of one holder.
type peer struct {
	links map[*link]bool
	// heard is when it last answered, and avoid until when it is passed over.
	heard, avoid time.Duration
	probing      bool
}

// ParseStatus implements pool.Dialer.
func (d *Dialer) ParseStatus(r query.Reply) (pool.Report, error) {
	n, err := d.Direct.ParseStatus(r)
	if err != nil {
		return n, fmt.Errorf("parse status: %w", err)
	}
	return n, nil
}

// Dial implements pool.Dialer.
func (d *Dialer) Dial(ctx context.Context, t pool.Target) (pool.Link, query.Position, error) {
	h := d.Holders(t.Group)
	if !h.Self {
		for _, address := range h.Addresses {
			l, p, err := d.through(ctx, address, t)
			if err == nil {
				return l, p, nil
			}
			d.Log.V(1).Info("holder was not used", "holder", address, "target", t.ID, "reason", err.Error())
		}
	}
	if h.Self {
		return d.dial(ctx, t)
	}
	return d.around(ctx, t)
}

func (d *Dialer) dial(ctx context.Context, t pool.Target) (pool.Link, query.Position, error) {
	l, p, err := d.Direct.Dial(ctx, t)
	if err != nil {
		return nil, p, fmt.Errorf("dial directly: %w", err)
	}
	return l, p, nil
}

// around connects to a target whose holders are not reached. One such link to a
// target is all that a VM takes, since its connections are lent to the holders.
func (d *Dialer) around(ctx context.Context, t pool.Target) (pool.Link, query.Position, error) {
	if !d.borrow(t.ID) {
		return nil, query.Position{}, fmt.Errorf("no holder is reached, and this VM has a connection of its own: %w", pool.ErrScarce)
	}
	l, p, err := d.dial(ctx, t)
	if err != nil {
		d.giveBack(t.ID)
		return nil, p, err
	}
	return &borrowed{Link: l, giveBack: sync.OnceFunc(func() { d.giveBack(t.ID) })}, p, nil
}

// borrowed is a direct link of a VM that holds no connections.
type borrowed struct {
	pool.Link
	giveBack func()
}

// Close implements pool.Link.
func (b *borrowed) Close() {
	b.giveBack()
	b.Link.Close()
}

func (d *Dialer) borrow(target string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.lent == nil {
		d.lent = map[string]bool{}
	}
	if d.lent[target] {
		return false
	}
	d.lent[target] = true
	return true
}

func (d *Dialer) giveBack(target string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.lent, target)
}

// errAvoided reports a holder that could not be reached a moment ago.
var errAvoided = errors.New("holder is avoided for a while")

func (d *Dialer) through(ctx context.Context, address string, t pool.Target) (pool.Link, query.Position, error) {
	if d.avoided(address) {
		return nil, query.Position{}, errAvoided
	}
	ctx, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	l, err := d.connect(ctx, address)
	if err != nil {
		d.lost(address)
		return nil, query.Position{}, err
	}
	r, err := l.greet(t)
	if err != nil {
		l.Close()
		d.lost(address)
		return nil, query.Position{}, err
	}
	d.heard(l)
	if r.Failure != nil {
		l.Close()
		return nil, query.Position{}, fmt.Errorf("holder refuses: %w", r.Failure)
	}
	return l, r.Position, nil
}

func (d *Dialer) connect(ctx context.Context, address string) (*link, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to holder: %w", err)
	}
	w := bufio.NewWriterSize(conn, linkBuffer)
	l := &link{
		dialer: d, address: address, conn: conn, writer: w,
		encoder: gob.NewEncoder(w), decoder: gob.NewDecoder(bufio.NewReaderSize(conn, linkBuffer)),
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	d.peer(address).links[l] = true
	return l, nil
}

// peer returns a holder's state. The lock is held.
func (d *Dialer) peer(address string) *peer {
	if d.peers == nil {
		d.peers = map[string]*peer{}
	}
	p := d.peers[address]
	if p == nil {
		p = &peer{links: map[*link]bool{}, heard: d.Now()}
		d.peers[address] = p
	}
	return p
}

func (d *Dialer) avoided(address string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.Now() < d.peer(address).avoid
}

// lost passes a holder over for a while and ends the links to it.
func (d *Dialer) lost(address string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.peer(address)
	if d.Now() >= p.avoid {
		d.Log.Info("holder is not reached", "holder", address, "links", len(p.links))
	}
	p.avoid = d.Now() + avoidTime
	for l := range p.links {
		// The goroutine that waits on the link reports what went wrong.
		_ = l.conn.SetDeadline(time.Unix(1, 0))
	}
}

func (d *Dialer) heard(l *link) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.peer(l.address).heard = d.Now()
}

func (d *Dialer) owes(l *link, owing bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	l.since = 0
	if owing {
		l.since = max(d.Now(), 1)
	}
}

func (d *Dialer) forget(l *link) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.peer(l.address).links, l)
}

// Watch ends the links to holders that have gone silent, until the context
// ends.
func (d *Dialer) Watch(ctx context.Context) {
	t := time.NewTicker(watchPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.probeSilent(ctx)
		}
	}
}

func (d *Dialer) probeSilent(ctx context.Context) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.Now()
	for address, p := range d.peers {
		if p.probing || !p.silent(now) {
			continue
		}
		p.probing = true
		go d.probe(ctx, address)
	}
}

// silent reports whether answers are owed and nothing was heard for long.
func (p *peer) silent(now time.Duration) bool {
	for l := range p.links {
		if l.since != 0 && now-max(l.since, p.heard) > silenceLimit {
			return true
		}
	}
	return false
}

// probe tells a holder that is slow from one that is gone.
func (d *Dialer) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	l, err := d.connect(ctx, address)
	if err == nil {
		_, err = l.greet(pool.Target{})
		l.Close()
	}
	if err != nil {
		d.lost(address)
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.peer(address)
	p.probing = false
	if err == nil {
		p.heard = d.Now()
	}
}
