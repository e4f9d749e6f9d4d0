package session

import (
	"hash/maphash"
	"maps"

	"amaranthsill/query"
)

// State is what a caller has defined on its session: variables, and prepared
// statements by the names that the caller gave them. The zero State is empty.
type State struct {
	values map[string]string
	plans  map[string]query.Plan
	hash   uint64
}

// hashSeed is random for each process. Hashes are compared within one process
// only and never sent.
var hashSeed = maphash.MakeSeed()

// Set assigns a value to a session variable.
func (s *State) Set(name, value string) {
	if s.values == nil {
		s.values = map[string]string{}
	}
	if old, ok := s.values[name]; ok {
		s.hash ^= hashOf(name, old)
	}
	s.values[name] = value
	s.hash ^= hashOf(name, value)
}

// Prepare defines a prepared statement. It replaces an earlier statement of
// the same name.
func (s *State) Prepare(name string, p query.Plan) {
	if s.plans == nil {
		s.plans = map[string]query.Plan{}
	}
	s.plans[name] = p
}

// Deallocate removes a prepared statement and reports whether it existed.
func (s *State) Deallocate(name string) bool {
	_, ok := s.plans[name]
	delete(s.plans, name)
	return ok
}

// Plan returns the prepared statement of that name.
func (s *State) Plan(name string) (query.Plan, bool) {
	p, ok := s.plans[name]
	return p, ok
}

// Hash returns a hash of the session's variables: equal for states with equal
// variables, and zero if there are none. It is valid within this process
// only.
func (s *State) Hash() uint64 { return s.hash }

func hashOf(name, value string) uint64 {
	return maphash.Comparable(hashSeed, [2]string{name, value})
}

// ConnectionState is the session state that is set on one connection to a target.
// Prepared statements on a connection are shared between sessions, under
// names that the proxy chooses.
type ConnectionState struct {
	values map[string]string
	plans  map[query.Plan]bool
	hash   uint64
}

// Step is an order to a target that brings a connection's state closer to
// that of a session.
type Step interface{ step() }

// Reset clears the connection's variables and prepared statements.
type Reset struct{}

// Assign sets a variable on the connection.
type Assign struct{ Name, Value string }

// Define prepares a statement on the connection.
type Define struct{ Plan query.Plan }

func (Reset) step()  {}
func (Assign) step() {}
func (Define) step() {}

// Hash returns a hash of the variables that are set on the connection. It
// equals the hash of a State with the same variables.
func (c *ConnectionState) Hash() uint64 { return c.hash }

// Align returns the steps after which the connection has exactly the
// session's variables and at least the given prepared statement; plan may be
// nil. It records the steps as done, so a connection on which a step fails
// must be closed.
func (c *ConnectionState) Align(s *State, plan *query.Plan) []Step {
	steps := []Step{}
	if c.hasExtraValues(s) {
		steps = append(steps, Reset{})
		*c = ConnectionState{}
	}
	for name, value := range s.values {
		if current, ok := c.values[name]; ok && current == value {
			continue
		}
		steps = append(steps, Assign{Name: name, Value: value})
	}
	if len(s.values) > 0 {
		c.values = maps.Clone(s.values)
	}
	c.hash = s.hash
	if plan != nil && !c.plans[*plan] {
		steps = append(steps, Define{Plan: *plan})
		if c.plans == nil {
			c.plans = map[query.Plan]bool{}
		}
		c.plans[*plan] = true
	}
	return steps
}

// hasExtraValues reports whether a variable is set on the connection that the
// session has not set. Only a reset removes it.
func (c *ConnectionState) hasExtraValues(s *State) bool {
	for name := range c.values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}
