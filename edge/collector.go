package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/catalog"
	"amaranthsill/internal/build"
	"amaranthsill/pool"
)

// customerLabels is the number of customers that one metric names; with thousands of
// customers, one time series for each would cost more than the metric is worth.
const customerLabels = 20

// collector reports a VM's state as Prometheus metrics, read at each scrape.
type collector struct {
	*VM
	droppedLines                                              *prometheus.Desc
	configurationVersion, recordRevision, vmCount, heldGroups *prometheus.Desc
	waitingStatements, targetConnections, activeStatements    *prometheus.Desc
	unreachableTargets, replicaLag, recordAge, movesUnderWay  *prometheus.Desc
	storeEra, storeLosses, invalidEntries                     *prometheus.Desc
	confirmationAge, customers, customerSessions              *prometheus.Desc
	connectionOpens, connectionEvictions, customerWaiting     *prometheus.Desc
	conflictingPrimaries, build, repeatedAnswers              *prometheus.Desc
}

var _ prometheus.Collector = (*collector)(nil)

// newCollector returns a collector for a VM. The metrics are prefixed with
// "amaranthsill_".
func newCollector(v *VM) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("amaranthsill_"+name, help, labels, nil)
	}
	return &collector{
		VM:                   v,
		build:                prometheus.NewDesc("amaranthsill_build_info", "The build that runs, in labels; always 1.", nil, build.Current().Labels()),
		droppedLines:         describe("log_lines_dropped_total", "Log lines lost since nobody read them."),
		configurationVersion: describe("configuration_version", "Version of the operators' configuration in force."),
		confirmationAge:      describe("configuration_age_seconds", "Time since the configuration in force was last known to be the newest."),
		customers:            describe("customers", "Customers of the configuration in force."),
		customerSessions:     describe("customer_sessions", "Open sessions of the customers with the most; those of the rest are summed as other.", "customer"),
		recordRevision:       describe("record_revision", "Revision of the newest known record of leaders."),
		recordAge:            describe("record_age_seconds", "Time since the store confirmed the record of leaders."),
		storeEra:             describe("store_era", "Era that the store told last; it rises when the store came back from an older copy."),
		storeLosses:          describe("store_losses_total", "Times that the store came back from an older copy since the VM started."),
		invalidEntries:       describe("invalid_entries_total", "States of entries in the store that could not be used, by kind; those of kind item were not even read.", "kind"),
		vmCount:              describe("vms", "VMs that may be running, as far as this one knows."),
		heldGroups:           describe("held_groups", "Groups to whose targets this VM holds connections."),
		waitingStatements:    describe("waiting_statements", "Statements that wait for a target.", "group"),
		targetConnections:    describe("target_connections", "Connections to targets, through holders or not.", "group", "use"),
		activeStatements:     describe("active_statements", "Statements that are under way on targets.", "group"),
		unreachableTargets:   describe("unreachable_targets", "Targets that this VM does not reach.", "group"),
		replicaLag:           describe("replica_lag_seconds", "How far the last replica is behind, as far as known.", "group"),
		connectionOpens:      describe("connection_opens_total", "Connections to targets that were opened, through holders or not.", "group"),
		connectionEvictions:  describe("connection_evictions_total", "Idle connections that were closed to open one for another customer.", "group"),
		customerWaiting:      describe("customer_waiting_statements", "Statements that wait for a target, of the customers with the most.", "customer"),
		conflictingPrimaries: describe("conflicting_primaries", "Targets that report themselves as primaries although they do not lead.", "group"),
		repeatedAnswers:      describe("repeated_answers_total", "Answers of targets that were, or might have been, sent twice, by what became of them.", "kind"),
		movesUnderWay:        describe("moves_under_way", "Whether this VM moves a leadership: 1 or 0."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(d chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, d) }

// collectCustomers reports the customers of a configuration, if it has any, and their
// sessions.
func (c *collector) collectCustomers(n *catalog.Configuration, gauge func(*prometheus.Desc, float64, ...string)) {
	if n.Customers == nil {
		return
	}
	gauge(c.customers, float64(n.Customers.Len()))
	for name, sessions := range c.front.CustomerSessions() {
		gauge(c.customerSessions, float64(sessions), name)
	}
}

// collectInvalidEntries reports the entries in the store that could not be used.
func (c *collector) collectInvalidEntries(count func(*prometheus.Desc, int, ...string)) {
	invalid := c.directory.InvalidEntries()
	for kind := range invalidMessages {
		count(c.invalidEntries, invalid[string(kind)], string(kind))
	}
	if c.Adapter.UnreadableItems != nil {
		count(c.invalidEntries, c.Adapter.UnreadableItems(), "item")
	}
}

// collectRepeats reports the answers that targets sent, or might have sent, twice.
func (c *collector) collectRepeats(count func(*prometheus.Desc, int, ...string)) {
	n := c.Adapter.Repeats.Counts()
	count(c.repeatedAnswers, int(n.Repeated), "discarded")
	count(c.repeatedAnswers, int(n.Confirmed), "confirmed")
	count(c.repeatedAnswers, int(n.Refuted), "refuted")
	count(c.repeatedAnswers, int(n.Unmatched), "unmatched")
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(m chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		m <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	count := func(d *prometheus.Desc, value int, labels ...string) {
		m <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	gauge(c.build, 1)
	if c.DroppedLogLines != nil {
		m <- prometheus.MustNewConstMetric(c.droppedLines, prometheus.CounterValue, float64(c.DroppedLogLines()))
	}
	if n := c.catalog.Current(); n != nil {
		gauge(c.configurationVersion, float64(n.Version))
		c.collectCustomers(n, gauge)
	}
	if age, known := c.configurationAge(); known {
		gauge(c.confirmationAge, age.Seconds())
	}
	revision, confirmedAt, confirmed := c.grants.StoreConfirmation()
	gauge(c.recordRevision, float64(revision.Number()))
	era, losses, _ := c.grants.Era()
	if era > 0 {
		gauge(c.storeEra, float64(era-1))
	}
	m <- prometheus.MustNewConstMetric(c.storeLosses, prometheus.CounterValue, float64(losses))
	if confirmed {
		gauge(c.recordAge, (c.Now() - confirmedAt).Seconds())
	}
	c.collectInvalidEntries(count)
	c.collectRepeats(count)
	gauge(c.vmCount, float64(c.directory.PeerCount()))
	moving := 1.0
	if c.mover.Idle() {
		moving = 0
	}
	gauge(c.movesUnderWay, moving)
	held, waiting := 0, map[string]int{}
	for name, g := range c.pools() {
		if c.holdersOf(name).Self {
			held++
		}
		l := g.Load()
		count(c.connectionOpens, g.Opens(), name)
		count(c.connectionEvictions, g.Evictions(), name)
		for customer, n := range g.WaitingByCustomer() {
			waiting[customer] += n
		}
		gauge(c.waitingStatements, float64(l.Waiting), name)
		gauge(c.targetConnections, float64(l.Open-l.Idle), name, "busy")
		gauge(c.targetConnections, float64(l.Idle), name, "idle")
		gauge(c.activeStatements, float64(l.Active), name)
		gauge(c.unreachableTargets, float64(l.Down), name)
		gauge(c.replicaLag, l.Lag.Seconds(), name)
		gauge(c.conflictingPrimaries, float64(len(conflictingPrimaries(c.directory.Targets(name), c.grants.Lead(name)))), name)
	}
	gauge(c.heldGroups, float64(held))
	for customer, n := range pool.Busiest(waiting, customerLabels) {
		gauge(c.customerWaiting, float64(n), customer)
	}
}
