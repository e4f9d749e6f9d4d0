package edge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"amaranthsill/catalog"
	"amaranthsill/front"
	"amaranthsill/pool"
	"amaranthsill/relay"
	"amaranthsill/succession"
)

// The times of a VM's life.
const (
	// outOfRotation is how long callers may still be sent to a VM that is no
	// longer ready: the balancer asks each second and wants two misses.
	outOfRotation = 2500 * time.Millisecond
	// leaveLimit bounds the calls that say good-bye.
	leaveLimit = 500 * time.Millisecond
	// impairedAfter is how long a VM may be unable to confirm who leads
	// before callers are sent to other VMs.
	impairedAfter = 250 * time.Millisecond
	// shedAfter is how long it must last before sessions between operations
	// are ended, so that their callers turn to other VMs: until the balancer
	// has noticed.
	shedAfter = impairedAfter + 2200*time.Millisecond
	// storeLost is how long calls to the store must have failed before it is
	// logged as lost.
	storeLost = time.Second
	// heapShare is the share of the VM's memory at which collection becomes
	// eager; the rest is for stacks, the runtime and what the kernel buffers.
	heapShare = 0.5
	// heapGrowth is the growth of the heap, in percent, between collections.
	heapGrowth = 60
	// headerLimit bounds the reading of a request for readiness or metrics.
	headerLimit = 5 * time.Second
)

// VM is one entry VM. Set the exported fields before Run.
type VM struct {
	Settings Settings
	// File is where the settings came from, to be looked at again; empty if
	// they never change. Hangups tells that they changed.
	File    string
	Hangups <-chan os.Signal
	Adapter Adapter
	// Dropped returns how many log lines were lost to a slow reader; nil if
	// nobody counts.
	Dropped func() int64
	// Now is a clock that counts suspended time.
	Now func() time.Duration
	Log logr.Logger

	incarnation string
	// reloaded are settings that were read while the VM runs.
	reloaded  atomic.Pointer[Settings]
	catalog   *catalog.Catalog
	grants    *succession.Grants
	directory *Directory
	mover     *succession.Mover
	fleet     *fleet
	controls  *controls
	dialer    *relay.Dialer
	relays    *relay.Server
	// holdings are who holds which connections, by group.
	holdings   atomic.Pointer[map[string]holding]
	front      *front.Front
	metrics    *prometheus.Registry
	poked      chan struct{}
	moved      chan string
	registered atomic.Bool
	// since is when the VM was last registered, in nanoseconds since boot.
	since    atomic.Int64
	ready    atomic.Bool
	readied  chan struct{}
	callers  net.Listener
	begun    time.Duration
	stopping atomic.Bool
	// undivided reports that nobody divides the connections.
	undivided atomic.Bool

	lock    sync.Mutex
	groups  map[string]*pool.Group
	failing time.Duration
	lost    bool
}

// Run serves until the context ends, and then stops without cutting a
// request.
func (v *VM) Run(ctx context.Context) error {
	v.prepare()
	listeners, err := v.listen()
	if err != nil {
		return err
	}
	v.Log.Info("VM starts", "vm", v.Settings.VM(), "zone", v.Settings.Zone(), "incarnation", v.incarnation)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	r := &registrar{VM: v}
	go (&follower{VM: v}).run(work)
	go (&confirmer{VM: v}).run(work)
	go r.run(work)
	go (&recaller{fleet: v.fleet}).run(work)
	go (&claimer{fleet: v.fleet}).run(work)
	go (&steward{VM: v}).run(work)
	go (&reloader{VM: v}).run(work)
	go v.dialer.Watch(work)
	go v.serveRelays(work, listeners)
	v.serveHTTP(listeners)
	if v.awaitReady(ctx) {
		v.serveCallers(work, ctx)
	}
	<-ctx.Done()
	v.stop(work, r)
	v.Log.Info("VM stopped", "vm", v.Settings.VM())
	return nil
}

