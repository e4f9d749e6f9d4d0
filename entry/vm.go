// Package entry runs one VM of the system: it serves callers, keeps the latest
// manifest in force, exchanges the roster with other VMs, and serves metrics,
// health and status on an admin address.
//
// # Usage
//
//	settings, err := entry.ReadSettings("vm.json")
//	vm := &entry.VM{Settings: settings, Log: log}
//	err = vm.Run(ctx) // stops gracefully when ctx ends
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

// VM is one VM's daemon. Set the exported fields before Run.
type VM struct {
	// Settings are the VM's settings.
	Settings Settings
	// Log receives changes of the manifest in force, of the roster and of
	// targets, and warnings.
	Log logr.Logger
	// Limits are the timeouts and bounds of the groups' state machines; the
	// zero value means group.DefaultLimits.
	Limits group.Limits

	kernel     *kernel.Kernel
	store      store.Store
	metrics    *prometheus.Registry
	callers    *caller.Server
	goroutines sync.WaitGroup

	mesh *peer.Mesh
	// lastWarning is when warnIfDegraded last logged.
	lastWarning time.Time
	// manifestsUnreadable counts manifests that could not be put in force.
	manifestsUnreadable prometheus.Counter
	// watchRevision is the store revision above which the next watch waits; it
	// is used by watchManifest only.
	watchRevision uint64

	// lock guards storeRecord.
	lock sync.Mutex
	// storeRecord is the record of the manifest in force in the form in which the
	// store and other VMs get it, with the manifest as text. The kernel holds the
	// manifest parsed.
	storeRecord store.Record
}

// Run serves callers until ctx ends, then waits up to Settings.Grace for
// requests in flight and returns nil. It returns the first error that keeps the
// VM from serving.
func (v *VM) Run(ctx context.Context) error {
	if err := v.prepare(); err != nil {
		return fmt.Errorf("prepare VM %s: %w", v.Settings.VM(), err)
	}
	// Groups, peers and the calls to the platform must keep working while
	// requests in flight finish after ctx has ended.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer v.goroutines.Wait()
	defer stop()
	if err := v.kernel.Start(serveCtx, kernel.Dependencies{Store: v.store, Peers: v.mesh}); err != nil {
		return fmt.Errorf("start kernel: %w", err)
	}
	if err := v.mesh.Start(serveCtx); err != nil {
		return fmt.Errorf("start mesh: %w", err)
	}
	admin, err := v.serveAdmin()
	if err != nil {
		return err
	}
	defer func() { _ = admin.Close() }()
	v.spawn(func() { v.watchManifest(serveCtx) })
	v.spawn(func() { v.pollVMList(serveCtx) })
	v.Log.Info("VM is serving callers", "vm", v.Settings.VM(), "zone", v.Settings.Zone(), "callers", v.Settings.Callers().String())
	cancelAnnounce := context.AfterFunc(ctx, func() { v.mesh.Post(serveCtx, roster.Left{}) })
	defer cancelAnnounce()
	if err := v.callers.Run(ctx); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	v.Log.Info("VM stopped", "vm", v.Settings.VM())
	return nil
}

// spawn starts a goroutine that Run waits for before it returns.
func (v *VM) spawn(run func()) {
	v.goroutines.Add(1)
	go func() {
		defer v.goroutines.Done()
		run()
	}()
}

// prepare creates the VM's parts without starting them.
func (v *VM) prepare() error {
	if v.Limits == (group.Limits{}) {
		v.Limits = group.DefaultLimits()
	}
	v.metrics = prometheus.NewRegistry()
	v.registerMetrics()
	v.store = &store.Client{
		Address: v.Settings.Platform().String(),
		HTTP:    &http.Client{Transport: &http.Transport{}},
	}
	incarnation := uint64(time.Now().UnixNano())
	v.kernel = &kernel.Kernel{
		VM:              v.Settings.VM(),
		Zone:            v.Settings.Zone(),
		Incarnation:     incarnation,
		Limits:          v.Limits,
		Log:             v.Log,
		Metrics:         kernel.NewMetrics(v.metrics),
		ConnectionShare: v.connectionShare,
		Rank:            v.rank,
	}
	v.mesh = &peer.Mesh{
		Self:             roster.NewMember(v.Settings.VM(), v.Settings.Zone(), v.Settings.Peers().String(), incarnation, roster.StateAlive),
		Limits:           roster.DefaultLimits(),
		Log:              v.Log,
		Document:         v.document,
		Adopt:            v.adoptFromPeer,
		TargetResponsive: v.targetResponsive,
		OnMembersChanged: v.kernel.Refresh,
		Registerer:       v.metrics,
	}
	v.callers = &caller.Server{
		Address:    v.Settings.Callers().String(),
		Kernel:     v.kernel,
		Log:        v.Log,
		MaxCallers: v.Settings.MaxCallers(),
		Grace:      v.Settings.Grace(),
	}
	return nil
}

// connectionShare returns how many connections to a target this VM may hold, and
// whether the target is leaving. The share does not depend on the roster: even
// if VMs disagree about which of them run, all VMs that the setting fleet allows
// stay within the target's limit together.
func (v *VM) connectionShare(t manifest.Target) (connections int, leaving bool) {
	return t.ConnectionLimit() / v.Settings.MaxVMs(), v.mesh.View().Leaving[t.Name()]
}

// rank returns this VM's rank among the VMs that watch a group, one in each
// zone; -1 if it is not one of them.
func (v *VM) rank(name string) int {
	return roster.Rank(name, v.Settings.VM(), v.mesh.View().VMs)
}

// targetResponsive reports whether this VM has a recent answer from a target. It
// answers the question of other VMs.
func (v *VM) targetResponsive(group, target string) bool {
	g, err := v.kernel.Group(group)
	return err == nil && g.Responsive(target)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
