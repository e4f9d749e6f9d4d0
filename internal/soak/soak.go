package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"amaranthsill/internal/site"
)

// The time limits that a run checks, and its load.
const (
	// startTimeout is how long all VMs may take to become ready after their start. The
	// users require it.
	startTimeout = 12 * time.Second
	// recoveryTimeout is how long all VMs may take to serve every group after the last
	// fault. The users require it.
	recoveryTimeout = 12 * time.Second
	// configurationTimeout is how long a new configuration may take to be in force on
	// every VM while no fault is active.
	configurationTimeout = 4 * time.Second
	// maxStaleness is max_staleness_ms of the bounded routes of package site.
	maxStaleness = 1500 * time.Millisecond
	// maxFaultDuration bounds the duration of one fault.
	maxFaultDuration = 2500 * time.Millisecond
	// maxFaultInterval bounds the pause before the next fault. It is below
	// maxFaultDuration, so that faults overlap.
	maxFaultInterval = 900 * time.Millisecond
	// callersPerGroup is the number of concurrent callers of each group.
	callersPerGroup = 6
	// stutterCallers is the number with Stutter: copies of answers do harm on connections
	// that are in use again when they arrive.
	stutterCallers = 16
)

// ErrViolation reports a violated guarantee, such as a lost write, a stale read or a
// recovery that took too long.
var ErrViolation = errors.New("guarantee violated")

// vmZones are the zones of the VMs. The first zone has three VMs, of which only two hold
// connections to targets, so that the third has to relay its statements.
var vmZones = []string{"quetzaltenango", "quetzaltenango", "quetzaltenango", "guatemala", "coban"}

// incidentVMZones are the zones of the VMs with Incident.
var incidentVMZones = []string{
	"quetzaltenango", "quetzaltenango", "quetzaltenango",
	"guatemala", "guatemala", "guatemala",
	"coban", "coban",
}

// Options selects the faults of a run and what its callers do.
type Options struct {
	// Losses adds faults in which the store comes back from an older copy. Without
	// it, a seed selects among the other kinds only.
	Losses bool
	// Customers gives callers customers with keys and limits, and adds faults in which
	// keys are replaced.
	Customers bool
	// Incident runs eight VMs and three groups with slow promotions, and adds faults in
	// which nodes are cut off from one another and primaries go on without the others.
	Incident bool
	// Stutter makes each target send one answer in stutterShare a second time, and adds
	// faults in which one sends more answers twice.
	Stutter bool
	// Hostile makes callers put bytes into data, shapes and settings that are special to
	// other protocols, and targets return such rows.
	Hostile bool
	// Calm injects no faults other than those of Stutter's targets.
	Calm bool
	// Promotion is how long promotions take with Incident; zero means incidentPromotion.
	Promotion time.Duration
}

// Run is one run of VMs and a simulated platform under faults. Set the exported fields
// before Execute.
type Run struct {
	// Seed determines the faults and what callers do.
	Seed uint64
	// Program is the path of the entry VM's program, and Folder is the existing folder
	// for the logs and settings of the VMs.
	Program, Folder string
	// Length is the time during which faults are injected.
	Length time.Duration
	Options
	// Logf logs the faults and the results, as testing.T.Logf does.
	Logf func(format string, args ...any)

	random *rand.Rand
	site   *site.Site
	vms    []*VM
	// proxies are the proxies between the VMs and the database servers.
	proxies []*Proxy
	// stopped is closed when callers have to stop.
	stopped chan struct{}
	// extraRoutes are the routes that faults have added to configurations.
	extraRoutes []site.Route
	// probeCount counts the sessions that asked whether a route is served.
	probeCount int
	customers  customers
	groups     []string
	// network is nil without Incident.
	network *network

	lock       sync.Mutex
	requests   []request
	statements []statement
	violations []error
}

