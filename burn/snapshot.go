// Package burn reports how fast the service-level objectives of a manifest's
// kinds are being spent: from the counters of any number of VMs, over short
// and long windows.
//
// A snapshot holds the counters of all VMs that answered at one time. A
// report compares the newest snapshot with older ones. What is missing is
// reported as missing.
//
// # Usage
//
//	now, missing := burn.Collect(ctx, addresses, time.Now())
//	report := burn.Compare(manifest, append(older, now), missing)
//	report.Text(os.Stdout)
package burn

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Key names what a count is about.
type Key struct {
	VM     string `json:"vm"`
	Group  string `json:"group"`
	Kind   string `json:"kind"`
	Ending string `json:"ending"`
}

// EndingLate counts requests that ended after half of their timeout, however
// they ended; the other endings are done, refused and unknown.
const EndingLate = "late"

// Count is one counter.
type Count struct {
	Key
	Value float64 `json:"value"`
}

// Snapshot is what the VMs counted up to one time.
type Snapshot struct {
	At     time.Time `json:"at"`
	Counts []Count   `json:"counts"`
}

// ErrMetrics reports metrics that could not be read.
var ErrMetrics = errors.New("metrics could not be read")

// maxMetrics bounds the bytes of one VM's metrics.
const maxMetrics = 16 << 20

// collectLimit bounds one VM's answer.
const collectLimit = 5 * time.Second

// Collect reads the metrics of the VMs at the given admin addresses. It
// returns the addresses that did not answer, with the reason.
func Collect(ctx context.Context, addresses []string, at time.Time) (Snapshot, map[string]error) {
	s := Snapshot{At: at}
	missing := map[string]error{}
	for _, a := range addresses {
		text, err := fetch(ctx, a)
		if err == nil {
			err = s.Add(a, text)
		}
		if err != nil {
			missing[a] = err
		}
	}
	return s, missing
}

func fetch(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, collectLimit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, fmt.Errorf("ask VM: %w", errors.Join(ErrMetrics, err))
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxMetrics))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", errors.Join(ErrMetrics, err))
	}
	return text, nil
}

// Add reads one VM's metrics in Prometheus' text format. Its error wraps
// ErrMetrics.
func (s *Snapshot) Add(vm string, text []byte) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("parse metrics of %s: %w", vm, errors.Join(ErrMetrics, err))
	}
	for _, m := range families["amaranthsill_requests_total"].GetMetric() {
		s.add(vm, label(m, "ending"), m)
	}
	for _, m := range families["amaranthsill_late_total"].GetMetric() {
		s.add(vm, EndingLate, m)
	}
	return nil
}

func (s *Snapshot) add(vm, ending string, m *dto.Metric) {
	k := Key{VM: vm, Group: label(m, "group"), Kind: label(m, "kind"), Ending: ending}
	i := slices.IndexFunc(s.Counts, func(c Count) bool { return c.Key == k })
	if i < 0 {
		s.Counts = append(s.Counts, Count{Key: k})
		i = len(s.Counts) - 1
	}
	s.Counts[i].Value += m.GetCounter().GetValue()
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// snapshotSuffix ends the names of saved snapshots.
const snapshotSuffix = ".burn.json"

// Save writes the snapshot into a directory under its time.
func (s Snapshot) Save(directory string) error {
	const mode = 0o644
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	name := s.At.UTC().Format("20060102T150405.000") + snapshotSuffix
	if err := os.WriteFile(filepath.Join(directory, name), text, mode); err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	return nil
}

// Load reads the saved snapshots of a directory, oldest first.
func Load(directory string) ([]Snapshot, error) {
	files, err := os.ReadDir(directory)
	if err != nil {
		return nil, fmt.Errorf("list snapshots: %w", err)
	}
	out := []Snapshot{}
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), snapshotSuffix) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(directory, f.Name()))
		if err != nil {
			return nil, fmt.Errorf("read snapshot: %w", err)
		}
		s := Snapshot{}
		if err := json.Unmarshal(text, &s); err != nil {
			return nil, fmt.Errorf("read snapshot %s: %w", f.Name(), errors.Join(ErrMetrics, err))
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Snapshot) int { return a.At.Compare(b.At) })
	return out, nil
}
