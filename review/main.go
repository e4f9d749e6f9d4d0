// Command standin plays the cases of the review: it starts VMs of the system as separate
// processes, with stand-ins for the platform, the servers and the clients around them.
//
//	review-standin CASE FOLDER on|off
//
// It writes FOLDER/record.txt and exits with 1 if the case's rule was broken, with 0 if it held,
// and with 2 if the case could not run. The last word says whether the disruption happens; the
// scripts choose it by TROUBLE.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(exitCannotRun)
}

// trouble reports whether the disruption is to happen.
var trouble bool

// world is what a case runs in.
type world struct {
	record  *record
	store   *store
	cloud   *cloud
	service *service
	vms     []*vm
	// extra is a second service in the desired state; empty for none. It has no servers.
	extra   string
	version int
}

// zones are those of the site.
var zones = []string{"kigali-a", "mombasa-a", "dar-a"}

// newWorld returns a service with a primary and two replicas, without VMs.
func newWorld(path string, syncReplicas int) *world {
	w := &world{record: newRecord(path), store: newStore()}
	w.service = &service{name: "dele69a", sync: syncReplicas, store: w.store, record: w.record}
	for i, zone := range zones {
		newServer(w.service, "i-"+strconv.Itoa(i)+"7f3a91c", zone, i == 0)
	}
	go w.service.replicate()
	w.cloud = newCloud(w.record, map[string]*service{w.service.name: w.service})
	w.configure()
	return w
}

// configure writes the desired state.
func (w *world) configure() {
	routes := []map[string]any{}
	for _, r := range []struct {
		name, kind          string
		timeout, aim, stale int
		priority            int
	}{
		{"claim-filing", "primary", 800, 600, 0, 1},
		{"refund-status", "bounded_staleness", 2000, 1000, 1500, 2},
		{"clerk-review", "read_your_writes", 800, 1000, 2500, 2},
	} {
		routes = append(routes, map[string]any{
			"name": r.name, "host": r.name, "kind": r.kind, "service": w.service.name, "timeout_ms": r.timeout,
			"target_latency_ms": r.aim, "priority": r.priority, "max_staleness_ms": r.stale,
		})
	}
	services := []map[string]any{{"name": w.service.name, "max_conns": maxConnections, "sync_replicas": w.service.sync}}
	if w.extra != "" {
		services = append(services, map[string]any{"name": w.extra, "max_conns": maxConnections, "sync_replicas": 0})
		routes = append(routes, map[string]any{
			"name": "claim-archive", "host": "claim-archive", "kind": "primary", "service": w.extra, "timeout_ms": 800,
			"target_latency_ms": 600, "priority": 3, "max_staleness_ms": 0,
		})
	}
	w.version += 7
	w.store.write("op/config", map[string]any{
		"version": w.version, "routes": routes, "limits": map[string]any{"tx_idle_ms": 2000}, "services": services,
	})
}

func main() {
	if len(os.Args) != 4 || os.Args[3] != "on" && os.Args[3] != "off" {
		fatal("usage: review-standin CASE FOLDER on|off")
	}
	trouble = os.Args[3] == "on"
	var err error
	if program, err = filepath.Abs("target/amaranthsilld"); err != nil {
		fatal("find the daemon: %v", err)
	}
	if _, err := os.Stat(program); err != nil {
		fatal("build the daemon first: %v", err)
	}
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		fatal("make a folder: %v", err)
	}
	time.AfterFunc(110*time.Second, func() { fatal("the case took too long") })
	play := cases[os.Args[1]]
	if play == nil {
		fatal("no case %s", os.Args[1])
	}
	code := play(filepath.Join(os.Args[2], "record.txt"))
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("logs are in", folder)
	}
	os.Exit(code)
}

// cases are the cases by name.
var cases = map[string]func(path string) int{
	"sync":     playSync,
	"linefeed": playLineFeed,
	"shape":    playShape,
	"forged":   playForged,
	"recover":  playRecover,
}
