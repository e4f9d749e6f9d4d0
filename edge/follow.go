package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthsill/clock"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// Timing of the calls that follow the store, and the VMs that make them.
const (
	// followTimeout is how long one call waits for changes. It bounds the time
	// in which a silently dropped watch is noticed; a configuration has to be in
	// force within 4 s. It is also how old the confirmation of the configuration
	// may be when the store fails, of the time for which VMs serve customers then.
	followTimeout = time.Second
	// batchInterval is the pause before a call that comes within this time of
	// the last one, so that one call returns several changes. It is short
	// compared with the seconds within which a change has to be in force.
	batchInterval = 400 * time.Millisecond
	// startupPeriod is the time after a VM's start in which many other VMs may
	// be starting too; startupBatchInterval replaces batchInterval in it.
	startupPeriod        = 5 * time.Second
	startupBatchInterval = 750 * time.Millisecond
	// peerFollowTimeout is how long another VM is asked to wait for something
	// newer. A confirmation of the leader record ends the wait, so that this is
	// also the time in which a VM that no longer gets any is noticed.
	peerFollowTimeout = 450 * time.Millisecond
	// sourceDelay is how long a VM may take beyond peerFollowTimeout before the next
	// one that is followed is asked as well. It covers a round trip between regions.
	sourceDelay = 100 * time.Millisecond
	// maxStaleness is how long a VM goes on following others that answer but do
	// not reach the store, before it calls the store itself. A configuration has
	// to be in force within 4 s on every VM that reaches it.
	maxStaleness = 1500 * time.Millisecond
	// registrationTimeout is how long a VM waits for its registration before it
	// reads everything when the whole system starts for the first time, so that it
	// finds the VMs that started with it. Later the others are in the store, and a
	// slow store would add its delay to the time in which nobody is served.
	registrationTimeout = 500 * time.Millisecond
	// firstSyncTimeout and maxSyncTimeout bound the attempts to read everything;
	// each attempt may take twice as long as the one before. A store that was
	// silent at the first attempt, as after a loss of power, may answer the next
	// one at once; a slow store needs several seconds for a large configuration.
	firstSyncTimeout = 700 * time.Millisecond
	maxSyncTimeout   = 8 * time.Second
	// minStoreBackoff is the first pause after a failed call to the store, and
	// fleetWatcherMaxBackoff the longest one of a VM on which all zones rely, or
	// of one that has not read everything yet.
	minStoreBackoff        = 150 * time.Millisecond
	fleetWatcherMaxBackoff = 300 * time.Millisecond
	// zoneWatcherMaxBackoff and nonWatcherMaxBackoff are the longest pauses of
	// the other zone watchers and of the rest. While the store is away their
	// calls would only add to its load, and they learn from those that they
	// follow when it is back.
	zoneWatcherMaxBackoff = time.Second
	nonWatcherMaxBackoff  = 2 * time.Second
)

// storeFollower keeps the directory in step with the store.
type storeFollower struct {
	*VM
	// syncTimeout is the timeout of the current or last attempt to read
	// everything; zero after a success.
	syncTimeout time.Duration
	// lastCall is when the store was last asked for changes.
	lastCall time.Duration
	// currentAt is when this VM last heard from the store, or from a VM that had.
	currentAt time.Duration
}

// run follows the store until the context ends.
func (f *storeFollower) run(ctx context.Context) {
	b := clock.Backoff{Min: minStoreBackoff}
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil || ctx.Err() != nil {
			b.Reset()
			continue
		}
		f.storeFailed("following changes", err)
		b.Max = f.maxBackoff()
		b.Wait(ctx)
	}
}

// step reads everything from the store if that was not done yet. Otherwise it
// waits once for changes, from the VMs that this one follows in the overlay. It asks
// the store if none of them answers; if none that answers has heard from the store
// lately, a zone watcher does so at once, and others after maxStaleness.
func (f *storeFollower) step(ctx context.Context) error {
	if !f.synced.Load() {
		if f.Settings.FirstStart() {
			f.awaitRegistration(ctx)
		}
		return f.sync(ctx)
	}
	switch f.followPeers(ctx) {
	case followedCurrent:
		f.currentAt = f.Now()
		return nil
	case followedStale:
		if !f.isZoneWatcher() && f.Now()-f.currentAt < maxStaleness {
			return nil
		}
	case followedNone:
	}
	f.awaitBatch(ctx)
	sent := f.Now()
	items, revision, err := f.Adapter.Store.Watch(ctx, "", f.directory.CompleteRevision(), followTimeout)
	if errors.Is(err, store.ErrCompacted) {
		f.Log.Info("store no longer gives the changes after this revision; reading everything again", "after", f.directory.CompleteRevision().String(), "era", f.Adapter.Store.Era(), "reason", err.Error())
		f.synced.Store(false)
		return nil
	}
	if err != nil {
		return fmt.Errorf("follow store: %w", err)
	}
	f.storeAnswered()
	f.currentAt = f.Now()
	f.observeEra(revision.Era())
	for _, i := range items {
		f.directory.Apply(i)
	}
	f.directory.MarkComplete(revision)
	f.confirmConfiguration(watchedUntil(sent, followTimeout, f.currentAt, len(items)))
	if len(items) > 0 {
		f.wakeSupervisor()
	}
	return nil
}

