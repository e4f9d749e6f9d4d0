package site

import "slices"

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
