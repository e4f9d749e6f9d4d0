package session

import (
	"hash/maphash"
	"maps"

	"amaranthsill/query"
)

// State is what a caller has set on its session: values, and prepared
// statements by the caller's own names. The zero State is empty.
type State struct {
	values map[string]string
	plans  map[string]query.Plan
	mark   uint64
}

// markSeed makes marks of different processes differ; they are never sent.
var markSeed = maphash.MakeSeed()

// Set gives a value.
func (s *State) Set(name, value string) {
	if s.values == nil {
		s.values = map[string]string{}
	}
	if old, ok := s.values[name]; ok {
		s.mark ^= markOf(name, old)
	}
	s.values[name] = value
	s.mark ^= markOf(name, value)
}

// Prepare names a statement; a name that was taken is replaced.
func (s *State) Prepare(name string, p query.Plan) {
	if s.plans == nil {
		s.plans = map[string]query.Plan{}
	}
	s.plans[name] = p
}

// Deallocate forgets a name and reports whether it was known.
func (s *State) Deallocate(name string) bool {
	_, ok := s.plans[name]
	delete(s.plans, name)
	return ok
}

// Plan returns the statement of that name.
func (s *State) Plan(name string) (query.Plan, bool) {
	p, ok := s.plans[name]
	return p, ok
}

// Mark is equal for states with equal values; zero if there are none.
func (s *State) Mark() uint64 { return s.mark }

func markOf(name, value string) uint64 {
	return maphash.String(markSeed, name+"\x00"+value)
}

// Mirror is what a connection to a target holds of session state. Prepared
// statements are shared between sessions under names of the proxy's own.
type Mirror struct {
	values map[string]string
	plans  map[query.Plan]bool
	mark   uint64
}

// Step brings a connection closer to a session's state.
type Step interface{ step() }

// Reset clears the connection's values and prepared statements.
type Reset struct{}

// Assign gives the connection a value.
type Assign struct{ Name, Value string }

// Define prepares a statement on the connection.
type Define struct{ Plan query.Plan }

func (Reset) step()  {}
func (Assign) step() {}
func (Define) step() {}

// Mark is equal to the mark of a state whose values the connection holds.
func (m *Mirror) Mark() uint64 { return m.mark }

// Align returns the steps after which the connection holds exactly the
// session's values and at least the given plan, and records them as done. A
// connection on which a step fails must be closed.
func (m *Mirror) Align(s *State, plan *query.Plan) []Step {
	steps := []Step{}
	if m.hasOthers(s) {
		steps = append(steps, Reset{})
		*m = Mirror{}
	}
	for name, value := range s.values {
		if held, ok := m.values[name]; ok && held == value {
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

// hasOthers reports whether the connection holds a value that the session
// never gave.
func (m *Mirror) hasOthers(s *State) bool {
	for name := range m.values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}
