// Package entry is one VM of the system: it serves callers, follows the
// manifest in force, and shows its metrics, health and status.
//
// # Usage
//
//	settings, err := entry.ReadSettings("vm.json")
//	vm := &entry.VM{Settings: settings, Log: log}
//	err = vm.Run(ctx) // until ctx ends, then stops gracefully
package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/caller"
	"amaranthsill/group"
	"amaranthsill/kernel"
	_ "amaranthsill/lease" // registers its driver
	"amaranthsill/manifest"
	_ "amaranthsill/peer" // registers its driver
	"amaranthsill/platform"
	"amaranthsill/roster"
	_ "amaranthsill/target" // registers its driver
)

// VM is one entry daemon. Set the exported fields before Run.
type VM struct {
	// Settings are the VM's own.
	Settings Settings
	// Log receives what an operator may want to know.
	Log logr.Logger
	// Limits are the groups' times and bounds; the zero value means
	// group.DefaultLimits.
	Limits group.Limits

	kernel  *kernel.Kernel
	store   platform.Store
	metrics *prometheus.Registry
	callers *caller.Server
	done    sync.WaitGroup

	lock     sync.Mutex
	vms      []roster.VM
	leaving  map[string]bool
	revision uint64
}

// Run serves until the context ends and every request under way has ended.
// It returns the first error that kept the VM from serving.
func (v *VM) Run(ctx context.Context) error {
	if err := v.prepare(); err != nil {
		return fmt.Errorf("prepare VM %s: %w", v.Settings.VM(), err)
	}
	// What serves requests under way outlives the signal to stop.
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer v.done.Wait()
	defer stop()
	if err := v.kernel.Start(live, kernel.Parts{Store: v.store}); err != nil {
		return fmt.Errorf("start kernel: %w", err)
	}
	admin, err := v.serveAdmin()
	if err != nil {
		return err
	}
	defer func() { _ = admin.Close() }()
	v.duty(func() { v.followManifest(live) })
	v.duty(func() { v.followRoster(live) })
	v.Log.Info("VM serves", "vm", v.Settings.VM(), "zone", v.Settings.Zone(), "callers", v.Settings.Callers().String())
	if err := v.callers.Run(ctx); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	v.Log.Info("VM stopped", "vm", v.Settings.VM())
	return nil
}

// duty runs one of the VM's goroutines.
func (v *VM) duty(run func()) {
	v.done.Add(1)
	go func() {
		defer v.done.Done()
		run()
	}()
}

func (v *VM) prepare() error {
	if v.Limits == (group.Limits{}) {
		v.Limits = group.DefaultLimits()
	}
	v.metrics = prometheus.NewRegistry()
	v.leaving = map[string]bool{}
	v.store = &platform.Client{
		Address: v.Settings.Platform().String(),
		HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	v.kernel = &kernel.Kernel{
		VM:          v.Settings.VM(),
		Zone:        v.Settings.Zone(),
		Incarnation: uint64(time.Now().UnixNano()),
		Limits:      v.Limits,
		Log:         v.Log,
		Meter:       kernel.NewMeter(v.metrics),
		Share:       v.share,
		Rank:        v.rank,
	}
	v.callers = &caller.Server{
		Address: v.Settings.Callers().String(),
		Kernel:  v.kernel,
		Log:     v.Log,
		Callers: v.Settings.Sessions(),
		Grace:   v.Settings.Grace(),
	}
	return nil
}

// share returns this VM's part of a target's connections.
func (v *VM) share(t manifest.Target) (connections int, leaving bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	return max(1, t.Connections()/v.Settings.Fleet()), v.leaving[t.Name()]
}

// rank returns this VM's place among the watchers of a group.
func (v *VM) rank(name string) int {
	v.lock.Lock()
	defer v.lock.Unlock()
	return roster.Rank(name, v.Settings.VM(), v.vms)
}

// watchWait is how long one watch of the manifest waits.
const watchWait = 20 * time.Second

// retryPause is the time between calls to a platform that fails.
const retryPause = 500 * time.Millisecond

// followManifest is the goroutine that watches the manifest in the store.
func (v *VM) followManifest(ctx context.Context) {
	for ctx.Err() == nil {
		e, err := v.store.Watch(ctx, platform.ManifestKey, v.revision, watchWait)
		if err != nil {
			if !errors.Is(err, platform.ErrAbsent) {
				v.Log.V(1).Info("watch failed", "error", err.Error())
			}
			pause(ctx, retryPause)
			continue
		}
		v.revision = e.Revision()
		v.adopt(ctx, e)
	}
}

// adopt puts a stored manifest in force. One that cannot be read leaves the
// one in force as it is.
func (v *VM) adopt(ctx context.Context, e platform.Entry) {
	r, err := platform.DecodeRecord(e.Value())
	if err != nil {
		v.Log.Error(err, "stored manifest is unreadable; the one in force stays")
		return
	}
	m, err := manifest.Parse(fmt.Sprintf("version %d", r.Version()), r.Text())
	if err != nil {
		v.Log.Error(err, "stored manifest breaks its rules; the one in force stays")
		return
	}
	if v.kernel.Configure(ctx, kernel.Record{Version: r.Version(), Manifest: m}) {
		v.Log.Info("manifest in force", "version", r.Version())
	}
}

// rosterPause is the time between reads of the platform's list.
const rosterPause = time.Second

// followRoster is the goroutine that reads the platform's list of VMs.
func (v *VM) followRoster(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := v.store.VMs(ctx)
		if err == nil {
			v.learnRoster(ctx, vms)
		}
		pause(ctx, rosterPause)
	}
}

func (v *VM) learnRoster(ctx context.Context, vms []platform.VM) {
	v.lock.Lock()
	v.vms = nil
	v.leaving = map[string]bool{}
	for _, m := range vms {
		if m.Address == "" {
			v.leaving[m.Name] = m.Leaving
			continue
		}
		if !m.Leaving {
			v.vms = append(v.vms, roster.VM{Name: m.Name, Zone: m.Zone, Address: m.Address})
		}
	}
	v.lock.Unlock()
	v.kernel.Refresh(ctx)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
