package entry

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Status is what a VM says of itself.
type Status struct {
	VM      string        `json:"vm"`
	Zone    string        `json:"zone"`
	Version uint64        `json:"version"`
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
	s := Status{
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