// groups and incidentGroups are the groups of a run.
var (
	groups         = []string{"choir", "dues"}
	incidentGroups = []string{"choir", "dues", "hymns"}
)

// Execute starts the VMs, injects faults while callers work, and returns all violated
// guarantees, joined, each wrapping ErrViolation. Other errors mean that the run could
// not be set up.
func (r *Run) Execute() error {
	r.random = rand.New(rand.NewPCG(r.Seed, 1))
	r.groups = groups
	if r.Incident {
		r.groups = incidentGroups
	}
	r.stopped = make(chan struct{})
	defer r.close()
	if err := r.open(); err != nil {
		return fmt.Errorf("start platform and VMs: %w", err)
	}
	callers := r.startCallers()
	r.injectFaults()
	r.clearFaults()
	recoveryErr := r.awaitRecovery()
	close(r.stopped)
	callers.Wait()
	r.check()
	return errors.Join(append(r.violations, recoveryErr)...)
}

func (r *Run) open() error {
	era := uint64(0)
	if r.Losses {
		era = 1
	}
	options := site.Options{
		Era:    era,
		Groups: r.groups, Zones: []string{"quetzaltenango", "guatemala", "coban"},
		Seed:            r.Seed,
		ConnectionLimit: 12, StatementDelay: time.Millisecond, ProxyAddress: r.startProxy,
	}
	if r.Hostile {
		options.Absent = absentRow
	}
	zones := vmZones
	if r.Incident {
		r.network = newNetwork()
		r.setIncident(&options)
		zones = incidentVMZones
	}
	var err error
	r.site, err = site.Open(options)
	if err != nil {
		return fmt.Errorf("start simulated platform: %w", err)
	}
	r.setCustomers()
	r.setStutter(stutterShare)
	for i, zone := range zones {
		v, err := newVM(fmt.Sprintf("vm-%d", i), zone, r.Program, r.Folder, r.site.Address, r.network, r.pathTo)
		if err != nil {
			return err
		}
		r.lock.Lock()
		r.vms = append(r.vms, v)
		r.lock.Unlock()
		if err := v.Start(true); err != nil {
			return err
		}
	}
	if !r.await(startTimeout, r.allReady) {
		return fmt.Errorf("not all VMs are ready %v after their start: %w", startTimeout, ErrViolation)
	}
	return nil
}

// startProxy starts a proxy to a database server and returns the proxy's address. If
// it can't be started, it reports a violation and returns the server's address.
func (r *Run) startProxy(id, address string) string {
	p, err := newProxy(address, r.pathTo(id))
	if err != nil {
		r.reportViolation("start proxy to server %s: %v", address, err)
		return address
	}
	r.proxies = append(r.proxies, p)
	return p.Address()
}

func (r *Run) close() {
	for _, v := range r.vms {
		v.close()
	}
	for _, p := range r.proxies {
		p.Close()
	}
	if r.site != nil {
		r.site.Close()
	}
}

func (r *Run) startCallers() *sync.WaitGroup {
	wait := &sync.WaitGroup{}
	count, pause := callersPerGroup, callerPause
	if r.Stutter {
		count, pause = stutterCallers, stutterPause
	}
	for _, g := range r.groups {
		keys := []string{}
		for i := range count {
			keys = append(keys, fmt.Sprintf("%s%d", g, i))
		}
		for i, name := range keys {
			c := &caller{
				transactions: r.Incident || r.varied(), meanPause: pause, varied: r.varied(), hostile: r.Hostile,
				recordStatement: r.recordStatement, report: r.reportViolation,
				credentials: func() (string, string) { return r.customerOf(i) },
				name:        name, group: g, keys: keys, vms: r.vms, record: r.record, stopped: r.stopped,
				random: rand.New(rand.NewPCG(r.Seed, uint64(len(name))<<32+r.random.Uint64())),
			}
			wait.Go(c.run)
		}
	}
	return wait
}

