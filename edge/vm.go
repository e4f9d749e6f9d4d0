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
	"amaranthsill/internal/build"
	"amaranthsill/pool"
	"amaranthsill/relay"
	"amaranthsill/succession"
)

// Timing of readiness and stopping, and limits on memory.
const (
	// balancerDelay is how long the load balancer may still send callers to a VM
	// that is no longer ready. It checks every second and needs two failures.
	balancerDelay = 2500 * time.Millisecond
	// deregisterTimeout bounds the calls that deregister the VM when it stops.
	deregisterTimeout = 500 * time.Millisecond
	// unreadyAfter is how long the leader record may be unconfirmed before the
	// VM reports that it is not ready, so that callers are sent to other VMs.
	unreadyAfter = 250 * time.Millisecond
	// unreadyWithoutLeader is how long a VM may not reach the leader of one in
	// maxGroupsPerLack groups before it reports that it is not ready. With more groups
	// for each, most of its callers are better off where they are.
	unreadyWithoutLeader = 800 * time.Millisecond
	maxGroupsPerLack     = 4
	// closeSessionsAfter is how long the leader record must be unconfirmed
	// before sessions are ended between operations, so that their callers
	// reconnect to other VMs. The load balancer has noticed by then that this
	// VM is not ready.
	closeSessionsAfter = unreadyAfter + 2200*time.Millisecond
	// storeLostAfter is how long calls to the store must have failed before it
	// is logged.
	storeLostAfter = time.Second
	// memoryLimitShare is the share of the VM's memory that is set as the Go
	// runtime's soft memory limit. The rest is for stacks, the runtime and
	// kernel buffers.
	memoryLimitShare = 0.5
	// gcPercent is the growth of the heap, in percent, between garbage
	// collections.
	gcPercent = 60
	// headerTimeout bounds the reading of an HTTP request's header.
	headerTimeout = 5 * time.Second
)

// VM is one entry VM in front of databases that only the platform promotes. Set
// the exported fields before Run.
type VM struct {
	Settings Settings
	// SettingsFile is the settings file, which is checked for changes; empty if
	// the settings never change. ReloadSignals delivers the signals to check it
	// at once.
	SettingsFile  string
	ReloadSignals <-chan os.Signal
	// Adapter connects the VM to its platform.
	Adapter Adapter
	// DroppedLogLines returns how many log lines were lost because they were
	// not read fast enough; nil if they are not counted.
	DroppedLogLines func() int64
	// Now is a monotonic clock that includes the time for which the VM was
	// suspended.
	Now func() time.Duration
	Log logr.Logger

	// incarnation differs for each start of the VM.
	incarnation string
	// reloaded holds the settings read since the start; nil if there are none.
	reloaded  atomic.Pointer[Settings]
	catalog   *catalog.Catalog
	grants    *succession.Grants
	directory *Directory
	mover     *succession.Mover
	fleet     *fleet
	admission *rateLimiter
	control   *controlClient
	dialer    *relay.Dialer
	relays    *relay.Server
	// holders holds by group which VMs hold connections to its targets.
	holders  atomic.Pointer[map[string]groupHolders]
	front    *front.Server
	registry *prometheus.Registry
	// wake makes the supervisor check all groups at once.
	wake chan struct{}
	// moveEnded gets the group of each attempt to move a leadership that ended.
	moveEnded chan string
	// synced reports that everything was read from the store and changes are being
	// followed.
	synced    atomic.Bool
	sources   sourceLog
	followers followerLog
	// registered reports that the VM has registered since its start.
	registered atomic.Bool
	// registeredAt is when the VM's entry was last written, in nanoseconds since
	// the machine's boot.
	registeredAt atomic.Int64
	// registeredRevision is the store's revision at which it was written.
	registeredRevision atomic.Uint64
	// renewedAt is when the VM last wrote its entry or renewed its lease, in nanoseconds
	// since the machine's boot, and forgotten reports that others may have dropped the VM
	// since its start because that was too long ago.
	renewedAt atomic.Int64
	forgotten atomic.Bool
	// configurationConfirmedAt is when the configuration in force was last known to be
	// the newest, in nanoseconds since the machine's boot; zero if it never was.
	configurationConfirmedAt atomic.Int64
	// left reports that the VM has written that it serves nobody any more.
	left atomic.Bool
	// ready reports that callers are accepted.
	ready atomic.Bool
	// startupDone is closed once the VM has all it needs to accept callers.
	startupDone chan struct{}
	callers     net.Listener
	startedAt   time.Duration
	stopping    atomic.Bool
	// movesEnding reports that this VM, which stops, begins no move of a leadership any
	// more. Another one then does.
	movesEnding atomic.Bool
	// settledByOther is when another VM last announced that it writes the leader
	// record again, in nanoseconds since the machine's boot; zero if none did.
	settledByOther atomic.Int64
	// unallocated reports that the last claim on connections failed.
	unallocated atomic.Bool
	// budgets are the budgets of single targets, where holders are by target.
	budgets targetBudgets

	lock   sync.Mutex
	groups map[string]*pool.Group
	// storeFailingSince is when the store began to fail; zero while it answers.
	storeFailingSince time.Duration
	// storeLost reports that the failure was logged.
	storeLost bool
}

