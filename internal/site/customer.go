package site

import "slices"

// Customer is one customer of the operators' configuration.
type Customer struct {
	Name string
	// Keys are the keys that are valid; callers give one when they connect.
	Keys []string
	// Rate and Burst limit the customer's operations a second; zero means no limit.
	Rate, Burst float64
}

// SetCustomers sets the customers of all configurations that Configure writes later.
func (s *Site) SetCustomers(list []Customer) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.customers = slices.Clone(list)
}

// customerBodies returns the customers in the encoding of the configuration. The
// caller holds the lock.
func (s *Site) customerBodies() []map[string]any {
	bodies := []map[string]any{}
	for _, c := range s.customers {
		body := map[string]any{"name": c.Name, "api_keys": c.Keys, "priority": 1}
		if c.Rate > 0 {
			body["rate_per_s"], body["burst"] = c.Rate, c.Burst
		}
		bodies = append(bodies, body)
	}
	return bodies
}

// StartedBy returns the names that were given when connections to the server were
// opened, each once.
func (s *Server) StartedBy() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	list := []string{}
	for name := range s.startedBy {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// RanFor returns the customer on whose connection the request with this ID last ran. It
// reports false if the request never ran on the server.
func (s *Server) RanFor(id string) (customer string, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	customer, ok = s.ranFor[id]
	return customer, ok
}
