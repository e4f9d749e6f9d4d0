package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"amaranthsill/peer/peerpb"
	"amaranthsill/store"
)

// Timing of calls between VMs while the store does not confirm the leader record.
const (
	// pollInterval is the time between two rounds of calls.
	pollInterval = 200 * time.Millisecond
	// pollAfter is the age of the last confirmation from which on a VM polls. The
	// confirmation that it gets reaches the VMs that follow it before theirs are
	// older than storeStaleAfter.
	pollAfter = 450 * time.Millisecond
	// seedInterval is the time between two calls of a VM that knows no others, to
	// one of its seeds.
	seedInterval = time.Second
	// seedDelay is how long after its start a VM leaves it to the store to tell
	// it of others.
	seedDelay = time.Second
	// pollTimeout bounds the questions to the roots of other zones, two round
	// trips between regions and a new connection. The VMs still have time to
	// confirm the record among themselves before the last confirmation expires.
	pollTimeout = 200 * time.Millisecond
)

// outagePoller asks other VMs for changes and confirmations of the leader record
// while this VM has no fresh confirmation. Only the VMs on which others rely do so:
// the zone watchers, and those that no VM that they follow answers. The others get
// from them what they learn.
type outagePoller struct {
	*fleet
	// seedAskedAt is when a seed was last asked.
	seedAskedAt time.Duration
}

// run polls other VMs when needed, until the context ends.
func (o *outagePoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pollInterval+rand.N(pollInterval/4))
		if o.isConfirmed() {
			continue
		}
		switch {
		case len(o.directory.members().peers) == 0:
			o.askSeed(ctx)
		case !o.synced.Load():
			o.askSources(ctx)
		case o.isZoneWatcher() || o.sources.silentFor(o.Now()) > storeStaleAfter:
			o.poll(ctx)
		}
	}
}

// isConfirmed reports whether the leader record was confirmed less than pollAfter
// ago.
func (o *outagePoller) isConfirmed() bool {
	revision, _, _ := o.grants.StoreConfirmation()
	validAt, ever := o.grants.ValidFrom(revision)
	return ever && o.Now()-validAt < pollAfter
}

// askSeed asks one of the seeds for everything it knows, if the store has not told
// this VM of others within seedDelay of its start.
func (o *outagePoller) askSeed(ctx context.Context) {
	seeds := o.settings().Seeds()
	now := o.Now()
	if len(seeds) == 0 || now-o.startedAt < seedDelay || o.seedAskedAt != 0 && now-o.seedAskedAt < seedInterval {
		return
	}
	o.seedAskedAt = now
	o.recall(ctx, seeds[rand.N(len(seeds))], &peerpb.RecallRequest{})
	o.wakeSupervisor()
}

// askSources asks the VMs that this one follows for what they know, until one has a
// fresh confirmation. A VM that has not read the store yet learns of changes that
// way.
func (o *outagePoller) askSources(ctx context.Context) {
	for _, p := range o.ownSources() {
		a := o.follow(ctx, p, 0)
		if a != nil && o.isFresh(a) {
			o.wakeSupervisor()
			return
		}
	}
}

// poll asks the root of each other zone for changes and confirmations. If none has a
// fresh confirmation, the VMs confirm the record among themselves.
func (o *outagePoller) poll(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	wait := sync.WaitGroup{}
	for name, z := range o.directory.members().zones {
		if name == o.Settings.Zone() {
			continue
		}
		contacts := o.sources.answering(z.order, o.Now())
		for _, p := range contacts[:min(len(contacts), 1)] {
			wait.Go(func() { o.follow(limited, p, 0) })
		}
	}
	wait.Wait()
	cancel()
	o.wakeSupervisor()
	if !o.isConfirmed() {
		o.confirmAmongVMs(ctx)
	}
}

// confirmAmongVMs asks all VMs, along the overlays of their zones, whether they know
// a newer leader record or move a leadership. Independently of the store, the record
// counts as confirmed if enough VMs are moving no leadership and none that answered
// knows a newer record; see confirmation.
func (o *outagePoller) confirmAmongVMs(ctx context.Context) {
	sent := o.Now()
	revision, _, _ := o.grants.StoreConfirmation()
	c := newConfirmation(o.directory.recentPeers())
	q := &peerpb.GatherRequest{}
	if !o.grants.Record().Moving() {
		// A move that cannot end, since most VMs are split from the one that makes it,
		// is no news to those: they would lose the leader that they still reach.
		q.Record = o.recordMessage()
	}
	for _, s := range o.gatherAll(ctx, q) {
		if store.At(s.GetRecordEra(), s.GetRecord()) > revision {
			return
		}
		if s.GetResting() {
			c.agree(s.GetName())
		}
	}
	if c.enough() && o.mover.Idle() && o.grants.ConfirmedSinceStart() {
		o.grants.ConfirmByPeers(revision, sent)
	}
}

// gatherAll returns the states of the VMs of all zones that answer, without this VM's
// own.
func (f *fleet) gatherAll(ctx context.Context, q *peerpb.GatherRequest) []*peerpb.Status {
	zones := f.directory.members().zones
	lock := sync.Mutex{}
	all := []*peerpb.Status{}
	wait := sync.WaitGroup{}
	for name := range zones {
		wait.Go(func() {
			members := f.gatherZone(ctx, name, q)
			lock.Lock()
			defer lock.Unlock()
			all = append(all, members...)
		})
	}
	wait.Wait()
	return all
}