// Run serves callers until the context ends. It then stops the VM within
// Settings.Grace, without interrupting a running request. Its error reports an
// address on which the VM cannot listen.
func (v *VM) Run(ctx context.Context) error {
	v.prepare()
	listeners, err := v.listen()
	if err != nil {
		return err
	}
	v.Log.Info("VM is starting", append([]any{"vm", v.Settings.VM(), "zone", v.Settings.Zone(), "incarnation", v.incarnation}, build.Current().Fields()...)...)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	r := &registrar{VM: v}
	r.start(work)
	v.startDuties(work)
	go v.dialer.WatchHolders(work)
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

// startDuties starts what the VM does besides serving connections.
func (v *VM) startDuties(ctx context.Context) {
	for name, run := range map[string]func(context.Context){
		"follow the store":           (&storeFollower{VM: v}).run,
		"confirm the leader record":  (&recordConfirmer{VM: v}).run,
		"ask VMs during an outage":   (&outagePoller{fleet: v.fleet}).run,
		"look for silent VMs":        (&silenceWatcher{fleet: v.fleet}).run,
		"claim connections":          (&claimer{fleet: v.fleet}).run,
		"supervise groups":           (&supervisor{VM: v}).run,
		"read the settings when new": (&reloader{VM: v}).run,
		"divide customers' limits":   v.admission.run,
	} {
		go runDuty(ctx, v.Log, name, run)
	}
}

// prepare creates the VM's components from its settings and adapter.
func (v *VM) prepare() {
	v.startedAt = v.Now()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(v.Settings.MemoryBytes())))
	debug.SetGCPercent(gcPercent)
	v.incarnation = strconv.FormatInt(time.Now().UnixNano(), 36)
	v.groups = map[string]*pool.Group{}
	v.holders.Store(&map[string]groupHolders{})
	v.sources = sourceLog{silentUntil: map[string]time.Duration{}, seen: map[string]uint64{}, answeredAt: v.startedAt}
	v.dialer = v.newDialer()
	v.startupDone = make(chan struct{})
	v.wake = make(chan struct{}, 1)
	v.moveEnded = make(chan string, moveEndedCapacity)
	v.catalog = &catalog.Catalog{}
	v.grants = &succession.Grants{Length: succession.GrantLength, Now: v.Now, Begun: v.startedAt, Counted: true}
	v.directory = &Directory{
		Adapter:     v.Adapter,
		Catalog:     v.catalog,
		Grants:      v.grants,
		Self:        v.Settings.VM(),
		Incarnation: v.incarnation,
		Now:         v.Now,
		Log:         v.Log,
	}
	v.fleet = newFleet(v)
	v.admission = newLimits(v.fleet)
	v.control = &controlClient{VM: v}
	v.mover = &succession.Mover{
		VM:          v.Settings.VM(),
		Incarnation: v.incarnation,
		Store:       v.Adapter.Store,
		Grants:      v.grants,
		Promoter:    v.Adapter.Promoter,
		Targets:     v.control,
		Fleet:       v.fleet,
		FirstStart:  v.Settings.FirstStart(),
		Known:       v.established,
		VMs:         v.directory.PeerCount,
		Now:         v.Now,
		Log:         v.Log,
	}
	v.registry = prometheus.NewRegistry()
	v.front = &front.Server{
		Catalog:       v.catalog,
		Leaders:       v.grants,
		Group:         v.existingPool,
		NewCallerConn: v.Adapter.NewCallerConn,
		Current:       v.hasNewestConfiguration,
		Limits:        v.admission,
		Now:           v.Now,
		Metrics:       front.NewMetrics(v.registry, v.Log),
		Log:           v.Log,
	}
	v.directory.Changed = v.configurationChanged
	v.relays = &relay.Server{
		Group:      v.heldPool,
		Leadership: v.grants.Leadership,
		Customer:   v.customerNamed,
		Released:   v.released,
		Refresh:    v.front.RefreshPosition,
		Now:        v.Now,
		Log:        v.Log,

		TransactionIdleTimeout: v.front.TransactionIdleTimeout,
	}
	v.registry.MustRegister(newCollector(v), v.admission.metrics)
	if v.Settings.Traffic() != nil {
		v.registry.MustRegister(newTrafficCollector(v))
	}
}