func (v *VM) prepare() {
	v.begun = v.Now()
	debug.SetMemoryLimit(int64(heapShare * float64(v.Settings.Memory())))
	debug.SetGCPercent(heapGrowth)
	v.incarnation = strconv.FormatInt(time.Now().UnixNano(), 36)
	v.groups = map[string]*pool.Group{}
	v.holdings.Store(&map[string]holding{})
	v.dialer = v.newDialer()
	v.readied = make(chan struct{})
	v.poked = make(chan struct{}, 1)
	v.moved = make(chan string, maxGroups)
	v.catalog = &catalog.Catalog{}
	v.grants = &succession.Grants{Length: succession.GrantLength, Now: v.Now, Begun: v.begun}
	v.directory = &Directory{
		Adapter: v.Adapter,
		Catalog: v.catalog,
		Grants:  v.grants,
		Self:    v.Settings.VM(),
		Now:     v.Now,
		Log:     v.Log,
	}
	v.fleet = newFleet(v)
	v.controls = &controls{VM: v}
	v.mover = &succession.Mover{
		VM:          v.Settings.VM(),
		Incarnation: v.incarnation,
		Ledger:      v.Adapter.Ledger,
		Grants:      v.grants,
		Promoter:    v.Adapter.Promoter,
		Targets:     v.controls,
		Fleet:       v.fleet,
		Known:       v.known,
		VMs:         v.directory.Count,
		Now:         v.Now,
		Log:         v.Log,
	}
	v.metrics = prometheus.NewRegistry()
	v.front = &front.Front{
		Catalog: v.catalog,
		Leaders: v.grants,
		Group:   v.knownPool,
		Wire:    v.Adapter.Wire,
		Now:     v.Now,
		Meter:   front.NewMeter(v.metrics, v.Log),
		Log:     v.Log,
	}
	v.relays = &relay.Server{Group: v.heldPool, TransactionIdle: v.front.TransactionIdle, Now: v.Now, Log: v.Log}
	v.metrics.MustRegister(newCollector(v))
}

// maxGroups bounds the moves that have ended and are not yet noted.
const maxGroups = 1024

// listeners are the sockets on which a VM is reached.
type listeners struct {
	ready, peers, metrics, relay net.Listener
}

func (v *VM) listen() (listeners, error) {
	l := listeners{}
	for _, n := range []struct {
		into    *net.Listener
		address string
	}{
		{&l.ready, v.Settings.Ready()},
		{&l.peers, v.Settings.Peers()},
		{&l.metrics, v.Settings.Metrics()},
		{&l.relay, v.Settings.Relay()},
	} {
		var err error
		if *n.into, err = net.Listen("tcp4", n.address); err != nil {
			return l, fmt.Errorf("listen: %w", err)
		}
	}
	return l, nil
}

func (v *VM) serveHTTP(l listeners) {
	ready := http.NewServeMux()
	ready.HandleFunc("/", v.answerReady)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(v.metrics, promhttp.HandlerOpts{}))
	v.serve(l.ready, ready)
	v.serve(l.metrics, metrics)
	v.serve(l.peers, v.fleet.handler())
}

func (v *VM) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}
	go func() {
		err := s.Serve(l)
		if !errors.Is(err, net.ErrClosed) {
			v.Log.Error(err, "serving ended", "address", l.Addr().String())
		}
	}()
}

// awaitReady waits until the VM knows what it serves. Before that nobody
// listens, so that callers turn to another VM at once.
func (v *VM) awaitReady(ctx context.Context) bool {
	select {
	case <-v.readied:
		return true
	case <-ctx.Done():
		return false
	}
}

func (v *VM) serveCallers(ctx, stopped context.Context) {
	l, err := v.listenForCallers(stopped)
	if err != nil {
		return
	}
	v.callers = l
	v.ready.Store(true)
	go func() {
		if err := v.front.Serve(ctx, l); err != nil {
			v.Log.Error(err, "serving callers ended")
		}
	}()
}

