package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthsill/pool"
)

const (
	// trunkIdleTimeout is how long a trunk without streams is kept. It is below
	// linkIdleTimeout, after which the holder closes a connection that sends nothing.
	trunkIdleTimeout = 10 * time.Second
	// noStreamsTimeout is how long a holder that does not know streams, as one of a
	// former build, is not asked for them again.
	noStreamsTimeout = 10 * time.Second
)

// errSilent reports that a holder did not answer.
var errSilent = errors.New("holder does not answer")

// trunkState is what the dialer knows about the trunk to one holder.
type trunkState struct {
	// trunk is the one that is open; nil if none is.
	trunk *trunk
	// opening is closed when an attempt to open one has ended; nil if there is none.
	opening chan struct{}
	// noStreamsUntil is until when each link to the holder has its own connection.
	noStreamsUntil time.Duration
}

// trunkTo returns the trunk to a holder, and whether it was opened by this call. It
// returns nil for a holder that does not know streams.
func (d *Dialer) trunkTo(ctx context.Context, address string) (k *trunk, isNew bool, err error) {
	for {
		d.lock.Lock()
		p := d.holderState(address)
		if p.trunk != nil || d.Now() < p.noStreamsUntil {
			k = p.trunk
			d.lock.Unlock()
			return k, false, nil
		}
		opening := p.opening
		if opening == nil {
			p.opening = make(chan struct{})
		}
		d.lock.Unlock()
		if opening == nil {
			k, err = d.openTrunk(ctx, address)
			return k, true, err
		}
		select {
		case <-opening:
		case <-ctx.Done():
			return nil, false, fmt.Errorf("wait for a connection to the holder: %w", ctx.Err())
		}
	}
}

// Prepare implements pool.Preparer. It opens the trunk to the first holder of a target.
func (d *Dialer) Prepare(t pool.Target) bool {
	h := d.Holders(t, "")
	if h.Self || len(h.Addresses) == 0 {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		if _, _, err := d.trunkTo(ctx, h.Addresses[0]); err != nil {
			d.Log.V(1).Info("connection to a holder failed; it is tried again with the first statement", "holder", h.Addresses[0], "reason", err.Error())
		}
	}()
	return true
}

// openTrunk opens the trunk to a holder, for all who wait for it.
func (d *Dialer) openTrunk(ctx context.Context, address string) (*trunk, error) {
	k, agreed, err := d.greetForStreams(ctx, address)
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.holderState(address)
	close(p.opening)
	p.opening = nil
	if err == nil && !agreed {
		p.noStreamsUntil = d.Now() + noStreamsTimeout
	}
	p.trunk = k
	return k, err
}

// greetForStreams connects to a holder and asks for streams; false if the holder does
// not know them.
func (d *Dialer) greetForStreams(ctx context.Context, address string) (*trunk, bool, error) {
	c, err := connect(ctx, address)
	if err != nil {
		return nil, false, err
	}
	r, err := c.greet(hello{Streams: true})
	if err == nil && r.Failed {
		err = fmt.Errorf("holder refused the connection: %w", r.reply().Failure)
	}
	if err != nil || !r.Streams {
		c.close()
		return nil, false, err
	}
	k, err := newTrunk(c, func(k *trunk) { d.forgetTrunk(address, k) })
	if err != nil {
		c.close()
		return nil, false, err
	}
	return k, true, nil
}

// forgetTrunk makes the next link to a holder open a new trunk, if the given one is
// in use.
func (d *Dialer) forgetTrunk(address string, k *trunk) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if p := d.holderState(address); p.trunk == k {
		p.trunk = nil
	}
}
