package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/pool"
)

// trafficCollector reports the traffic between zones as Prometheus metrics.
type trafficCollector struct {
	*VM
	statements, bytes, share *prometheus.Desc
}

// newTrafficCollector returns a collector for a VM whose settings have prices.
func newTrafficCollector(v *VM) *trafficCollector {
	labels := []string{"from", "to", "reason"}
	return &trafficCollector{
		VM:         v,
		statements: prometheus.NewDesc("amaranthsill_zone_statements_total", "Answered statements by zones of VM and target, and why they ran there.", labels, nil),
		bytes:      prometheus.NewDesc("amaranthsill_zone_bytes_total", "Bytes of orders and answers by zones of VM and target, and why they ran there.", labels, nil),
		share:      prometheus.NewDesc("amaranthsill_cross_zone_share", "Share of a group's statements that may leave the zone.", []string{"group"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *trafficCollector) Describe(d chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, d) }

// Collect implements prometheus.Collector. The groups are summed, since a deployment
// may have a thousand of them.
func (c *trafficCollector) Collect(m chan<- prometheus.Metric) {
	type key struct{ zone, reason string }
	sums := map[key]pool.TrafficTotal{}
	for name, g := range c.pools() {
		m <- prometheus.MustNewConstMetric(c.share, prometheus.GaugeValue, g.CrossZoneShare(), name)
		for _, t := range g.TrafficTotals() {
			k := key{zone: t.Zone, reason: t.Reason.String()}
			sum := sums[k]
			sum.Statements += t.Statements
			sum.Bytes += t.Bytes
			sums[k] = sum
		}
	}
	from := c.Settings.Zone()
	for k, sum := range sums {
		m <- prometheus.MustNewConstMetric(c.statements, prometheus.CounterValue, float64(sum.Statements), from, k.zone, k.reason)
		m <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(sum.Bytes), from, k.zone, k.reason)
	}
}
