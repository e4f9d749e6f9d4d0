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

// The times of following the store.
const (
	// followWait is how long one call waits for changes. A watch that was
	// dropped without a word is noticed after it, and a configuration has to
	// be in force within 4 s.
	followWait = 2 * time.Second
	// batchPause is the time between two calls while changes come quickly; it
	// is short beside the seconds in which a change has to be in force.
	batchPause = 400 * time.Millisecond
	// startTime is how long after a VM's start many others may start as well,
	// and startPause the pause between two calls in that time.
	startTime  = 5 * time.Second
	startPause = 750 * time.Millisecond
	// hearWait is how long a spreader may wait for something new; its
	// confirmation must still be fresh afterwards.
	hearWait = 250 * time.Millisecond
	// spreaderCount is how many VMs of a zone may follow the store for it; the
	// second hears from the first, and stands in for it.
	spreaderCount = 2
	// spreadKey orders the VMs of a zone.
	spreadKey = "spread"
	// firstSync and mostSync bound the tries to read everything. A store that was
	// silent at the first try, as after a loss of power, may answer the next at
	// once; a slow one needs several seconds for a large configuration.
	firstSync = 700 * time.Millisecond
	mostSync  = 8 * time.Second
	// followPause is the first pause after a call that failed, and spreaderPause
	// the longest of a VM on which others of its zone rely.
	followPause   = 150 * time.Millisecond
	spreaderPause = 300 * time.Millisecond
	// relyingPause is the longest pause of the others: while the store is away
	// their calls would only add to its load, and when it is back they hear of
	// it from those.
	relyingPause = 2 * time.Second
)

// follower keeps the directory up to date with the store.
type follower struct {
	*VM
	synced bool
	// limit bounds the next try to read everything.
	limit time.Duration
	// called is when changes were last asked for.
	called time.Duration
}

// run follows the store until the context ends.
func (f *follower) run(ctx context.Context) {
	b := clock.Backoff{Least: followPause}
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil || ctx.Err() != nil {
			b.Reset()
			continue
		}
		f.storeFailed("following changes", err)
		b.Most = f.longestPause()
		b.Pause(ctx)
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.synced {
		return f.sync(ctx)
	}
	if f.hear(ctx) {
		return nil
	}
	f.batch(ctx)
	items, revision, err := f.Adapter.Ledger.Follow(ctx, "", f.directory.Complete(), followWait)
	if errors.Is(err, store.ErrCompacted) {
		f.Log.Info("history of the store is gone; reading everything again", "after", f.directory.Complete())
		f.synced = false
		return nil
	}
	if err != nil {
		return fmt.Errorf("follow store: %w", err)
	}
	f.storeAnswered()
	for _, i := range items {
		f.directory.Take(i)
	}
	f.directory.Completed(revision)
	if len(items) > 0 {
		f.poke()
	}
	return nil
}

// batch waits a moment when changes come in quick succession, so that one
// call brings several.
func (f *follower) batch(ctx context.Context) {
	pause := batchPause
	if f.Now()-f.begun < startTime {
		pause = startPause
	}
	if f.Now()-f.called < pause {
		pauseFor(ctx, pause)
	}
	f.called = f.Now()
}

// hear lets a spreader of the own zone tell what is new that comes before this
// VM. It reports whether one did that has a fresh confirmation.
func (f *follower) hear(ctx context.Context) bool {
	for _, p := range f.spreaders() {
		if p.Name == f.Settings.VM() {
			return false
		}
		a := f.fleet.ask(ctx, p.Address, f.Now(), hearWait)
		if a == nil || a.GetAge() < 0 || time.Duration(a.GetAge())*time.Millisecond > recallAfter {
			continue
		}
		if len(a.GetItems()) > 0 {
			f.poke()
		}
		return true
	}
	return false
}

// longestPause is that between calls to a store that does not answer.
func (f *follower) longestPause() time.Duration {
	if !f.synced || f.spreads() {
		return spreaderPause
	}
	return relyingPause
}

// spreads reports whether this VM may follow the store for its zone.
func (v *VM) spreads() bool {
	return slices.ContainsFunc(v.spreaders(), func(p Peer) bool { return p.Name == v.Settings.VM() })
}

// spreaders returns the VMs that follow the store for a zone.
func (v *VM) spreaders() []Peer {
	near := slices.DeleteFunc(v.order(spreadKey), func(p Peer) bool { return p.Zone != v.Settings.Zone() })
	return near[:min(len(near), spreaderCount)]
}

// sync reads everything at once. Changes are followed from the lowest of the
// answers' revisions on, so that none is missed.
func (f *follower) sync(ctx context.Context) error {
	f.limit = min(max(2*f.limit, firstSync), mostSync)
	ctx, cancel := context.WithTimeout(ctx, f.limit)
	defer cancel()
	sent := f.Now()
	var targets, own listing
	var configuration reading
	wait := sync.WaitGroup{}
	wait.Go(func() { targets = f.list(ctx, f.Adapter.TargetPrefix) })
	wait.Go(func() { own = f.list(ctx, ownPrefix) })
	wait.Go(func() { configuration = f.read(ctx, f.Adapter.ConfigurationKey) })
	wait.Wait()
	if err := errors.Join(targets.err, own.err, configuration.err); err != nil {
		return fmt.Errorf("read everything: %w", err)
	}
	f.directory.Take(configuration.item)
	f.directory.Reset(f.Adapter.TargetPrefix, targets.items)
	f.directory.Reset(ownPrefix, own.items)
	f.confirmFrom(own.items, sent)
	f.directory.Completed(min(targets.revision, own.revision, configuration.revision))
	f.synced = true
	f.limit = 0
	f.storeAnswered()
	f.poke()
	return nil
}

// listing is what was found under a prefix.
type listing struct {
	items    []store.Item
	revision uint64
	err      error
}

func (f *follower) list(ctx context.Context, prefix string) listing {
	items, revision, err := f.Adapter.Ledger.List(ctx, prefix)
	return listing{items: items, revision: revision, err: err}
}

// reading is what was found under a key.
type reading struct {
	item     store.Item
	revision uint64
	err      error
}

func (f *follower) read(ctx context.Context, key string) reading {
	item, revision, err := f.Adapter.Ledger.Read(ctx, key)
	return reading{item: item, revision: revision, err: err}
}

// confirmFrom takes in the record of leaders from what the store held when
// asked at or after sent.
func (f *follower) confirmFrom(items []store.Item, sent time.Duration) {
	for _, i := range items {
		if i.Key != succession.RecordKey {
			continue
		}
		r, err := succession.DecodeRecord(i)
		if err != nil {
			f.Log.Error(err, "record of leaders set aside", "revision", i.Revision)
			return
		}
		f.grants.ConfirmRecord(r, sent)
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
