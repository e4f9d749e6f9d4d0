package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"amaranthsill/clock"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// Timing of the calls that follow the store, and the VMs that make them.
const (
	// followTimeout is how long one call waits for changes. It bounds the time
	// in which a silently dropped watch is noticed; a configuration has to be in
	// force within 4 s.
	followTimeout = 2 * time.Second
	// batchInterval is the pause before a call that comes within this time of
	// the last one, so that one call returns several changes. It is short
	// compared with the seconds within which a change has to be in force.
	batchInterval = 400 * time.Millisecond
	// startupPeriod is the time after a VM's start in which many other VMs may
	// be starting too; startupBatchInterval replaces batchInterval in it.
	startupPeriod        = 5 * time.Second
	startupBatchInterval = 750 * time.Millisecond
	// peerFollowTimeout is how long a zone watcher is asked to wait for
	// something newer. Its confirmation of the leader record must still be fresh
	// afterwards.
	peerFollowTimeout = 250 * time.Millisecond
	// maxZoneWatchers is how many VMs of a zone follow the store for the whole
	// zone. The second follows the first, and replaces it when it fails.
	maxZoneWatchers = 2
	// watcherOrderKey ranks the VMs of a zone; the first are its watchers.
	watcherOrderKey = "spread"
	// firstSyncTimeout and maxSyncTimeout bound the attempts to read everything;
	// each attempt may take twice as long as the one before. A store that was
	// silent at the first attempt, as after a loss of power, may answer the next
	// one at once; a slow store needs several seconds for a large configuration.
	firstSyncTimeout = 700 * time.Millisecond
	maxSyncTimeout   = 8 * time.Second
	// minStoreBackoff is the first pause after a failed call to the store, and
	// watcherMaxBackoff the longest one of a VM on which its zone relies.
	minStoreBackoff   = 150 * time.Millisecond
	watcherMaxBackoff = 300 * time.Millisecond
	// nonWatcherMaxBackoff is the longest pause of the other VMs. While the
	// store is away their calls would only add to its load, and they learn from
	// the zone's watchers when it is back.
	nonWatcherMaxBackoff = 2 * time.Second
)

// storeFollower keeps the directory in step with the store.
type storeFollower struct {
	*VM
	// synced reports that everything was read and changes are being followed.
	synced bool
	// syncTimeout is the timeout of the current or last attempt to read
	// everything; zero after a success.
	syncTimeout time.Duration
	// lastCall is when the store was last asked for changes.
	lastCall time.Duration
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
// waits once for changes: it asks the zone's watchers that rank before this VM,
// and the store if there is none or none has a fresh confirmation.
func (f *storeFollower) step(ctx context.Context) error {
	if !f.synced {
		return f.sync(ctx)
	}
	if f.followPeer(ctx) {
		return nil
	}
	f.awaitBatch(ctx)
	items, revision, err := f.Adapter.Store.Watch(ctx, "", f.directory.CompleteRevision(), followTimeout)
	if errors.Is(err, store.ErrCompacted) {
		f.Log.Info("store no longer keeps the changes after this revision; reading everything again", "after", f.directory.CompleteRevision())
		f.synced = false
		return nil
	}
	if err != nil {
		return fmt.Errorf("follow store: %w", err)
	}
	f.storeAnswered()
	for _, i := range items {
		f.directory.Apply(i)
	}
	f.directory.MarkComplete(revision)
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

// followPeer waits for changes from the zone's watchers that rank before this VM.
// It reports whether one of them answered with a fresh confirmation of the leader
// record; if not, this VM has to call the store itself.
func (f *storeFollower) followPeer(ctx context.Context) bool {
	for _, p := range f.zoneWatchers() {
		if p.Name == f.Settings.VM() {
			return false
		}
		a := f.fleet.recall(ctx, p.Address, f.Now(), peerFollowTimeout)
		if a == nil || a.GetAge() < 0 || time.Duration(a.GetAge())*time.Millisecond > storeStaleAfter {
			continue
		}
		if len(a.GetItems()) > 0 {
			f.wakeSupervisor()
		}
		return true
	}
	return false
}

// maxBackoff returns the longest pause between calls to a store that does not
// answer.
func (f *storeFollower) maxBackoff() time.Duration {
	if !f.synced || f.isZoneWatcher() {
		return watcherMaxBackoff
	}
	return nonWatcherMaxBackoff
}

// isZoneWatcher reports whether this VM may follow the store for its zone.
func (v *VM) isZoneWatcher() bool {
	return slices.ContainsFunc(v.zoneWatchers(), func(p Peer) bool { return p.Name == v.Settings.VM() })
}

// zoneWatchers returns the VMs that follow the store for this VM's zone, in the
// order in which the others ask them.
func (v *VM) zoneWatchers() []Peer {
	inZone := slices.DeleteFunc(v.rankedPeers(watcherOrderKey), func(p Peer) bool { return p.Zone != v.Settings.Zone() })
	return inZone[:min(len(inZone), maxZoneWatchers)]
}

// sync reads everything at once, in three concurrent calls. Changes are followed
// from the lowest of the three revisions on, so that none is missed.
func (f *storeFollower) sync(ctx context.Context) error {
	f.syncTimeout = min(max(2*f.syncTimeout, firstSyncTimeout), maxSyncTimeout)
	ctx, cancel := context.WithTimeout(ctx, f.syncTimeout)
	defer cancel()
	sent := f.Now()
	var targets, own listResult
	var configuration readResult
	wait := sync.WaitGroup{}
	wait.Go(func() { targets = f.list(ctx, f.Adapter.TargetPrefix) })
	wait.Go(func() { own = f.list(ctx, proxyPrefix) })
	wait.Go(func() { configuration = f.read(ctx, f.Adapter.ConfigurationKey) })
	wait.Wait()
	if err := errors.Join(targets.err, own.err, configuration.err); err != nil {
		return fmt.Errorf("read everything: %w", err)
	}
	f.directory.Apply(configuration.item)
	f.directory.Reset(f.Adapter.TargetPrefix, targets.items)
	f.directory.Reset(proxyPrefix, own.items)
	f.confirmRecord(own.items, sent)
	f.directory.MarkComplete(min(targets.revision, own.revision, configuration.revision))
	f.synced = true
	f.syncTimeout = 0
	f.storeAnswered()
	f.wakeSupervisor()
	return nil
}

// listResult is the result of listing a prefix.
type listResult struct {
	items    []store.Item
	revision uint64
	err      error
}

// list lists the keys under a prefix.
func (f *storeFollower) list(ctx context.Context, prefix string) listResult {
	items, revision, err := f.Adapter.Store.List(ctx, prefix)
	return listResult{items: items, revision: revision, err: err}
}

// readResult is the result of reading a key.
type readResult struct {
	item     store.Item
	revision uint64
	err      error
}

// read reads one key.
func (f *storeFollower) read(ctx context.Context, key string) readResult {
	item, revision, err := f.Adapter.Store.Read(ctx, key)
	return readResult{item: item, revision: revision, err: err}
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
			f.Log.Error(err, "leader record cannot be decoded; ignoring it", "revision", i.Revision)
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
