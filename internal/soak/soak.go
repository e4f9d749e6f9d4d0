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

// The times of a run.
const (
	// startLimit and recoverLimit are how long VMs may take to serve after their
	// start, and after the last fault: the users' figure.
	startLimit   = 12 * time.Second
	recoverLimit = 12 * time.Second
	// configurationLimit is how long a configuration may take to be in force
	// everywhere once nothing is wrong.
	configurationLimit = 4 * time.Second
	// staleness is that of the bounded routes of the stand-in.
	staleness = 1500 * time.Millisecond
	// longestFault bounds a fault; the pause before the next is shorter, so that
	// they overlap.
	longestFault = 2500 * time.Millisecond
	longestPause = 900 * time.Millisecond
	// callersPerGroup is how many callers work on each group.
	callersPerGroup = 6
)

// ErrBroken reports a promise that was not kept.
var ErrBroken = errors.New("promise was broken")

// zones are those of the VMs: three where statements are relayed, since only two
// of a zone hold connections.
var zones = []string{"quetzaltenango", "quetzaltenango", "quetzaltenango", "guatemala", "coban"}

// Run is one run of a site under faults. Set the exported fields before Play.
type Run struct {
	Seed uint64
	// Program is the entry VM's program, and Folder is where logs are kept.
	Program, Folder string
	// Length is for how long faults are injected.
	Length time.Duration
	// Logf tells what is injected.
	Logf func(format string, args ...any)

	random *rand.Rand
	site   *site.Site
	vms    []*VM
	// paths are the proxies before the servers.
	paths   []*Proxy
	stopped chan struct{}
	routes  []site.Route

	lock     sync.Mutex
	requests []request
	wrong    []error
}

var groups = []string{"choir", "dues"}

// Play runs the site and returns every promise that was broken.
func (r *Run) Play() error {
	r.random = rand.New(rand.NewPCG(r.Seed, 1))
	r.stopped = make(chan struct{})
	defer r.close()
	if err := r.open(); err != nil {
		return fmt.Errorf("open site: %w", err)
	}
	callers := r.startCallers()
	r.harm()
	r.heal()
	recovered := r.recovered()
	close(r.stopped)
	callers.Wait()
	r.check()
	return errors.Join(append(r.wrong, recovered)...)
}

func (r *Run) open() error {
	var err error
	r.site, err = site.Open(site.Shape{
		Groups: groups, Zones: []string{"quetzaltenango", "guatemala", "coban"},
		Connections: 12, Work: time.Millisecond, Through: r.through,
	})
	if err != nil {
		return fmt.Errorf("open stand-ins: %w", err)
	}
	for i, zone := range zones {
		v, err := newVM(fmt.Sprintf("vm-%d", i), zone, r.Program, r.Folder, r.site.Address)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
		if err := v.Start(true); err != nil {
			return err
		}
	}
	if !r.await(startLimit, r.allReady) {
		return fmt.Errorf("VMs are not ready %v after their start: %w", startLimit, ErrBroken)
	}
	return nil
}

// through puts a proxy before a server; it returns the proxy's address.
func (r *Run) through(address string) string {
	p, err := NewProxy(address)
	if err != nil {
		r.broke("proxy before %s: %v", address, err)
		return address
	}
	r.paths = append(r.paths, p)
	return p.Address()
}

func (r *Run) close() {
	for _, v := range r.vms {
		v.close()
	}
	for _, p := range r.paths {
		p.Close()
	}
	if r.site != nil {
		r.site.Close()
	}
}

func (r *Run) startCallers() *sync.WaitGroup {
	wait := &sync.WaitGroup{}
	for _, g := range groups {
		items := []string{}
		for i := range callersPerGroup {
			items = append(items, fmt.Sprintf("%s%d", g, i))
		}
		for _, name := range items {
			c := &caller{
				name: name, group: g, items: items, vms: r.vms, record: r.record, stopped: r.stopped,
				random: rand.New(rand.NewPCG(r.Seed, uint64(len(name))<<32+r.random.Uint64())),
			}
			wait.Go(func() {
				if err := c.run(); err != nil {
					r.broke("%v", err)
				}
			})
		}
	}
	return wait
}

func (r *Run) record(q request) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.requests = append(r.requests, q)
}

func (r *Run) broke(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.wrong = append(r.wrong, fmt.Errorf("seed %d: %w: %s", r.Seed, ErrBroken, fmt.Sprintf(format, args...)))
}

func (r *Run) await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
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

// recovered returns nil once every VM serves every group, and the newest
// configuration.
func (r *Run) recovered() error {
	begun := time.Now()
	var missing string
	served := r.await(recoverLimit, func() bool {
		missing = r.unserved()
		return missing == ""
	})
	for _, v := range r.vms {
		if err := v.Failure(); err != nil {
			r.broke("%v", err)
		}
	}
	if !served {
		return fmt.Errorf("seed %d: %s is not served %v after the last fault: %w", r.Seed, missing, recoverLimit, ErrBroken)
	}
	r.Logf("seed %d: recovered after %v", r.Seed, time.Since(begun).Round(time.Millisecond))
	return r.followsConfiguration()
}

// unserved names a VM and group that does not serve; empty if all do.
func (r *Run) unserved() string {
	for _, v := range r.vms {
		if !v.IsReady() {
			return v.Name
		}
		for _, g := range groups {
			if !r.serves(v, g+"-own") {
				return v.Name + " " + g
			}
		}
	}
	return ""
}

// serves reports whether a VM runs a read of a route.
func (r *Run) serves(v *VM, route string) bool {
	c := &caller{name: "probe", vms: []*VM{v}, vm: v, route: route, record: func(request) {}}
	conn, err := net.DialTimeout("tcp4", v.Callers, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return c.probe(conn) == ""
}

// followsConfiguration puts a route in force and takes the others away, now that
// nothing is wrong.
func (r *Run) followsConfiguration() error {
	name := "last"
	r.site.Configure([]site.Route{routeNamed(name)})
	ok := r.await(configurationLimit, func() bool {
		for _, v := range r.vms {
			if !r.serves(v, name) {
				return false
			}
		}
		return true
	})
	if !ok {
		return fmt.Errorf("seed %d: a configuration is not in force after %v: %w", r.Seed, configurationLimit, ErrBroken)
	}
	for _, v := range r.vms {
		for _, old := range r.routes {
			if r.serves(v, old["host"].(string)) {
				return fmt.Errorf("seed %d: %s serves a route that was taken away: %w", r.Seed, v.Name, ErrBroken)
			}
		}
	}
	return nil
}

func routeNamed(name string) site.Route {
	return site.Route{
		"name": name, "host": name, "kind": "read_your_writes", "service": groups[0],
		"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
	}
}

// Build builds the entry VM's program into a folder and returns its path.
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
