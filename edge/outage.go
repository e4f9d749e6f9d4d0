package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"amaranthsill/peer/peerpb"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// Timing of calls between VMs while the store does not confirm the leader record.
const (
	// pollInterval is the time between two rounds of calls. outagePollInterval
	// replaces it while the store confirms nothing: a round of confirmations among
	// VMs takes up to half a second, and one in three may fail before a grant expires.
	pollInterval       = 200 * time.Millisecond
	outagePollInterval = 60 * time.Millisecond
	// pollAfter is the age of the last confirmation from which on a VM polls. The
	// confirmation that it gets reaches the VMs that follow it before theirs are
	// older than storeStaleAfter. outagePollAfter replaces it while the store confirms
	// nothing.
	pollAfter       = 450 * time.Millisecond
	outagePollAfter = 150 * time.Millisecond
	// seedInterval is the time between two calls of a VM that knows no others, to
	// one of its seeds.
	seedInterval = time.Second
	// seedDelay is how long after its start a VM leaves it to the store to tell
	// it of others.
	seedDelay = time.Second
	// pollTimeout bounds the questions to the roots of other zones, two round
	// trips between regions and a new connection. After pollLead, a round trip over
	// an open connection, the VMs begin to confirm the record among themselves, so
	// that they have before the last confirmation expires.
	pollTimeout = 200 * time.Millisecond
	pollLead    = 80 * time.Millisecond
	// orphanTimeout is how long no VM that a VM follows may answer before it polls
	// itself, like a zone watcher. It polls at once if none is left that answers.
	orphanTimeout = 2 * time.Second
	// newcomerPeriod is the time after its start in which a VM may lack others whose
	// entries had lapsed when it read them, and with which it has had no contact since.
	newcomerPeriod = establishedAfter + succession.OutageLength
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
		interval := pollInterval
		if o.isStoreSilent() {
			interval = outagePollInterval
		}
		sleep(ctx, interval+rand.N(interval/4))
		if o.isConfirmed() {
			continue
		}
		switch {
		case len(o.directory.members().peers) == 0:
			o.askSeed(ctx)
		case !o.synced.Load():
			o.askSources(ctx)
		case o.isZoneWatcher() || len(o.ownSources()) == 0 || o.sources.silentFor(o.Now()) > orphanTimeout:
			o.poll(ctx)
		}
	}
}

// isStoreSilent reports whether neither this VM nor another that it heard of had the
// leader record confirmed by the store lately.
func (o *outagePoller) isStoreSilent() bool {
	_, confirmedAt, confirmed := o.grants.StoreConfirmation()
	return confirmed && o.Now()-confirmedAt > storeStaleAfter
}

// isConfirmed reports whether the leader record was confirmed less than pollAfter
// ago, or outagePollAfter.
func (o *outagePoller) isConfirmed() bool {
	limit := pollAfter
	if o.isStoreSilent() {
		limit = outagePollAfter
	}
	revision, _, _ := o.grants.StoreConfirmation()
	validAt, ever := o.grants.ValidFrom(revision)
	return ever && o.Now()-validAt < limit
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
	defer cancel()
	wait := sync.WaitGroup{}
	defer wait.Wait()
	for name, z := range o.directory.members().zones {
		if name == o.Settings.Zone() {
			continue
		}
		contacts := o.sources.answering(z.order, o.Now())
		for _, p := range contacts[:min(len(contacts), 1)] {
			wait.Go(func() { o.follow(limited, p, 0) })
		}
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		wait.Wait()
	}()
	lead := time.NewTimer(pollLead)
	defer lead.Stop()
	select {
	case <-answered:
	case <-lead.C:
	}
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
	if sent-o.startedAt < newcomerPeriod {
		c.expect(o.grants.Record().VMs)
	}
	q := &peerpb.GatherRequest{}
	if !o.grants.Record().Moving() {
		// A move that cannot end, since most VMs are split from the one that makes it,
		// is no news to those: they would lose the leader that they still reach.
		q.Record = o.recordMessage()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for members := range o.gatherAll(ctx, q) {
		for _, s := range members {
			if store.At(s.GetRecordEra(), s.GetRecord()) > revision {
				return
			}
			if s.GetResting() {
				c.agree(s.GetName())
			}
		}
		if c.enough() {
			break
		}
	}
	if c.enough() && o.mayConfirm() {
		o.grants.ConfirmByPeers(revision, sent)
	}
}

// mayConfirm reports whether this VM may confirm the leader record to other VMs: it is
// moving no leadership, and does not forget one to which it yielded before it started.
func (v *VM) mayConfirm() bool {
	return v.mover.Idle() && v.grants.ConfirmedSinceStart() && v.grants.Admitted()
}

// gatherAll returns a channel with the states of the VMs that answer, zone by zone and
// without this VM's own. It is closed when all zones have been gathered.
func (f *fleet) gatherAll(ctx context.Context, q *peerpb.GatherRequest) <-chan []*peerpb.Status {
	zones := f.directory.members().zones
	all := make(chan []*peerpb.Status, len(zones))
	wait := sync.WaitGroup{}
	for name := range zones {
		wait.Go(func() { all <- f.gatherZone(ctx, name, q) })
	}
	go func() {
		wait.Wait()
		close(all)
	}()
	return all
}
