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

// Intervals and timeouts of the calls to the platform.
const (
	// watchTimeout is how long one watch of the manifest waits for a change.
	watchTimeout = 5 * time.Second
	// retryInterval is the time before the next call to a platform that failed.
	// The admin server uses it as its limit for reading request headers too.
	retryInterval = 500 * time.Millisecond
	// listInterval is the time between two reads of the platform's list of VMs.
	listInterval = time.Second
	// roleCheckInterval is the time after which a VM that does not watch the
	// platform checks again whether it should.
	roleCheckInterval = time.Second
	// initialPeerWait is how long a starting VM waits for its peers to tell it
	// the version in force before it reads the platform's store.
	initialPeerWait = 300 * time.Millisecond
	// warnInterval is the minimum time between two warnings of warnIfDegraded.
	warnInterval = 30 * time.Second
)

// watchManifest is the goroutine that watches the manifest in the platform's
// store while the roster assigns that to this VM. A starting VM reads the store
// until it has answered once, after its peers had time to tell it the version in
// force.
func (v *VM) watchManifest(ctx context.Context) {
	sleep(ctx, initialPeerWait)
	for started := false; ctx.Err() == nil; {
		if started && !v.mesh.View().WatchesPlatform {
			sleep(ctx, roleCheckInterval)
			continue
		}
		wait := watchTimeout
		if !started {
			wait = 0
		}
		started = v.watchOnce(ctx, wait) || started
	}
}

// watchOnce waits up to wait for a change of the manifest in the store and puts
// it in force. It reports whether the store answered.
func (v *VM) watchOnce(ctx context.Context, wait time.Duration) bool {
	e, err := v.store.Watch(ctx, store.ManifestKey, v.watchRevision, wait)
	switch {
	case errors.Is(err, store.ErrAbsent):
		v.restore(ctx, store.Entry{}, store.Record{})
		sleep(ctx, retryInterval)
		return true
	case err != nil:
		v.Log.V(1).Info("watching the manifest in the platform's store failed; retrying", "error", err.Error())
		// The store may have lost its revisions; waiting for one above the last
		// known could then take forever.
		v.watchRevision = 0
		sleep(ctx, retryInterval)
		return false
	}
	v.watchRevision = e.Revision()
	r, err := store.DecodeRecord(e.Value())
	if err != nil {
		v.manifestsUnreadable.Inc()
		v.Log.Error(err, "manifest in the platform's store cannot be decoded; keeping the one in force")
		sleep(ctx, retryInterval)
		return true
	}
	v.adopt(ctx, r)
	v.restore(ctx, e, r)
	if r.Version() == v.kernel.Record().Version {
		v.mesh.Post(ctx, roster.VersionHeld{Document: peer.ManifestDocument, Version: r.Version(), Confirmed: true})
	}
	return true
}

// restore writes the manifest in force back to a store that has lost it, so that
// an accepted configuration never reverts. If the store has meanwhile accepted
// a submission that the manifest in force does not include, the submission
// becomes the next version instead.
func (v *VM) restore(ctx context.Context, e store.Entry, stored store.Record) {
	v.lock.Lock()
	inForce := v.storeRecord
	v.lock.Unlock()
	if inForce.Version() <= stored.Version() {
		return
	}
	next := inForce
	if _, known := inForce.Find(stored.Submission()); stored.Version() > 0 && !known {
		next = inForce.Next(stored.Submission(), stored.Text())
	}
	value, err := next.Encode()
	if err != nil {
		v.Log.Error(err, "manifest in force cannot be encoded; not restoring it to the platform's store")
		return
	}
	if _, err := v.store.Swap(ctx, store.ManifestKey, e.Revision(), value); err != nil {
		v.Log.V(1).Info("writing the manifest in force back to the platform's store failed; retrying with the next watch", "error", err.Error())
		return
	}
	v.Log.Info("platform's store held a lower manifest version; wrote the one in force back", "version", next.Version(), "held", stored.Version())
}

