package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthsill/store"
)

// The times of following the store.
const (
	// followWait is how long one call waits for changes. A watch that was
	// dropped without a word is noticed after it, and a configuration has to
	// be in force within 4 s.
	followWait = 2 * time.Second
	// followPause is the pause after a call that failed; jitter doubles it
	// at most.
	followPause = 150 * time.Millisecond
)

// follower keeps the directory up to date with the store.
type follower struct {
	*VM
	revision uint64
	synced   bool
}

// run follows the store until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.storeFailed("following changes", err)
		pauseFor(ctx, followPause+rand.N(followPause))
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.synced {
		return f.sync(ctx)
	}
	items, revision, err := f.Adapter.Ledger.Follow(ctx, "", f.revision, followWait)
	if errors.Is(err, store.ErrCompacted) {
		f.Log.Info("history of the store is gone; reading everything again", "after", f.revision)
		f.synced = false
		return nil
	}
	if err != nil {
		return fmt.Errorf("follow store: %w", err)
	}
	f.storeAnswered()
	f.revision = max(f.revision, revision)
	for _, i := range items {
		f.directory.Take(i)
	}
	if len(items) > 0 {
		f.poke()
	}
	return nil
}

// sync reads everything. Changes are followed from the first answer's
// revision on, so that none is missed.
func (f *follower) sync(ctx context.Context) error {
	l := f.Adapter.Ledger
	targets, revision, err := l.List(ctx, f.Adapter.TargetPrefix)
	if err != nil {
		return fmt.Errorf("read targets: %w", err)
	}
	own, _, err := l.List(ctx, ownPrefix)
	if err != nil {
		return fmt.Errorf("read VMs: %w", err)
	}
	configuration, _, err := l.Read(ctx, f.Adapter.ConfigurationKey)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	f.directory.Take(configuration)
	f.directory.Reset(f.Adapter.TargetPrefix, targets)
	f.directory.Reset(ownPrefix, own)
	f.revision = revision
	f.synced = true
	f.storeAnswered()
	f.poke()
	return nil
}

func pauseFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
