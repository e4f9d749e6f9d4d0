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

// Timing of the leases on the leader record and on this VM's entry.
const (
	// confirmInterval is the time between two confirmations of the leader
	// record. Two in a row may be lost before a grant expires.
	confirmInterval = 300 * time.Millisecond
	// maxConfirmsInFlight limits the concurrent confirmations when the store is
	// slow.
	maxConfirmsInFlight = 3
	// entryTTL is how long a VM's entry outlives its last renewal.
	entryTTL = 8 * time.Second
	// entryRenewInterval is the time between two renewals of the entry.
	entryRenewInterval = 2500 * time.Millisecond
	// registerMaxBackoff is the longest pause between two attempts to register.
	// A VM whose entry expired is unknown to the others for at most this long once
	// the store is back.
	registerMaxBackoff = time.Second
	// admissionLength is how long after the last renewal of its entry a VM that all others
	// know may rely on the leader record. The store may lose the entry at any time after
	// that. A VM that has not read it before moves a leadership establishedAfter later at
	// the earliest, and those that have count the VM for longer. entryTTL replaces it for
	// other VMs.
	admissionLength = establishedAfter
	// leaseRepairJitter spreads the attempts of all VMs to replace an expired
	// lease.
	leaseRepairJitter = 250 * time.Millisecond
)

// recordConfirmer periodically confirms the leader record by renewing its lease.
type recordConfirmer struct {
	*VM
	// inFlight has one element for each confirmation in flight.
	inFlight chan struct{}
}

// run confirms the leader record until the context ends. A confirmation is
// skipped while maxConfirmsInFlight are in flight.
func (c *recordConfirmer) run(ctx context.Context) {
	c.inFlight = make(chan struct{}, maxConfirmsInFlight)
	for ctx.Err() == nil {
		sleep(ctx, c.interval())
		select {
		case c.inFlight <- struct{}{}:
			go c.confirm(ctx)
		default:
		}
	}
}

// interval returns the time until the next confirmation. It is shorter until the
// first one succeeds, since the VM cannot serve before that.
func (c *recordConfirmer) interval() time.Duration {
	if !c.grants.ConfirmedSinceStart() {
		return superviseInterval
	}
	return confirmInterval
}

// confirm renews the lease of the leader record, unless another VM does so for
// this one.
func (c *recordConfirmer) confirm(ctx context.Context) {
	defer func() { <-c.inFlight }()
	l := c.grants.Record().Lease
	if l == 0 || c.confirmedByPeer() {
		return
	}
	sent := c.Now()
	era, err := c.Adapter.Store.Renew(ctx, l)
	if err == nil || errors.Is(err, store.ErrNoLease) {
		c.observeEra(era)
	}
	switch {
	case err == nil:
		c.grants.Confirm(l, era, sent)
		c.storeAnswered()
	case c.grants.Outdated():
		// The supervisor has the record written again.
		c.storeAnswered()
	case errors.Is(err, store.ErrNoLease):
		c.repairLease(ctx, l)
	default:
		c.storeFailed("confirming leaders", err)
	}
}

// confirmedByPeer reports whether this VM gets its confirmations from another one.
// The first root asks the store itself, zone watchers if its last confirmation is
// stale, and the rest only if confirmations among VMs are stale as well.
func (c *recordConfirmer) confirmedByPeer() bool {
	z := c.ownZone()
	if len(z.order) == 0 || c.directory.members().rootRank(c.Settings.VM()) == 0 {
		return false
	}
	_, confirmedAt, confirmed := c.grants.StoreConfirmation()
	if confirmed && c.Now()-confirmedAt <= storeStaleAfter {
		return true
	}
	if z.isWatcher(c.Settings.VM()) || !c.synced.Load() {
		return false
	}
	validAt, ever := c.grants.ValidFrom(c.grants.Record().Revision)
	return ever && c.Now()-validAt <= storeStaleAfter
}

// repairLease reads the leader record again after its lease l has ended. If the
// record still names that lease, it is given a new one.
func (c *recordConfirmer) repairLease(ctx context.Context, l store.LeaseID) {
	err := c.readRecord(ctx)
	if err == nil && c.grants.Record().Lease == l {
		sleep(ctx, rand.N(leaseRepairJitter))
		if c.grants.Record().Lease == l {
			err = c.mover.Renew(ctx, l)
		}
	}
	if err != nil && !errors.Is(err, succession.ErrConcurrentUpdate) {
		c.storeFailed("reading leaders", err)
	}
}

// observeEra takes in the store's era from one of its answers.
func (v *VM) observeEra(era uint64) {
	v.logLoss(func() { v.grants.ObserveStoreEra(era) })
}

