package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthsill/kernel"
	"amaranthsill/manifest"
	"amaranthsill/peer"
	"amaranthsill/roster"
	"amaranthsill/store"
)

// The times of calls to the platform.
const (
	// watchWait is how long one watch of the manifest waits.
	watchWait = 5 * time.Second
	// retryPause is the time between calls to a platform that fails.
	retryPause = 500 * time.Millisecond
	// listPause is the time between a spreader's reads of the list of VMs.
	listPause = time.Second
	// dutyPause is the time after which a VM looks again whether it is a
	// spreader.
	dutyPause = time.Second
	// peersFirst is how long a new VM waits for its peers to tell it the
	// version in force before it takes the platform's.
	peersFirst = 300 * time.Millisecond
	// warnPause is the time between two log lines of a blind VM.
	warnPause = 30 * time.Second
)

// followManifest is the goroutine that watches the manifest in the store, if
// this VM is a spreader. A new VM reads the store once, after its peers.
func (v *VM) followManifest(ctx context.Context) {
	pause(ctx, peersFirst)
	for started := false; ctx.Err() == nil; {
		if started && !v.mesh.View().Spreader {
			pause(ctx, dutyPause)
			continue
		}
		wait := watchWait
		if !started {
			wait = 0
		}
		started = v.watch(ctx, wait) || started
	}
}

// watch waits once for a change in the store and reports whether the store
// answered.
func (v *VM) watch(ctx context.Context, wait time.Duration) bool {
	e, err := v.store.Watch(ctx, store.ManifestKey, v.revision, wait)
	switch {
	case errors.Is(err, store.ErrAbsent):
		v.restore(ctx, store.Entry{}, store.Record{})
		pause(ctx, retryPause)
		return true
	case err != nil:
		v.Log.V(1).Info("watch failed", "error", err.Error())
		// A store that lost its revisions must not be waited on for a
		// higher one.
		v.revision = 0
		pause(ctx, retryPause)
		return false
	}
	v.revision = e.Revision()
	r, err := store.DecodeRecord(e.Value())
	if err != nil {
		v.unreadable.Inc()
		v.Log.Error(err, "stored manifest is unreadable; the one in force stays")
		pause(ctx, retryPause)
		return true
	}
	v.adopt(ctx, r)
	v.restore(ctx, e, r)
	if r.Version() == v.kernel.Record().Version {
		v.mesh.Post(ctx, roster.Held{Document: peer.ManifestDocument, Version: r.Version(), Confirmed: true})
	}
	return true
}

// restore puts the manifest in force back into a store that has lost it, so
// that an accepted configuration never reverts. If a submission was accepted
// by the store that had lost it, that one gets the next version instead.
func (v *VM) restore(ctx context.Context, e store.Entry, stored store.Record) {
	v.lock.Lock()
	own := v.record
	v.lock.Unlock()
	if own.Version() <= stored.Version() {
		return
	}
	next := own
	if _, known := own.Find(stored.Submission()); stored.Version() > 0 && !known {
		next = own.Next(stored.Submission(), stored.Text())
	}
	value, err := next.Encode()
	if err != nil {
		v.Log.Error(err, "manifest in force cannot be encoded")
		return
	}
	if _, err := v.store.Swap(ctx, store.ManifestKey, e.Revision(), value); err != nil {
		v.Log.V(1).Info("manifest could not be restored", "error", err.Error())
		return
	}
	v.Log.Info("platform held a lower version; restored the one in force", "version", next.Version(), "held", stored.Version())
}

// adopt puts a record in force, unless it is no newer than the one in force
// or breaks the rules; then the one in force stays.
func (v *VM) adopt(ctx context.Context, r store.Record) {
	if r.Version() <= v.kernel.Record().Version {
		return
	}
	m, err := manifest.Parse(fmt.Sprintf("version %d", r.Version()), r.Text())
	if err != nil {
		v.unreadable.Inc()
		v.Log.Error(err, "stored manifest breaks its rules; the one in force stays")
		return
	}
	v.lock.Lock()
	if r.Version() > v.record.Version() {
		v.record = r
	}
	v.lock.Unlock()
	if v.kernel.Configure(ctx, kernel.Record{Version: r.Version(), Manifest: m}) {
		v.Log.Info("manifest in force", "version", r.Version())
		v.warnOfShares(m)
		v.mesh.Post(ctx, roster.Held{Document: peer.ManifestDocument, Version: r.Version()})
	}
}

// warnOfShares logs targets of which this VM may hold no connection.
func (v *VM) warnOfShares(m *manifest.Manifest) {
	for _, g := range m.Groups() {
		for _, t := range g.Targets() {
			if t.Connections() < v.Settings.Fleet() {
				v.Log.Info("target takes fewer connections than the setting fleet; no VM may use it", "group", g.Name(), "target", t.Name(), "connections", t.Connections(), "fleet", v.Settings.Fleet())
			}
		}
	}
}

// adoptFromPeer takes over a record that another VM holds.
func (v *VM) adoptFromPeer(ctx context.Context, _ string, value []byte) {
	r, err := store.DecodeRecord(value)
	if err != nil {
		v.unreadable.Inc()
		v.Log.Error(err, "peer's manifest is unreadable; the one in force stays")
		return
	}
	v.adopt(ctx, r)
}

// document returns the stored form of the manifest in force, for peers.
func (v *VM) document(name string) ([]byte, bool) {
	v.lock.Lock()
	r := v.record
	v.lock.Unlock()
	if name != peer.ManifestDocument || r.Version() == 0 {
		return nil, false
	}
	value, err := r.Encode()
	return value, err == nil
}

// followRoster is the goroutine that reads the platform's list of VMs, if
// this VM is a spreader or knows no other VM.
func (v *VM) followRoster(ctx context.Context) {
	for ctx.Err() == nil {
		look := v.mesh.View()
		if look.Spreader || len(look.VMs) <= 1 {
			v.readList(ctx)
		}
		v.warnIfBlind(look)
		pause(ctx, listPause)
	}
}

func (v *VM) readList(ctx context.Context) {
	vms, err := v.store.VMs(ctx)
	if err != nil {
		v.Log.V(1).Info("list of VMs could not be read", "error", err.Error())
		return
	}
	members := []roster.Member{}
	for _, m := range vms {
		state := roster.StateAlive
		if m.Leaving {
			state = roster.StateLeaving
		}
		members = append(members, roster.NewMember(m.Name, m.Zone, m.Address, 0, state))
	}
	v.mesh.Post(ctx, roster.Listed{Members: members})
}

// warnIfBlind logs, now and then, that the version in force cannot be
// confirmed, or that there are more VMs than the settings allow for.
func (v *VM) warnIfBlind(look peer.View) {
	if time.Since(v.warned) < warnPause {
		return
	}
	if look.Blind {
		v.warned = time.Now()
		v.Log.Info("version in force is not confirmed; serving on with it", "version", v.kernel.Record().Version, "age", look.Age.String())
	}
	if n := len(look.VMs); n > v.Settings.Fleet() {
		v.warned = time.Now()
		v.Log.Info("more VMs than the setting fleet allows for; raise it", "vms", n, "fleet", v.Settings.Fleet())
	}
}
