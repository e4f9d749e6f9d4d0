package entry

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Status is the JSON body of the admin endpoint /status: this VM's state. Its
// JSON names are those in the tags.
type Status struct {
	// VM is the VM's name and Zone its availability zone.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Version is the version of the manifest in force; zero if there is none.
	Version uint64 `json:"version"`
	// Unconfirmed reports that the platform has not been known to hold the
	// version in force for longer than roster.Limits.MaxUnconfirmed, or never.
	Unconfirmed bool `json:"blind"`
	// SinceConfirmed is the time in milliseconds since the platform was last
	// known to hold that version as the latest; negative if that was never
	// known.
	SinceConfirmed int64 `json:"age"`
	// VMs is the number of VMs that this one counts as alive, itself included.
	VMs int `json:"vms"`
	// Callers is the number of connected callers.
	Callers int `json:"callers"`
	// Groups are the groups of the manifest in force, sorted by name.
	Groups []GroupStatus `json:"groups"`
}

// GroupStatus is the state of one database group as this VM knows it.
type GroupStatus struct {
	Name string `json:"name"`
	// Primary is the target that leads the group, and Term is its term.
	Primary string `json:"primary"`
	Term    uint64 `json:"term"`
}

// serveAdmin starts the admin server with the endpoints /metrics, /live, /ready
// and /status. Its error is that of opening the listener.
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
	s := &http.Server{Handler: mux, ReadHeaderTimeout: retryInterval}
	go func() {
		// Serve only returns when the server is closed.
		_ = s.Serve(l)
	}()
	return s, nil
}

// ready answers 200 once a manifest is in force, and 503 before.
func (v *VM) ready(w http.ResponseWriter, _ *http.Request) {
	if v.kernel.Record().Version == 0 {
		http.Error(w, "no manifest is in force yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// status answers with the VM's Status as JSON.
func (v *VM) status(w http.ResponseWriter, _ *http.Request) {
	meshView := v.mesh.View()
	age := int64(-1)
	if meshView.SinceConfirmed >= 0 {
		age = meshView.SinceConfirmed.Milliseconds()
	}
	s := Status{
		Unconfirmed:    meshView.Unconfirmed,
		SinceConfirmed: age,
		VMs:            len(meshView.VMs),
		VM:             v.Settings.VM(),
		Zone:           v.Settings.Zone(),
		Version:        v.kernel.Record().Version,
		Callers:        v.callers.Sessions(),
		Groups:         []GroupStatus{},
	}
	for _, g := range v.kernel.Groups() {
		view := g.View()
		s.Groups = append(s.Groups, GroupStatus{Name: g.Name(), Primary: view.Primary, Term: uint64(view.Term)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}

// registerMetrics creates and registers the metrics of package entry.
func (v *VM) registerMetrics() {
	v.manifestsUnreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "amaranthsill_manifests_unreadable_total",
		Help: "Manifests from the platform or a VM that could not be put in force.",
	})
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthsill_manifest_version",
		Help: "Version of the manifest in force.",
	}, func() float64 { return float64(v.kernel.Record().Version) })
	// The metric's name says "blind" for what the code and the help text call
	// unconfirmed, as does the JSON name of Status.Unconfirmed.
	unconfirmed := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthsill_blind",
		Help: "One while the version in force is not confirmed by the platform.",
	}, func() float64 {
		if v.mesh.View().Unconfirmed {
			return 1
		}
		return 0
	})
	callers := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthsill_callers",
		Help: "Callers connected.",
	}, func() float64 { return float64(v.callers.Sessions()) })
	v.metrics.MustRegister(v.manifestsUnreadable, version, unconfirmed, callers)
}
