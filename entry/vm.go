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
	"amaranthsill/peer"
	"amaranthsill/roster"
	"amaranthsill/store"
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
	store   store.Store
	metrics *prometheus.Registry
	callers *caller.Server
	done    sync.WaitGroup

	mesh   *peer.Mesh
	warned time.Time
	// unreadable counts manifests that could not be put in force.
	unreadable prometheus.Counter
	revision   uint64

	lock   sync.Mutex
	record store.Record
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
	if err := v.kernel.Start(live, kernel.Parts{Store: v.store, Peers: v.mesh}); err != nil {
		return fmt.Errorf("start kernel: %w", err)
	}
	if err := v.mesh.Start(live); err != nil {
		return fmt.Errorf("start mesh: %w", err)
	}
	admin, err := v.serveAdmin()
	if err != nil {
		return err
	}
	defer func() { _ = admin.Close() }()
	v.duty(func() { v.followManifest(live) })
	v.duty(func() { v.followRoster(live) })
	v.Log.Info("VM serves", "vm", v.Settings.VM(), "zone", v.Settings.Zone(), "callers", v.Settings.Callers().String())
	announced := context.AfterFunc(ctx, func() { v.mesh.Post(live, roster.Left{}) })
	defer announced()
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
	v.registerMetrics()
	v.store = &store.Client{
		Address: v.Settings.Platform().String(),
		HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	incarnation := uint64(time.Now().UnixNano())
	v.kernel = &kernel.Kernel{
		VM:          v.Settings.VM(),
		Zone:        v.Settings.Zone(),
		Incarnation: incarnation,
		Limits:      v.Limits,
		Log:         v.Log,
		Meter:       kernel.NewMeter(v.metrics),
		Share:       v.share,
		Rank:        v.rank,
	}
	v.mesh = &peer.Mesh{
		Self:     roster.NewMember(v.Settings.VM(), v.Settings.Zone(), v.Settings.Peers().String(), incarnation, roster.StateAlive),
		Limits:   roster.DefaultLimits(),
		Log:      v.Log,
		Document: v.document,
		Adopt:    v.adoptFromPeer,
		Hears:    v.hears,
		Changed:  v.kernel.Refresh,
		Metrics:  v.metrics,
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

// share returns this VM's part of a target's connections. It is the same
// whatever the VM knows of the others: all VMs that the settings allow fit
// within the target's limit together.
func (v *VM) share(t manifest.Target) (connections int, leaving bool) {
	return t.Connections() / v.Settings.Fleet(), v.mesh.View().Leaving[t.Name()]
}

// rank returns this VM's place among the watchers of a group.
func (v *VM) rank(name string) int {
	return roster.Rank(name, v.Settings.VM(), v.mesh.View().VMs)
}

// hears reports whether this VM hears a target; other VMs ask for it.
func (v *VM) hears(group, target string) bool {
	g, err := v.kernel.Group(group)
	return err == nil && g.Hears(target)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