// moveEndedCapacity is how many ended attempts to move a leadership can be queued
// for the supervisor.
const moveEndedCapacity = 1024

// listeners are the sockets that are open from the start of the VM.
type listeners struct {
	ready, peers, metrics, relay net.Listener
}

// listen opens the VM's sockets, except the one for callers.
func (v *VM) listen() (listeners, error) {
	l := listeners{}
	for _, n := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.ready, v.Settings.ReadyAddress()},
		{&l.peers, v.Settings.PeerAddress()},
		{&l.metrics, v.Settings.MetricsAddress()},
		{&l.relay, v.Settings.RelayAddress()},
	} {
		var err error
		if *n.listener, err = net.Listen("tcp4", n.address); err != nil {
			return l, fmt.Errorf("listen: %w", err)
		}
	}
	return l, nil
}

// serveHTTP serves readiness checks, metrics and calls from other VMs.
func (v *VM) serveHTTP(l listeners) {
	ready := http.NewServeMux()
	ready.HandleFunc("/", v.handleReady)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{}))
	v.serve(l.ready, &http.Server{Handler: ready})
	v.serve(l.metrics, &http.Server{Handler: metrics})
	v.serve(l.peers, &http.Server{Handler: v.fleet.handler(), Protocols: peerProtocols()})
}

// serve serves HTTP on a listener in the background.
func (v *VM) serve(l net.Listener, s *http.Server) {
	s.ReadHeaderTimeout = headerTimeout
	go func() {
		err := s.Serve(l)
		if !errors.Is(err, net.ErrClosed) {
			v.Log.Error(err, "HTTP server ended", "address", l.Addr().String())
		}
	}()
}

