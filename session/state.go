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
	mark   uint64
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
		s.mark ^= hashOf(name, old)
	}
	s.values[name] = value
	s.mark ^= hashOf(name, value)
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

// Mark returns a hash of the session's variables: equal for states with equal
// variables, and zero if there are none. It is valid within this process
// only.
func (s *State) Mark() uint64 { return s.mark }

func hashOf(name, value string) uint64 {
	return maphash.String(hashSeed, name+"\x00"+value)
}

// Mirror is the session state that is set on one connection to a target.
// Prepared statements on a connection are shared between sessions, under
// names that the proxy chooses.
type Mirror struct {
	values map[string]string
	plans  map[query.Plan]bool
	mark   uint64
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

// Mark returns a hash of the variables that are set on the connection. It
// equals the hash of a State with the same variables.
func (m *Mirror) Mark() uint64 { return m.mark }

// Align returns the steps after which the connection has exactly the
// session's variables and at least the given prepared statement; plan may be
// nil. It records the steps as done, so a connection on which a step fails
// must be closed.
func (m *Mirror) Align(s *State, plan *query.Plan) []Step {
	steps := []Step{}
	if m.hasExtraValues(s) {
		steps = append(steps, Reset{})
		*m = Mirror{}
	}
	for name, value := range s.values {
		if current, ok := m.values[name]; ok && current == value {
			continue
		}
		steps = append(steps, Assign{Name: name, Value: value})
	}
	if len(s.values) > 0 {
		m.values = maps.Clone(s.values)
	}
	m.mark = s.mark
	if plan != nil && !m.plans[*plan] {
		steps = append(steps, Define{Plan: *plan})
		if m.plans == nil {
			m.plans = map[query.Plan]bool{}
		}
		m.plans[*plan] = true
	}
	return steps
}

// hasExtraValues reports whether a variable is set on the connection that the
// session has not set. Only a reset removes it.
func (m *Mirror) hasExtraValues(s *State) bool {
	for name := range m.values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}
