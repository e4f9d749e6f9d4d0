package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthsill/clock"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// The times of leases.
const (
	// confirmPause is the time between two confirmations of the record of
	// leaders; two may be lost before a grant runs out.
	confirmPause = 300 * time.Millisecond
	// confirmsInFlight bounds the confirmations under way to a slow store.
	confirmsInFlight = 3
	// entryLife is how long a VM's entry outlives its last renewal.
	entryLife = 8 * time.Second
	// entryPause is the time between two renewals of the entry.
	entryPause = 2500 * time.Millisecond
	// registerPause is the longest pause between two tries to register; a VM
	// whose entry lapsed is missed by the others for so long at most.
	registerPause = time.Second
	// repairSpread spreads the VMs that replace a lapsed lease.
	repairSpread = 250 * time.Millisecond
)

// confirmer confirms the record of leaders again and again.
type confirmer struct {
	*VM
	flights chan struct{}
}

func (c *confirmer) run(ctx context.Context) {
	c.flights = make(chan struct{}, confirmsInFlight)
	for ctx.Err() == nil {
		pauseFor(ctx, c.pause())
		select {
		case c.flights <- struct{}{}:
			go c.confirm(ctx)
		default:
		}
	}
}

// pause returns the time until the next confirmation; the first is wanted as
// soon as there is a record.
func (c *confirmer) pause() time.Duration {
	if !c.grants.Renewed() {
		return stewardPause
	}
	return confirmPause
}

func (c *confirmer) confirm(ctx context.Context) {
	defer func() { <-c.flights }()
	l := c.grants.Record().Lease
	if l == 0 || c.heardLately() {
		return
	}
	sent := c.Now()
	err := c.Adapter.Ledger.Renew(ctx, l)
	switch {
	case err == nil:
		c.grants.Confirm(l, sent)
		c.storeAnswered()
	case errors.Is(err, store.ErrNoLease):
		c.repair(ctx, l)
	default:
		c.storeFailed("confirming leaders", err)
	}
}

// heardLately reports whether another VM confirms the record for this one.
func (c *confirmer) heardLately() bool {
	_, stored, ever := c.grants.Stored()
	if !ever || c.Now()-stored > recallAfter {
		return false
	}
	spreaders := c.spreaders()
	return len(spreaders) > 0 && spreaders[0].Name != c.Settings.VM()
}

// repair reads the record again whose lease has ended, and gives it another
// lease if it still stands.
func (c *confirmer) repair(ctx context.Context, l store.Lease) {
	err := c.readRecord(ctx)
	if err == nil && c.grants.Record().Lease == l {
		pauseFor(ctx, rand.N(repairSpread))
		if c.grants.Record().Lease == l {
			err = c.mover.Renew(ctx, l)
		}
	}
	if err != nil && !errors.Is(err, succession.ErrOvertaken) {
		c.storeFailed("reading leaders", err)
	}
}

func (v *VM) readRecord(ctx context.Context) error {
	sent := v.Now()
	i, _, err := v.Adapter.Ledger.Read(ctx, succession.RecordKey)
	if err != nil {
		return fmt.Errorf("read record of leaders: %w", err)
	}
	r, err := succession.DecodeRecord(i)
	if err != nil {
		return fmt.Errorf("read record of leaders: %w", err)
	}
	v.grants.ConfirmRecord(r, sent)
	v.poke()
	return nil
}

// registrar keeps this VM's entry in the store.
type registrar struct {
	*VM
	lease store.Lease
	// revision is the store's revision of the entry.
	revision uint64
}

func (r *registrar) run(ctx context.Context) {
	b := clock.Backoff{Least: followPause, Most: registerPause}
	for ctx.Err() == nil {
		if err := r.step(ctx); err != nil {
			r.storeFailed("registering", err)
			b.Pause(ctx)
			continue
		}
		b.Reset()
		r.registered.Store(true)
		r.wait(ctx)
	}
}

// wait returns when the entry is due for renewal or was removed.
func (r *registrar) wait(ctx context.Context) {
	for left := entryPause; left > 0 && ctx.Err() == nil; left -= stewardPause {
		pauseFor(ctx, stewardPause)
		if r.directory.OwnGone() > r.revision {
			r.Log.Info("own entry was removed; registering again")
			r.lease = 0
			return
		}
	}
}

func (r *registrar) step(ctx context.Context) error {
	if r.lease != 0 {
		err := r.Adapter.Ledger.Renew(ctx, r.lease)
		if !errors.Is(err, store.ErrNoLease) {
			return err
		}
		r.lease = 0
	}
	l, err := r.Adapter.Ledger.Grant(ctx, entryLife)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	text, err := json.Marshal(Peer{
		Name:        r.Settings.VM(),
		Zone:        r.Settings.Zone(),
		Address:     r.Settings.Peers(),
		Relay:       r.Settings.Relay(),
		Incarnation: r.incarnation,
	})
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	put := store.Put{Key: vmPrefix + r.Settings.VM(), Value: text, Lease: l}
	revision, err := r.Adapter.Ledger.Apply(ctx, store.Transaction{Puts: []store.Put{put}})
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.lease = l
	r.revision = revision
	r.since.Store(int64(r.Now()))
	return nil
}

// leave removes this VM's entry, so that others need not wait for it to lapse.
func (r *registrar) leave(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	if err := r.Adapter.Ledger.End(ctx, r.lease); err != nil {
		r.Log.Info("own entry is left to lapse", "reason", err.Error())
	}
}