// awaitReady waits until the VM can accept callers; false if the context ends
// first. Until then callers' connections are refused, so that they turn to
// another VM at once.
func (v *VM) awaitReady(ctx context.Context) bool {
	select {
	case <-v.startupDone:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveCallers accepts callers. ctx bounds their sessions, stopped the wait for
// the address.
func (v *VM) serveCallers(ctx, stopped context.Context) {
	l, err := v.listenForCallers(stopped)
	if err != nil {
		return
	}
	v.callers = l
	v.ready.Store(true)
	go func() {
		if err := v.front.Serve(ctx, l); err != nil {
			v.Log.Error(err, "callers are no longer accepted")
		}
	}()
}

// listenRetryInterval is the time between two attempts to listen for callers.
const listenRetryInterval = 100 * time.Millisecond

// listenForCallers listens for callers as soon as the address is free. Its error
// reports that the context ended before that.
func (v *VM) listenForCallers(ctx context.Context) (net.Listener, error) {
	for {
		l, err := net.Listen("tcp4", v.Settings.CallerAddress())
		if err == nil {
			return l, nil
		}
		v.Log.Error(err, "cannot listen for callers; trying again")
		sleep(ctx, listenRetryInterval)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("listen for callers: %w", ctx.Err())
		}
	}
}

// handleReady answers the load balancer's readiness check.
func (v *VM) handleReady(w http.ResponseWriter, _ *http.Request) {
	if v.ready.Load() && !v.stopping.Load() && !v.leadersUnconfirmed() && !v.lacksLeaders() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// leadersUnconfirmed reports whether the leader record has been unconfirmed for
// longer than unreadyAfter.
func (v *VM) leadersUnconfirmed() bool { return v.grants.ExpiredFor() > unreadyAfter }

// lacksLeaders reports whether this VM has not reached the recorded leader for longer than
// unreadyWithoutLeader, in one of maxGroupsPerLack groups or more. Callers then do better
// with another VM. A group that has no leader, or no registered target, is served by no VM, so
// that it does not count.
func (v *VM) lacksLeaders() bool {
	c := v.catalog.Current()
	if c == nil {
		return false
	}
	lacking := 0
	for name, g := range v.pools() {
		l := v.grants.Lead(name)
		led := l.Target != "" && !l.Moving() && !g.IsEmpty()
		if _, used := c.Groups[name]; used && led && g.LeaderUnreachableFor() > unreadyWithoutLeader {
			lacking++
		}
	}
	return lacking > 0 && lacking*maxGroupsPerLack >= len(c.Groups)
}

// established reports whether all other VMs can be assumed to know this one. On
// the first start of the whole system no VM can have older state.
func (v *VM) established() bool {
	silenced := v.directory.selfSilencedRevision()
	if !v.registered.Load() || uint64(silenced) > v.registeredRevision.Load() || v.mayBeForgotten() {
		return false
	}
	knownFromStart := v.Settings.FirstStart() && silenced == 0 && !v.forgotten.Load()
	return knownFromStart || v.Now()-time.Duration(v.registeredAt.Load()) > establishedAfter
}

// mayBeForgotten reports whether this VM's entry was renewed so long ago that it may have
// been gone for recentPeerRetention, after which others count the VM no more.
func (v *VM) mayBeForgotten() bool {
	return v.Now()-time.Duration(v.renewedAt.Load()) > recentPeerRetention
}

// wakeSupervisor makes the supervisor check all groups at once.
func (v *VM) wakeSupervisor() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// pool returns the pool of a group, and creates it if there is none.
func (v *VM) pool(name string) *pool.Group {
	v.lock.Lock()
	defer v.lock.Unlock()
	g := v.groups[name]
	if g == nil {
		g = &pool.Group{Name: name, Zone: v.Settings.Zone(), Dialer: v.dialer, Now: v.Now, Log: v.Log, Traffic: v.Settings.Traffic()}
		v.groups[name] = g
	}
	return g
}

// pools returns a copy of the map of pools by group.
func (v *VM) pools() map[string]*pool.Group {
	v.lock.Lock()
	defer v.lock.Unlock()
	return maps.Clone(v.groups)
}

// existingPool returns the pool of a group; false if there is none.
func (v *VM) existingPool(name string) (*pool.Group, bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	g, ok := v.groups[name]
	return g, ok
}

// storeFailed records a failed call to the store, and logs it once calls have been
// failing for storeLostAfter. The given text says what the call was for.
func (v *VM) storeFailed(what string, err error) {
	v.lock.Lock()
	defer v.lock.Unlock()
	now := v.Now()
	if v.storeFailingSince == 0 {
		v.storeFailingSince = now
	}
	if !v.storeLost && now-v.storeFailingSince > storeLostAfter {
		v.storeLost = true
		v.Log.Info("calls to the store keep failing", "while", what, "reason", err.Error())
	}
}

// storeAnswered records a successful call to the store.
func (v *VM) storeAnswered() {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.storeLost {
		v.Log.Info("store answers again", "after", (v.Now() - v.storeFailingSince).String())
		v.sources.forgive()
	}
	v.storeFailingSince = 0
	v.storeLost = false
}