func (r *Run) record(q request) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.requests = append(r.requests, q)
}

func (r *Run) recordStatement(q statement) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.statements = append(r.statements, q)
}

func (r *Run) reportViolation(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.violations = append(r.violations, fmt.Errorf("seed %d: %w: %s", r.Seed, ErrViolation, fmt.Sprintf(format, args...)))
}

func (r *Run) await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (r *Run) allReady() bool {
	for _, v := range r.vms {
		if !v.IsReady() {
			return false
		}
	}
	return true
}

// awaitRecovery returns nil if every VM serves every group within recoveryTimeout and
// then follows a new configuration. It also reports VMs that exited unexpectedly.
func (r *Run) awaitRecovery() error {
	start := time.Now()
	var missing string
	served := r.await(recoveryTimeout, func() bool {
		missing = r.firstUnserved()
		return missing == ""
	})
	for _, v := range r.vms {
		if err := v.Failure(); err != nil {
			r.reportViolation("%v", err)
		}
	}
	if !served {
		return fmt.Errorf("seed %d: %s does not serve %v after the last fault: %w", r.Seed, missing, recoveryTimeout, ErrViolation)
	}
	r.Logf("seed %d: recovered after %v", r.Seed, time.Since(start).Round(time.Millisecond))
	return r.checkConfiguration()
}

// firstUnserved returns the name of the first VM that is not ready, or the VM and the
// group that it does not serve; empty if all VMs serve all groups.
func (r *Run) firstUnserved() string {
	for _, v := range r.vms {
		if !v.IsReady() {
			return v.Name
		}
		for _, g := range r.groups {
			if !r.servesRoute(v, g+"-own") {
				return v.Name + " " + g
			}
		}
	}
	return ""
}

// servesRoute reports whether a VM answers a read over a route.
func (r *Run) servesRoute(v *VM, route string) bool {
	r.probeCount++
	c := &caller{name: "probe", requestCount: r.probeCount, credentials: func() (string, string) { return r.customerOf(0) }, vms: []*VM{v}, vm: v, route: route, record: func(request) {}, recordStatement: r.recordStatement, report: r.reportViolation}
	conn, err := net.DialTimeout("tcp4", v.CallersAddress, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return c.probe(conn) == ""
}

// checkConfiguration writes a configuration with a new route and without the routes
// that faults added. It returns an error if a VM does not serve the new route within
// configurationTimeout, or still serves a removed one. No fault may be active.
func (r *Run) checkConfiguration() error {
	name := "last"
	r.site.Configure([]site.Route{newRoute(name)})
	ok := r.await(configurationTimeout, func() bool {
		for _, v := range r.vms {
			if !r.servesRoute(v, name) {
				return false
			}
		}
		return true
	})
	if !ok {
		return fmt.Errorf("seed %d: a new configuration is not in force on every VM after %v: %w", r.Seed, configurationTimeout, ErrViolation)
	}
	for _, v := range r.vms {
		for _, old := range r.extraRoutes {
			if r.servesRoute(v, old["host"].(string)) {
				return fmt.Errorf("seed %d: %s still serves a removed route: %w", r.Seed, v.Name, ErrViolation)
			}
		}
	}
	return nil
}

func newRoute(name string) site.Route {
	return site.Route{
		"name": name, "host": name, "kind": "read_your_writes", "service": groups[0],
		"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
	}
}

// Build builds the entry VM's program into a folder and returns the program's path. run
// executes a command and returns an error if it fails.
func Build(folder string, run func(name string, args ...string) error) (string, error) {
	program := filepath.Join(folder, "amaranthsilld")
	if err := run("go", "build", "-o", program, "amaranthsill/cmd/amaranthsilld"); err != nil {
		return "", fmt.Errorf("build program: %w", err)
	}
	if _, err := os.Stat(program); err != nil {
		return "", fmt.Errorf("build program: %w", err)
	}
	return program, nil
}
