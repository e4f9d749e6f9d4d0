package kernel

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/group"
)

// Metrics counts request endings, promotions and invariant violations by group.
type Metrics struct {
	requests          *prometheus.CounterVec
	late              *prometheus.CounterVec
	seconds           *prometheus.HistogramVec
	promotions        *prometheus.CounterVec
	statusConflicts   *prometheus.CounterVec
	invariantBreaches *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with r. It panics if
// one of them is already registered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_requests_total",
			Help: "Requests by group, kind, ending (done, refused, unknown) and role of the target.",
		}, []string{"group", "kind", "ending", "role"}),
		late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_late_total",
			Help: "Requests that ended after half of their timeout, by group and kind.",
		}, []string{"group", "kind"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "amaranthsill_request_seconds",
			Help:    "Time from a request's last byte to its ending.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"group"}),
		promotions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_promotions_total",
			Help: "Promotions that this VM started, and how they ended.",
		}, []string{"group", "outcome"}),
		statusConflicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_statuses_set_aside_total",
			Help: "Target statuses that contradicted earlier ones.",
		}, []string{"group"}),
		invariantBreaches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_invariant_breaches_total",
			Help: "Internal checks that failed. Any value above zero is a bug.",
		}, []string{"group"}),
	}
	r.MustRegister(m.requests, m.late, m.seconds, m.promotions, m.statusConflicts, m.invariantBreaches)
	return m
}

// observe counts a request's ending and records its duration. A request that
// took more than half of its kind's timeout also counts as late.
func (m *Metrics) observe(name string, t *Task, e group.Ending, duration time.Duration) {
	ending, role := endingLabels(e)
	kind := t.Kind.Name()
	m.requests.WithLabelValues(name, kind, ending, role).Inc()
	m.seconds.WithLabelValues(name).Observe(duration.Seconds())
	if duration > t.Kind.Timeout()/2 {
		m.late.WithLabelValues(name, kind).Inc()
	}
}

// endingLabels returns the values of the labels ending and role.
func endingLabels(e group.Ending) (ending, role string) {
	switch e := e.(type) {
	case group.Done:
		if e.Replica {
			return "done", "replica"
		}
		return "done", "primary"
	case group.Refused:
		return "refused", "none"
	case group.Unknown:
		return "unknown", "none"
	default:
		panic(fmt.Sprintf("kernel: unknown ending %T", e))
	}
}
