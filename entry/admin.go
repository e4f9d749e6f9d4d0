package entry

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Status is what a VM says of itself.
type Status struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	// Blind reports that the version went unconfirmed for too long; Age is
	// how many milliseconds ago it was confirmed, negative if never.
	Blind   bool          `json:"blind"`
	Age     int64         `json:"age"`
	VMs     int           `json:"vms"`
	Callers int           `json:"callers"`
	Groups  []GroupStatus `json:"groups"`
}

// GroupStatus is what a VM says of a database group.
type GroupStatus struct {
	Name    string `json:"name"`
	Primary string `json:"primary"`
	Term    uint64 `json:"term"`
}

// serveAdmin serves metrics, health and status.
func (v *VM) serveAdmin() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(v.metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "live")
	})
	mux.HandleFunc("GET /ready", v.ready)
	mux.HandleFunc("GET /status", v.status)
	l, err := net.Listen("tcp", v.Settings.Admin().String())
	if err != nil {
		return nil, fmt.Errorf("listen for admin: %w", err)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: retryPause}
	go func() {
		// Serve returns when the server is closed.
		_ = s.Serve(l)
	}()
	return s, nil
}

func (v *VM) ready(w http.ResponseWriter, _ *http.Request) {
	if v.kernel.Record().Version == 0 {
		http.Error(w, "no manifest is in force yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (v *VM) status(w http.ResponseWriter, _ *http.Request) {
	look := v.mesh.View()
	age := int64(-1)
	if look.Age >= 0 {
		age = look.Age.Milliseconds()
	}
	s := Status{
		Blind:   look.Blind,
		Age:     age,
		VMs:     len(look.VMs),
		VM:      v.Settings.VM(),
		Zone:    v.Settings.Zone(),
		Version: v.kernel.Record().Version,
		Callers: v.callers.Sessions(),
		Groups:  []GroupStatus{},
	}
	for _, g := range v.kernel.Groups() {
		view := g.View()
		s.Groups = append(s.Groups, GroupStatus{Name: g.Name(), Primary: view.Primary, Term: uint64(view.Term)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}

// registerMetrics adds the VM's own metrics.
func (v *VM) registerMetrics() {
	v.unreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "amaranthsill_manifests_unreadable_total",
		Help: "Manifests from the platform or a VM that could not be put in force.",
	})
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthsill_manifest_version",
		Help: "Version of the manifest in force.",
	}, func() float64 { return float64(v.kernel.Record().Version) })
	blind := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthsill_blind",
		Help: "One while the version in force is not confirmed by the platform.",
	}, func() float64 {
		if v.mesh.View().Blind {
			return 1
		}
		return 0
	})
	callers := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthsill_callers",
		Help: "Callers connected.",
	}, func() float64 { return float64(v.callers.Sessions()) })
	v.metrics.MustRegister(v.unreadable, version, blind, callers)
}
