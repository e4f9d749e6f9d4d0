package edge

import (
	"github.com/prometheus/client_golang/prometheus"
)

// collector reads a VM's state when metrics are asked for.
type collector struct {
	*VM
	dropped                       *prometheus.Desc
	version, record, peers, holds *prometheus.Desc
	waiting, connections, active  *prometheus.Desc
	down, lag, recordAge, moving  *prometheus.Desc
}

var _ prometheus.Collector = (*collector)(nil)

func newCollector(v *VM) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("amaranthsill_"+name, help, labels, nil)
	}
	return &collector{
		VM:          v,
		dropped:     describe("log_lines_dropped_total", "Log lines lost since nobody read them."),
		version:     describe("configuration_version", "Version of the operators' configuration in force."),
		record:      describe("record_revision", "Revision of the newest known record of leaders."),
		recordAge:   describe("record_age_seconds", "Time since the store confirmed the record of leaders."),
		peers:       describe("vms", "VMs that may be running, as far as this one knows."),
		holds:       describe("held_groups", "Groups to whose targets this VM holds connections."),
		waiting:     describe("waiting_statements", "Statements that wait for a target.", "group"),
		connections: describe("target_connections", "Connections to targets, through holders or not.", "group", "use"),
		active:      describe("active_statements", "Statements that are under way on targets.", "group"),
		down:        describe("unreachable_targets", "Targets that this VM does not reach.", "group"),
		lag:         describe("replica_lag_seconds", "How far the last replica is behind, as far as known.", "group"),
		moving:      describe("moves_under_way", "Whether this VM moves a leadership: 1 or 0."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(d chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, d) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(m chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		m <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	if c.Dropped != nil {
		m <- prometheus.MustNewConstMetric(c.dropped, prometheus.CounterValue, float64(c.Dropped()))
	}
	if n := c.catalog.Current(); n != nil {
		gauge(c.version, float64(n.Version))
	}
	revision, stored, ever := c.grants.Stored()
	gauge(c.record, float64(revision))
	if ever {
		gauge(c.recordAge, (c.Now() - stored).Seconds())
	}
	gauge(c.peers, float64(c.directory.Count()))
	moves := 1.0
	if c.mover.Resting() {
		moves = 0
	}
	gauge(c.moving, moves)
	held := 0
	for name, g := range c.pools() {
		if c.holding(name).Self {
			held++
		}
		l := g.Load()
		gauge(c.waiting, float64(l.Waiting), name)
		gauge(c.connections, float64(l.Open-l.Idle), name, "busy")
		gauge(c.connections, float64(l.Idle), name, "idle")
		gauge(c.active, float64(l.Active), name)
		gauge(c.down, float64(l.Down), name)
		gauge(c.lag, l.Lag.Seconds(), name)
	}
	gauge(c.holds, float64(held))
}
