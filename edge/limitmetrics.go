package edge

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/quota"
)

// maxCustomerLabels is how many customers have metrics of their own. The others are summed
// under otherCustomers.
const (
	maxCustomerLabels = 20
	otherCustomers    = "other"
)

// limitCounts counts what became of a customer's operations on this VM.
type limitCounts struct {
	admitted, refused, requested, granted uint64
}

func (c limitCounts) plus(o limitCounts) limitCounts {
	return limitCounts{c.admitted + o.admitted, c.refused + o.refused, c.requested + o.requested, c.granted + o.granted}
}

func (c limitCounts) minus(o limitCounts) limitCounts {
	return limitCounts{c.admitted - o.admitted, c.refused - o.refused, c.requested - o.requested, c.granted - o.granted}
}

// limitMetrics counts by customer.
type limitMetrics struct {
	admitted, refused, requested, granted *prometheus.Desc

	lock   sync.Mutex
	counts map[string]*limitCounts
	// labelled holds the customers with metrics of their own, and their counts when they
	// got them. What was counted before stays with the other customers, so that no counter
	// ever falls.
	labelled map[string]limitCounts
}

var _ prometheus.Collector = (*limitMetrics)(nil)

func newLimitMetrics() *limitMetrics {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("amaranthsill_limit_"+name, help, []string{"customer"}, nil)
	}
	return &limitMetrics{
		admitted:  describe("admitted_total", "Operations admitted under their customer's limit."),
		refused:   describe("refused_total", "Operations refused under their customer's limit."),
		requested: describe("tokens_requested_total", "Tokens that this VM requested from limiters."),
		granted:   describe("tokens_granted_total", "Tokens that limiters granted this VM."),
		counts:    map[string]*limitCounts{},
		labelled:  map[string]limitCounts{},
	}
}

// of returns the counts of a customer. The caller holds the lock.
func (m *limitMetrics) of(name string) *limitCounts {
	c := m.counts[name]
	if c == nil {
		c = &limitCounts{}
		m.counts[name] = c
	}
	return c
}

// decided counts an operation.
func (m *limitMetrics) decided(name string, ok bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if ok {
		m.of(name).admitted++
	} else {
		m.of(name).refused++
	}
}

// answered counts the tokens of a call.
func (m *limitMetrics) answered(call quota.Call, r quota.Response) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for i, a := range call.Asks {
		c := m.of(a.Customer)
		c.requested += uint64(a.Waiting + a.Extra)
		if i < len(r.Allowances) {
			c.granted += uint64(r.Allowances[i].Granted)
		}
	}
}

// Describe implements prometheus.Collector.
func (m *limitMetrics) Describe(d chan<- *prometheus.Desc) {
	for _, n := range []*prometheus.Desc{m.admitted, m.refused, m.requested, m.granted} {
		d <- n
	}
}

// Collect implements prometheus.Collector.
func (m *limitMetrics) Collect(out chan<- prometheus.Metric) {
	for name, c := range m.byLabel() {
		for d, value := range map[*prometheus.Desc]uint64{m.admitted: c.admitted, m.refused: c.refused, m.requested: c.requested, m.granted: c.granted} {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), name)
		}
	}
}

// byLabel returns the counts by the customer that is their label. The busiest customers
// get labels as long as there are some left.
func (m *limitMetrics) byLabel() map[string]limitCounts {
	m.lock.Lock()
	defer m.lock.Unlock()
	total := func(name string) uint64 { return m.counts[name].admitted + m.counts[name].refused }
	busiest := slices.SortedFunc(maps.Keys(m.counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(total(b), total(a)), cmp.Compare(a, b))
	})
	list := map[string]limitCounts{}
	other := limitCounts{}
	for _, name := range busiest {
		before, ok := m.labelled[name]
		if !ok && len(m.labelled) < maxCustomerLabels {
			if len(m.counts) > maxCustomerLabels {
				before = *m.counts[name]
			}
			m.labelled[name] = before
			ok = true
		}
		if !ok {
			other = other.plus(*m.counts[name])
			continue
		}
		list[name] = m.counts[name].minus(before)
		other = other.plus(before)
	}
	if other != (limitCounts{}) {
		list[otherCustomers] = other
	}
	return list
}