// awaitBatch pauses before a call to the store if the last one began less than
// batchInterval ago, so that one call returns several changes. It then pauses for
// the whole batchInterval. During startupPeriod, startupBatchInterval replaces
// batchInterval.
func (f *storeFollower) awaitBatch(ctx context.Context) {
	pause := batchInterval
	if f.Now()-f.startedAt < startupPeriod {
		pause = startupBatchInterval
	}
	if f.Now()-f.lastCall < pause {
		sleep(ctx, pause)
	}
	f.lastCall = f.Now()
}

// awaitRegistration waits until this VM is registered, for registrationTimeout at
// most.
func (f *storeFollower) awaitRegistration(ctx context.Context) {
	for waited := time.Duration(0); waited < registrationTimeout && !f.registered.Load() && ctx.Err() == nil; waited += registrationCheckInterval {
		sleep(ctx, registrationCheckInterval)
	}
}

// registrationCheckInterval is the time between two checks whether the VM has
// registered.
const registrationCheckInterval = 5 * time.Millisecond

// followed is the outcome of following other VMs once.
type followed int

const (
	// followedNone means that no VM answered, or that there is none to follow.
	followedNone followed = iota
	// followedStale means that those that answered have not heard from the store
	// lately.
	followedStale
	// followedCurrent means that one has.
	followedCurrent
)

// followPeers waits for changes from the VMs that this one follows, until one answers
// that has heard from the store lately. VMs that confirm the leader record among
// themselves do not count: they may lack changes that the store has. The next VM is
// asked when those before have answered, or are late.
func (f *storeFollower) followPeers(ctx context.Context) followed {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources := f.ownSources()
	outcomes := make(chan followed, len(sources))
	best, waiting := followedNone, 0
	for i, p := range sources {
		waiting++
		go func() { outcomes <- f.followOne(ctx, p) }()
		late := f.sources.patience(p.Name, peerFollowTimeout+sourceDelay)
		if i == len(sources)-1 {
			late = peerFollowTimeout + recallTimeout
		}
		best = max(best, firstFollowed(outcomes, &waiting, late))
		if best == followedCurrent {
			break
		}
	}
	return best
}

// followOne follows one VM once.
func (f *storeFollower) followOne(ctx context.Context, p Peer) followed {
	a := f.fleet.follow(ctx, p, peerFollowTimeout)
	switch {
	case a == nil:
		return followedNone
	case isCurrent(a):
		return followedCurrent
	default:
		return followedStale
	}
}

// firstFollowed returns followedCurrent as soon as a VM that is waited for answers so,
// and otherwise the best outcome once all have ended or the limit has passed.
func firstFollowed(outcomes <-chan followed, waiting *int, limit time.Duration) followed {
	best := followedNone
	receiveWithin(outcomes, waiting, limit, func(n followed) bool {
		best = max(best, n)
		return best == followedCurrent
	})
	return best
}

// maxBackoff returns the longest pause between calls to a store that does not
// answer.
func (f *storeFollower) maxBackoff() time.Duration {
	switch {
	case !f.synced.Load() || f.isFleetWatcher():
		return fleetWatcherMaxBackoff
	case f.isZoneWatcher():
		return zoneWatcherMaxBackoff
	default:
		return nonWatcherMaxBackoff
	}
}

// sync reads everything. Changes are followed from the revision of the reading on,
// so that none is missed.
func (f *storeFollower) sync(ctx context.Context) error {
	f.syncTimeout = min(max(2*f.syncTimeout, firstSyncTimeout), maxSyncTimeout)
	ctx, cancel := context.WithTimeout(ctx, f.syncTimeout)
	defer cancel()
	sent := f.Now()
	items, revision, err := f.Adapter.Store.List(ctx, "")
	if err != nil {
		return fmt.Errorf("read everything: %w", err)
	}
	f.observeEra(revision.Era())
	f.directory.Reset(items, revision)
	f.confirmRecord(items, sent)
	if f.directory.Returned() {
		// All VMs that may move a leadership know the entry of the earlier start, and count
		// it for longer than it takes to write the present one.
		f.grants.Admit(sent + entryTTL)
	}
	f.directory.MarkComplete(revision)
	f.confirmConfiguration(sent)
	f.synced.Store(true)
	f.syncTimeout = 0
	f.storeAnswered()
	f.wakeSupervisor()
	return nil
}

// confirmRecord confirms the leader record that is among the items, if any. The
// store held the items at or after the time sent.
func (f *storeFollower) confirmRecord(items []store.Item, sent time.Duration) {
	for _, i := range items {
		if i.Key != succession.RecordKey {
			continue
		}
		r, err := succession.DecodeRecord(i)
		if err != nil {
			// The directory has logged it.
			return
		}
		f.grants.ConfirmRecord(r, sent)
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
