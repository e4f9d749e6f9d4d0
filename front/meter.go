package front

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/catalog"
	"amaranthsill/query"
)

// Meter counts what callers of a VM got and logs what they may ask about.
type Meter struct {
	log      logr.Logger
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	sessions prometheus.Gauge
	unknown  prometheus.Counter
	broken   prometheus.Counter
}

// NewMeter returns a Meter whose metrics are registered with r.
func NewMeter(r prometheus.Registerer, log logr.Logger) *Meter {
	m := &Meter{
		log: log,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_statements_total",
			Help: "Statements and commits by route and outcome.",
		}, []string{"route", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthsill_refusals_total",
			Help: "Statements refused as not run, by route.",
		}, []string{"route"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "amaranthsill_statement_seconds",
			Help:    "Time from a statement's arrival to its answer.",
			Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"route"}),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "amaranthsill_sessions",
			Help: "Open sessions of callers.",
		}),
		unknown: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthsill_unknown_databases_total",
			Help: "Sessions refused for a database without a route.",
		}),
		broken: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthsill_broken_sessions_total",
			Help: "Sessions that ended with a read error or a malformed message.",
		}),
	}
	r.MustRegister(m.requests, m.refusals, m.seconds, m.sessions, m.unknown, m.broken)
	return m
}

func (m *Meter) ended(r *catalog.Route, reply query.Reply, took time.Duration) {
	outcome := "done"
	if reply.Failure != nil {
		outcome = reply.Failure.Code.String()
	}
	m.requests.WithLabelValues(r.Name, outcome).Inc()
	if took > 0 {
		m.seconds.WithLabelValues(r.Name).Observe(took.Seconds())
	}
}

func (m *Meter) refused(r *catalog.Route, id, reason string, waited time.Duration, tries int, targets string) {
	m.refusals.WithLabelValues(r.Name).Inc()
	m.log.Info("statement refused as not run", "request", id, "route", r.Name, "group", r.Group,
		"reason", reason, "waited", waited.String(), "tries", tries, "targets", targets)
}

func (m *Meter) doubtful(r *catalog.Route, id, target string, err error) {
	m.log.Info("outcome in doubt", "request", id, "route", r.Name, "group", r.Group, "target", target, "reason", err.Error())
}

func (m *Meter) wire(err error) {
	m.broken.Inc()
	m.log.Info("session ended by its wire", "reason", err.Error())
}
