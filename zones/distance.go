package zones

import "time"

// minimumWindow is half of the time for which a sample counts in a Minimum: one
// counts for 5 to 10 s.
const minimumWindow = 5 * time.Second

// Minimum is the least of recent samples. Without recent samples it is the last one
// known. The zero Minimum has none.
type Minimum struct {
	windowStart       time.Duration
	current, previous time.Duration
	last              time.Duration
	known             bool
}

// unset is the minimum of a window without samples.
const unset = time.Duration(1<<63 - 1)

// Add adds a sample. Negative samples count as zero.
func (m *Minimum) Add(now, sample time.Duration) {
	if !m.known {
		m.known, m.windowStart, m.current, m.previous = true, now, unset, unset
	}
	m.rotate(now)
	m.current = min(m.current, max(sample, 0))
	m.last = min(m.current, m.previous)
}

// Value returns the minimum, and whether there has been a sample.
func (m *Minimum) Value(now time.Duration) (time.Duration, bool) {
	if !m.known {
		return 0, false
	}
	m.rotate(now)
	if least := min(m.current, m.previous); least != unset {
		m.last = least
	}
	return m.last, true
}

func (m *Minimum) rotate(now time.Duration) {
	switch age := now - m.windowStart; {
	case age < minimumWindow:
		return
	case age < 2*minimumWindow:
		m.previous = m.current
	default:
		m.previous = unset
	}
	m.windowStart = now
	m.current = unset
}

// Executions holds the shortest execution time of statements that is known in a
// group, for statements whose target's distance has to be inferred.
type Executions struct{ shortest Minimum }

// probeInterval is the time between two measurements of a distance. Several fall
// into each window of a Minimum, so that one slow answer does not decide.
const probeInterval = 2 * time.Second

// Distance estimates the round trip to a target, kept apart from the time for which
// the target executes a statement.
type Distance struct {
	located, inferred Minimum
	probedAt          time.Duration
	probed            bool
}

// AddLocate adds the round trip of an order that the target does not execute.
func (d *Distance) AddLocate(now, trip time.Duration) {
	d.located.Add(now, trip)
	d.probedAt, d.probed = now, true
}

// AddStatement adds the time from a statement's sending to its answer. If the
// distance is known by locate orders or because the target is in the VM's zone, the
// rest is an execution time; otherwise the distance is inferred from the shortest
// execution time of the group.
func (d *Distance) AddStatement(now, took time.Duration, inZone bool, e *Executions) {
	if trip, known := d.located.Value(now); known || inZone {
		e.shortest.Add(now, took-trip)
		return
	}
	if shortest, known := e.shortest.Value(now); known {
		d.inferred.Add(now, took-shortest)
	}
}

// Estimate returns the round trip; assumed if none has been measured.
func (d *Distance) Estimate(now, assumed time.Duration) time.Duration {
	if trip, known := d.located.Value(now); known {
		return trip
	}
	if trip, known := d.inferred.Value(now); known {
		return trip
	}
	return assumed
}

// ProbeDue reports whether the distance is to be measured by a locate order, and
// counts it as being measured.
func (d *Distance) ProbeDue(now time.Duration) bool {
	if d.probed && now-d.probedAt < probeInterval {
		return false
	}
	d.probedAt, d.probed = now, true
	return true
}
