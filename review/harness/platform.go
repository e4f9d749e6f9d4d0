package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"amaranthsill/internal/site"
)

// deployment is a small stand-in for the platform: the metadata store and the promotion call
// on one address, and the servers.
type deployment struct {
	store   *site.Store
	address string

	lock    sync.Mutex
	servers map[string]*server
	version int
}

func openDeployment() (*deployment, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	d := &deployment{store: site.NewStore(), address: l.Addr().String(), servers: map[string]*server{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", d.promote)
	mux.Handle("/", d.store)
	go func() { _ = http.Serve(l, mux) }()
	return d, nil
}

// route is one route of the desired state.
type route struct {
	host, kind, service        string
	timeout, target, staleness int
}

// configure writes a version of the desired state.
func (d *deployment) configure(maxConns, txIdle int, routes ...route) {
	d.version += 3
	list, services, seen := []map[string]any{}, []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r-" + r.host, "host": r.host, "kind": r.kind, "service": r.service, "timeout_ms": r.timeout,
			"target_latency_ms": r.target, "priority": 1, "max_staleness_ms": r.staleness,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "max_conns": maxConns, "sync_replicas": 0})
		}
	}
	d.store.Put("op/config", map[string]any{
		"version": d.version, "routes": list, "services": services, "limits": map[string]any{"tx_idle_ms": txIdle},
	})
}

// promote makes a server the primary of the next term.
func (d *deployment) promote(w http.ResponseWriter, q *http.Request) {
	body := struct{ Service, ID string }{}
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.lock.Lock()
	s := d.servers[body.ID]
	d.lock.Unlock()
	record.printf("promotion of %s by %s with token %s", body.ID, q.Header.Get("Duty-Holder"), q.Header.Get("Fence-Token"))
	if s == nil || s.service != body.Service {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(300*time.Millisecond, func() { d.lead(s) })
	w.WriteHeader(http.StatusOK)
}

// lead makes a server the primary and the others of its service replicas.
func (d *deployment) lead(s *server) {
	d.lock.Lock()
	defer d.lock.Unlock()
	term := uint64(0)
	for _, o := range d.servers {
		if o.service == s.service {
			term = max(term, o.currentTerm())
		}
	}
	for _, o := range d.servers {
		if o.service == s.service {
			o.setRole(o == s, term+1)
		}
	}
}
