package soak

// stutterShare is the share of answers that all targets send twice with Stutter, and
// burstShare that of one target during a fault.
const (
	stutterShare = 1.0 / 25
	burstShare   = 1.0 / 4
)

// varied reports whether callers use prepared statements and pause in transactions.
func (r *Run) varied() bool { return r.Stutter || r.Hostile }

// setStutter makes all targets send a share of their answers twice.
func (r *Run) setStutter(share float64) {
	if !r.Stutter {
		return
	}
	for _, g := range r.groups {
		for _, s := range r.site.Servers(g) {
			s.SetRepeats(share)
		}
	}
}

// repeats returns how many answers were sent twice.
func (r *Run) repeats() int {
	n := 0
	for _, g := range r.groups {
		for _, s := range r.site.Servers(g) {
			n += s.Repeats()
		}
	}
	return n
}

// stutterFaults are the kinds of faults that Stutter adds.
var stutterFaults = []faultKind{
	{"a server sends many answers twice", func(r *Run) func() {
		s := r.randomServer()
		s.SetRepeats(burstShare)
		return func() { s.SetRepeats(stutterShare) }
	}},
	{"no server sends answers twice", func(r *Run) func() {
		r.setStutter(0)
		return func() { r.setStutter(stutterShare) }
	}},
}