// listenPause is the time between two tries to listen for callers.
const listenPause = 100 * time.Millisecond

// listenForCallers listens as soon as the address is free. Its error reports
// that the VM was stopped before.
func (v *VM) listenForCallers(ctx context.Context) (net.Listener, error) {
	for {
		l, err := net.Listen("tcp4", v.Settings.Callers())
		if err == nil {
			return l, nil
		}
		v.Log.Error(err, "callers cannot be accepted yet")
		pauseFor(ctx, listenPause)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("listen for callers: %w", ctx.Err())
		}
	}
}

// answerReady tells the balancer whether to send callers.
func (v *VM) answerReady(w http.ResponseWriter, _ *http.Request) {
	if v.ready.Load() && !v.stopping.Load() && !v.impaired() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// impaired reports whether the VM cannot confirm who leads.
func (v *VM) impaired() bool { return v.grants.Lapsed() > impairedAfter }

// stop takes the VM out of rotation, lets sessions end between their
// operations, and cuts transactions that last too long.
func (v *VM) stop(ctx context.Context, r *registrar) {
	begun := v.Now()
	v.stopping.Store(true)
	v.Log.Info("VM stops", "sessions", v.front.Sessions())
	pauseFor(ctx, min(outOfRotation, v.settings().Grace()*2/5))
	if v.callers != nil {
		// A listener that fails to close ends with the process.
		_ = v.callers.Close()
	}
	half := v.settings().Grace()/2 - (v.Now() - begun)
	time.AfterFunc(max(half, 0), v.front.Cut)
	left := v.settings().Grace()*8/10 - (v.Now() - begun)
	limited, cancel := context.WithTimeout(ctx, max(left, 0))
	defer cancel()
	relayed := make(chan struct{})
	go func() {
		v.relays.Drain(limited)
		close(relayed)
	}()
	v.front.Drain(limited)
	<-relayed
	v.Log.Info("sessions have ended", "left", v.front.Sessions(), "took", (v.Now() - begun).String())
	bye, done := context.WithTimeout(ctx, leaveLimit)
	defer done()
	r.leave(bye)
}

// known reports whether all other VMs know of this one. When the whole system
// starts for the first time, no VM can have an older view.
func (v *VM) known() bool {
	if !v.registered.Load() {
		return false
	}
	return v.Settings.First() || v.Now()-time.Duration(v.since.Load()) > knownAfter
}

// poke makes the steward look at once.
func (v *VM) poke() {
	select {
	case v.poked <- struct{}{}:
	default:
	}
}

// pool returns the pool of a group, and makes it if need be.
func (v *VM) pool(name string) *pool.Group {
	v.lock.Lock()
	defer v.lock.Unlock()
	g := v.groups[name]
	if g == nil {
		g = &pool.Group{Name: name, Zone: v.Settings.Zone(), Dialer: v.dialer, Now: v.Now, Log: v.Log}
		v.groups[name] = g
	}
	return g
}

// pools returns the pools by group.
func (v *VM) pools() map[string]*pool.Group {
	v.lock.Lock()
	defer v.lock.Unlock()
	return maps.Clone(v.groups)
}

func (v *VM) knownPool(name string) (*pool.Group, bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	g, ok := v.groups[name]
	return g, ok
}

// storeFailed notes a call to the store that failed.
func (v *VM) storeFailed(what string, err error) {
	v.lock.Lock()
	defer v.lock.Unlock()
	now := v.Now()
	if v.failing == 0 {
		v.failing = now
	}
	if !v.lost && now-v.failing > storeLost {
		v.lost = true
		v.Log.Info("store is lost", "while", what, "reason", err.Error())
	}
}

// storeAnswered notes that the store answers.
func (v *VM) storeAnswered() {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.lost {
		v.Log.Info("store answers again", "after", (v.Now() - v.failing).String())
	}
	v.failing = 0
	v.lost = false
}
