package front

import (
	"cmp"
	"slices"
)

// maxCustomerLabels is how many customers a metric names at most. With the 10,000
// customers that the system is designed for, one series for each on every VM would cost
// more memory than the sessions.
const maxCustomerLabels = 20

// OtherCustomers is the label of the customers that a metric does not name.
const OtherCustomers = "other"

// CustomerSessions returns the number of open sessions by customer, for the customers
// with the most; those of the others are summed under OtherCustomers. Sessions without a
// customer are left out.
func (srv *Server) CustomerSessions() map[string]int {
	counts := map[string]int{}
	srv.lock.Lock()
	for s := range srv.sessions {
		if name := s.customerName(); name != "" {
			counts[name]++
		}
	}
	srv.lock.Unlock()
	return busiest(counts)
}

// customerName returns the name of the session's customer; empty if it has none.
func (s *session) customerName() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.customer == nil {
		return ""
	}
	return s.customer.Name
}

// busiest returns the maxCustomerLabels highest counts by customer, and the sum of the
// rest under OtherCustomers.
func busiest(counts map[string]int) map[string]int {
	names := []string{}
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	list := map[string]int{}
	for i, name := range names {
		if i >= maxCustomerLabels {
			name = OtherCustomers
		}
		list[name] += counts[names[i]]
	}
	return list
}