// adopt puts a record in force if its version is above the one in force and its
// manifest is valid. Otherwise the manifest in force stays. The store.Record
// holds the manifest as text, which restore and document pass on; the
// kernel.Record holds it parsed.
func (v *VM) adopt(ctx context.Context, r store.Record) {
	if r.Version() <= v.kernel.Record().Version {
		return
	}
	m, err := manifest.Parse(fmt.Sprintf("version %d", r.Version()), r.Text())
	if err == nil {
		err = m.RejectCustomers()
	}
	if err != nil {
		v.manifestsUnreadable.Inc()
		v.Log.Error(err, "new manifest version is invalid; keeping the one in force")
		return
	}
	v.lock.Lock()
	if r.Version() > v.storeRecord.Version() {
		v.storeRecord = r
	}
	v.lock.Unlock()
	// Configure returns false if another goroutine has meanwhile put this version
	// or a higher one in force.
	if v.kernel.Configure(ctx, kernel.Record{Version: r.Version(), Manifest: m}) {
		v.Log.Info("manifest in force", "version", r.Version())
		v.warnOfZeroShares(m)
		v.mesh.Post(ctx, roster.VersionHeld{Document: peer.ManifestDocument, Version: r.Version()})
	}
}

// warnOfZeroShares logs each target whose connection limit is below the setting
// fleet, so that each VM's share of the target's connections is zero.
func (v *VM) warnOfZeroShares(m *manifest.Manifest) {
	for _, g := range m.Groups() {
		for _, t := range g.Targets() {
			if t.ConnectionLimit() < v.Settings.MaxVMs() {
				v.Log.Info("target accepts fewer connections than the setting fleet; no VM may connect to it", "group", g.Name(), "target", t.Name(), "connections", t.ConnectionLimit(), "fleet", v.Settings.MaxVMs())
			}
		}
	}
}

// adoptFromPeer puts the record in force that was fetched from another VM, under
// the rules of adopt.
func (v *VM) adoptFromPeer(ctx context.Context, _ string, value []byte) {
	r, err := store.DecodeRecord(value)
	if err != nil {
		v.manifestsUnreadable.Inc()
		v.Log.Error(err, "manifest from a peer cannot be decoded; keeping the one in force")
		return
	}
	v.adopt(ctx, r)
}

// document returns the encoded record in force for other VMs, and whether there
// is one. The manifest is the only document.
func (v *VM) document(name string) ([]byte, bool) {
	v.lock.Lock()
	r := v.storeRecord
	v.lock.Unlock()
	if name != peer.ManifestDocument || r.Version() == 0 {
		return nil, false
	}
	value, err := r.Encode()
	return value, err == nil
}

// pollVMList is the goroutine that reads the platform's list of VMs while the
// roster assigns that to this VM, or while it knows no other VM.
func (v *VM) pollVMList(ctx context.Context) {
	for ctx.Err() == nil {
		view := v.mesh.View()
		if view.WatchesPlatform || len(view.VMs) <= 1 {
			v.readVMList(ctx)
		}
		v.warnIfDegraded(view)
		sleep(ctx, listInterval)
	}
}

// readVMList reads the platform's list of VMs and passes it to the mesh.
func (v *VM) readVMList(ctx context.Context) {
	vms, err := v.store.VMs(ctx)
	if err != nil {
		v.Log.V(1).Info("reading the platform's list of VMs failed; keeping the last one", "error", err.Error())
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

// warnIfDegraded logs that the version in force is unconfirmed, or that more VMs
// run than the setting fleet allows, at most once per warnInterval.
func (v *VM) warnIfDegraded(view peer.View) {
	if time.Since(v.lastWarning) < warnInterval {
		return
	}
	if view.Unconfirmed {
		v.lastWarning = time.Now()
		v.Log.Info("manifest version in force is not confirmed by the platform; continuing to serve with it", "version", v.kernel.Record().Version, "age", view.SinceConfirmed.String())
	}
	if n := len(view.VMs); n > v.Settings.MaxVMs() {
		v.lastWarning = time.Now()
		v.Log.Info("more VMs are running than the setting fleet allows; raise it", "vms", n, "fleet", v.Settings.MaxVMs())
	}
}