// observePeerEra takes in the store's era from another VM.
func (v *VM) observePeerEra(era uint64) {
	v.logLoss(func() { v.grants.ObserveEra(era) })
}

// logLoss logs a loss of the store that taking in an era shows.
func (v *VM) logLoss(observe func()) {
	before, losses, _ := v.grants.Era()
	observe()
	if era, now, _ := v.grants.Era(); now > losses {
		v.Log.Info("store came back from an older copy; what it acknowledged lately is lost", "era", era, "before", before, "record", v.grants.Record().Revision.String())
		v.wakeSupervisor()
	}
}

// readRecord reads the leader record from the store and confirms it.
func (v *VM) readRecord(ctx context.Context) error {
	sent := v.Now()
	i, _, err := v.Adapter.Store.Read(ctx, succession.RecordKey)
	if err != nil {
		return fmt.Errorf("read leader record: %w", err)
	}
	r, err := succession.DecodeRecord(i)
	if err != nil {
		return fmt.Errorf("decode leader record: %w", err)
	}
	v.grants.ConfirmRecord(r, sent)
	v.wakeSupervisor()
	return nil
}

// registrar keeps this VM's entry in the store. Only its own goroutine uses the fields
// below until that has ended.
type registrar struct {
	*VM
	// cancel ends run, and ended is closed once it has returned.
	cancel context.CancelFunc
	ended  chan struct{}
	// lease is the lease of the entry; zero if there is none.
	lease store.LeaseID
	// granted is the lease under which the entry was last written, or is to be, in
	// grantedEra. A write without an answer may take effect after the next one, so that
	// both have to be under the same lease.
	granted    store.LeaseID
	grantedEra uint64
	// revision is the store's revision at which the entry was written.
	revision store.Revision
	// counted reports that every change before the entry is known, and countedSince is
	// when the first entry was written of which that holds.
	counted      bool
	countedSince time.Duration
}

// start runs the registrar until the context ends or deregister is called.
func (r *registrar) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.ended = make(chan struct{})
	go func() {
		defer close(r.ended)
		r.run(ctx)
	}()
}

// run registers the VM and renews its entry until the context ends.
func (r *registrar) run(ctx context.Context) {
	b := clock.Backoff{Min: minStoreBackoff, Max: registerMaxBackoff}
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil {
			r.registered.Store(true)
			err = r.admit(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.storeFailed("registering", err)
			b.Wait(ctx)
			continue
		}
		b.Reset()
		r.awaitRenewal(ctx)
	}
}

// admit lets the VM rely on the leader record once it knows every change before its entry.
func (r *registrar) admit(ctx context.Context) error {
	if !r.counted {
		if err := r.learnRecord(ctx); err != nil {
			return err
		}
		r.counted = true
		r.countedSince = time.Duration(r.renewedAt.Load())
		r.wakeSupervisor()
	}
	length := entryTTL
	if r.isKnown() {
		length = admissionLength
	}
	r.grants.Admit(time.Duration(r.renewedAt.Load()) + length)
	return nil
}

// isKnown reports whether all other VMs know this one.
func (r *registrar) isKnown() bool {
	return r.Settings.FirstStart() && !r.forgotten.Load() || r.Now()-r.countedSince > establishedAfter
}

// loseEntry records that the VM's entry is gone or counts no more. Others may have missed it
// unless it was there for long.
func (r *registrar) loseEntry() {
	r.lease = 0
	if r.counted && !r.isKnown() {
		r.counted = false
		r.grants.Admit(r.Now())
	}
}

// learnRecord returns once the leader record that was current when the VM's entry was
// written is known, or a later one. When the whole system starts, everything is read after
// the registration.
func (r *registrar) learnRecord(ctx context.Context) error {
	for waited := time.Duration(0); r.directory.CompleteRevision() < r.revision; waited += registrationCheckInterval {
		if !r.Settings.FirstStart() || r.synced.Load() || waited >= registrationTimeout {
			return r.readFirstRecord(ctx)
		}
		sleep(ctx, registrationCheckInterval)
	}
	return nil
}

// readFirstRecord reads the leader record from the store, which need not have one.
func (r *registrar) readFirstRecord(ctx context.Context) error {
	err := r.readRecord(ctx)
	if errors.Is(err, store.ErrAbsent) {
		return nil
	}
	return err
}

