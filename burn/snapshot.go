// Package burn reports the burn rate of the error budget for each group and
// kind of request, over windows of 5 minutes to 3 days. It reads the request
// counters of any number of VMs; the objectives come from the manifest.
//
// A snapshot holds the counters of all VMs that answered at one time. A
// report compares the newest snapshot with older ones. It lists the VMs that
// did not answer, and marks windows that no older snapshot covers as missing.
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

// Key identifies a counter by VM and by the labels of the metric.
type Key struct {
	// VM is the admin address that the counter was read from.
	VM    string `json:"vm"`
	Group string `json:"group"`
	Kind  string `json:"kind"`
	// Ending is "done", "refused" or "unknown", or EndingLate.
	Ending string `json:"ending"`
}

// EndingLate is the Ending of the counters of late requests, which took more
// than half of their kind's timeout. It is no ending of its own: such a request
// is also counted under the way in which it ended.
const EndingLate = "late"

// Count is the value of one counter.
type Count struct {
	Key
	// Value is the number of requests since the VM's process started.
	Value float64 `json:"value"`
}

// Snapshot holds the counters of all VMs at one time.
type Snapshot struct {
	// At is the time at which the counters were read.
	At     time.Time `json:"at"`
	Counts []Count   `json:"counts"`
}

// ErrMetrics reports metrics that could not be fetched or parsed, or a saved
// snapshot that could not be decoded.
var ErrMetrics = errors.New("metrics could not be read")

// maxMetricsBytes is the most that is read of one VM's metrics.
const maxMetricsBytes = 16 << 20

// fetchTimeout is the time in which one VM must return its metrics.
const fetchTimeout = 5 * time.Second

// Collect reads the metrics of the VMs at the given admin addresses, one after
// the other. The map has an error for each address whose metrics could not be
// fetched or parsed.
func Collect(ctx context.Context, addresses []string, at time.Time) (Snapshot, map[string]error) {
	s := Snapshot{At: at}
	missing := map[string]error{}
	for _, a := range addresses {
		text, err := fetchMetrics(ctx, a)
		if err == nil {
			err = s.Add(a, text)
		}
		if err != nil {
			missing[a] = err
		}
	}
	return s, missing
}

// fetchMetrics returns the metrics of the VM at an admin address as text.
func fetchMetrics(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask VM: %w", errors.Join(ErrMetrics, err))
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxMetricsBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", errors.Join(ErrMetrics, err))
	}
	return text, nil
}

// Add parses one VM's metrics in the Prometheus text format and adds its
// request counters to the snapshot. Its error wraps ErrMetrics.
func (s *Snapshot) Add(vm string, text []byte) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("parse metrics of %s: %w", vm, errors.Join(ErrMetrics, err))
	}
	for _, m := range families["amaranthsill_requests_total"].GetMetric() {
		s.add(vm, labelValue(m, "ending"), m)
	}
	for _, m := range families["amaranthsill_late_total"].GetMetric() {
		s.add(vm, EndingLate, m)
	}
	return nil
}

// add adds a metric to the count with the same VM, group, kind and ending.
// Metrics that differ in other labels, such as the role, are summed.
func (s *Snapshot) add(vm, ending string, m *dto.Metric) {
	k := Key{VM: vm, Group: labelValue(m, "group"), Kind: labelValue(m, "kind"), Ending: ending}
	i := slices.IndexFunc(s.Counts, func(c Count) bool { return c.Key == k })
	if i < 0 {
		s.Counts = append(s.Counts, Count{Key: k})
		i = len(s.Counts) - 1
	}
	s.Counts[i].Value += m.GetCounter().GetValue()
}

// labelValue returns the value of a metric's label, or an empty string if the
// metric does not have the label.
func labelValue(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// snapshotSuffix is the suffix of the file names of saved snapshots.
const snapshotSuffix = ".burn.json"

// Save writes the snapshot as JSON into a file of the directory. The file is
// named after the snapshot's time in UTC, to the millisecond.
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

// Load reads all saved snapshots of a directory and returns them oldest first.
// Files with another suffix are ignored.
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
