package front

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/catalog"
	"amaranthsill/query"
)

// Metrics counts the outcomes of callers' statements and sessions on one VM,
// and logs refusals and outcomes in doubt, with the request's ID.
type Metrics struct {
	log              logr.Logger
	statements       *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	latency          *prometheus.HistogramVec
	sessions         prometheus.Gauge
	unknownDatabases prometheus.Counter
	brokenSessions   prometheus.Counter
	refusedStarts    *prometheus.CounterVec
	revokedSessions  prometheus.Counter
}

// NewMetrics returns metrics that are registered with r. It panics if
// they are registered already.
func NewMetrics(r prometheus.Registerer, log logr.Logger) *Metrics {
	m := &Metrics{
		log: log,
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_statements_total",
			Help: "Statements and commits by route and outcome.",
		}, []string{"route", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_refusals_total",
			Help: "Statements refused as not run, by route.",
		}, []string{"route"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "amaranthsill_statement_seconds",
			Help:    "Time from a statement's arrival to its answer.",
			Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"route"}),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "amaranthsill_sessions",
			Help: "Open sessions of callers.",
		}),
		unknownDatabases: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthsill_unknown_databases_total",
			Help: "Sessions refused for a database without a route.",
		}),
		brokenSessions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthsill_broken_sessions_total",
			Help: "Sessions that ended with a read error or a malformed message.",
		}),
		refusedStarts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_refused_starts_total",
			Help: "Sessions refused because of the key, or since the VM cannot check it, by reason.",
		}, []string{"reason"}),
		revokedSessions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthsill_revoked_sessions_total",
			Help: "Sessions ended since their key was revoked.",
		}),
	}
	r.MustRegister(m.refusedStarts, m.revokedSessions)
	r.MustRegister(m.statements, m.refusals, m.latency, m.sessions, m.unknownDatabases, m.brokenSessions)
	return m
}

// recordOutcome counts a statement's outcome. The latency is not observed if
// it is zero.
func (m *Metrics) recordOutcome(r *catalog.Route, reply query.Reply, latency time.Duration) {
	outcome := "done"
	if reply.Failure != nil {
		outcome = reply.Failure.Code.String()
	}
	m.statements.WithLabelValues(r.Name, outcome).Inc()
	if latency > 0 {
		m.latency.WithLabelValues(r.Name).Observe(latency.Seconds())
	}
}

func (m *Metrics) recordRefusal(r *catalog.Route, id, reason string, waited time.Duration, tries int, targets string) {
	m.refusals.WithLabelValues(r.Name).Inc()
	m.log.Info("statement refused as not run", "request", id, "route", r.Name, "group", r.Group,
		"reason", reason, "waited", waited.String(), "tries", tries, "targets", targets)
}

func (m *Metrics) recordInDoubt(r *catalog.Route, id, target string, err error) {
	m.log.Info("outcome in doubt", "request", id, "route", r.Name, "group", r.Group, "target", target, "reason", err.Error())
}

func (m *Metrics) recordBrokenSession(err error) {
	m.brokenSessions.Inc()
	m.log.Info("session closed after a connection or protocol error", "reason", err.Error())
}