// awaitRenewal returns when the entry is due for renewal or has been removed.
func (r *registrar) awaitRenewal(ctx context.Context) {
	for left := entryRenewInterval; left > 0 && ctx.Err() == nil; left -= superviseInterval {
		sleep(ctx, superviseInterval)
		if r.directory.SelfRemovedRevision() > r.revision {
			r.Log.Info("this VM's entry was removed from the store; registering again")
			r.loseEntry()
			return
		}
		if r.Adapter.Store.Era() != r.revision.Era() {
			r.Log.Info("store is in another era; registering again", "era", r.Adapter.Store.Era(), "before", r.revision.Era())
			r.loseEntry()
			sleep(ctx, rand.N(leaseRepairJitter))
			return
		}
	}
}

// entry returns this VM's entry.
func (r *registrar) entry() Peer {
	return Peer{
		Name:        r.Settings.VM(),
		Zone:        r.Settings.Zone(),
		Address:     r.Settings.PeerAddress(),
		Relay:       r.Settings.RelayAddress(),
		Cores:       r.Settings.Cores(),
		Incarnation: r.incarnation,
		First:       r.Settings.FirstStart(),
		Majority:    true,
		Silence:     true,
	}
}

// write writes an entry of this VM under a lease, if the conditions hold.
func (r *registrar) write(ctx context.Context, p Peer, l store.LeaseID, conditions ...store.Condition) (store.Revision, error) {
	encoded, err := json.Marshal(p)
	if err != nil {
		return 0, fmt.Errorf("encode VM's entry: %w", err)
	}
	put := store.Put{Key: vmPrefix + r.Settings.VM(), Value: encoded, Lease: l}
	revision, err := r.Adapter.Store.Apply(ctx, store.Transaction{Conditions: conditions, Puts: []store.Put{put}})
	if err != nil {
		return 0, fmt.Errorf("write VM's entry: %w", err)
	}
	return revision, nil
}

// step renews the entry's lease, or writes the entry under a new lease if there
// is none.
func (r *registrar) step(ctx context.Context) error {
	sent := r.Now()
	if r.lease != 0 {
		_, err := r.Adapter.Store.Renew(ctx, r.lease)
		if err == nil {
			r.renewedAt.Store(int64(sent))
		}
		if !errors.Is(err, store.ErrNoLease) {
			return err
		}
		r.loseEntry()
	}
	sent = r.Now()
	if err := r.grant(ctx); err != nil {
		return fmt.Errorf("grant lease for VM's entry: %w", err)
	}
	revision, err := r.write(ctx, r.entry(), r.granted)
	if errors.Is(err, store.ErrNoLease) {
		r.granted = 0
	}
	if err != nil {
		return err
	}
	r.lease = r.granted
	r.revision = revision
	if !r.grants.Admitted() {
		// The record may have been written since the former entry was gone.
		r.counted = false
	}
	if r.registered.Load() && r.mayBeForgotten() {
		r.forgotten.Store(true)
	}
	r.renewedAt.Store(int64(sent))
	r.registeredAt.Store(int64(r.Now()))
	r.registeredRevision.Store(uint64(revision))
	return nil
}

// grant makes sure that there is a lease for a write of the entry: that of the last write if
// it is alive, otherwise a new one. In another era of the store the number of that lease may
// be another one's.
func (r *registrar) grant(ctx context.Context) error {
	if r.granted != 0 {
		era, err := r.Adapter.Store.Renew(ctx, r.granted)
		if err == nil && era == r.grantedEra {
			return nil
		}
		if err != nil && !errors.Is(err, store.ErrNoLease) {
			return err
		}
	}
	l, err := r.Adapter.Store.Grant(ctx, entryTTL)
	if err != nil {
		return err
	}
	r.granted, r.grantedEra = l, r.Adapter.Store.Era()
	return nil
}

// deregister stops the registrar. It writes to this VM's entry that the VM has left,
// which takes it out of all quorums at once; the entry then expires. While the VM still
// has sessions, which may rely on the leader record, it removes the entry instead.
func (r *registrar) deregister(ctx context.Context) {
	r.cancel()
	select {
	case <-r.ended:
	case <-ctx.Done():
		r.Log.Info("this VM's entry is still being written; it expires on its own")
		return
	}
	if r.lease == 0 || r.Adapter.Store.Era() != r.revision.Era() {
		return
	}
	var err error
	if r.front.Sessions() == 0 {
		r.left.Store(true)
		p := r.entry()
		p.Left = true
		// The write may be carried out when this VM has started again.
		unchanged := store.Condition{Key: vmPrefix + r.Settings.VM(), Revision: r.revision}
		_, err = r.write(ctx, p, r.lease, unchanged)
	} else {
		err = r.Adapter.Store.End(ctx, r.lease)
	}
	if err != nil {
		r.Log.Info("this VM's entry could not be removed; it expires on its own", "reason", err.Error())
	}
}
