package world

import "time"

// node is a simulated machine: a VM or a target.
type node struct {
	name string
	zone int
	// frozenUntil is the virtual time until which the node runs nothing; in
	// the past if it is not frozen.
	frozenUntil time.Duration
	// generation counts the node's starts. It tells callbacks and connections
	// from before a restart from those after it.
	generation int
	down       bool
}

// link is one direction between two nodes, by their names.
type link struct{ from, to string }

// conn is a connection that node a opened to node b. Messages arrive in the
// order in which they were sent in each direction.
type conn struct {
	world *World
	a, b  *node
	// silent reports that messages are dropped and neither end notices.
	silent bool
	// closed reports that node a has closed the connection.
	closed bool
	// lastArrival is when the latest message arrives, from a to b and from b
	// to a.
	lastArrival [2]time.Duration
	// resumeDelay is how long after the end of a freeze a node reads this
	// connection. It differs between connections, so that messages of several
	// connections are read in any order.
	resumeDelay time.Duration
	generationA int
	generationB int
}

func (w *World) connect(a, b *node) *conn {
	const maxResumeDelay = 100 * time.Millisecond
	resumeDelay := time.Duration(w.random.Int64N(int64(maxResumeDelay)))
	return &conn{world: w, a: a, b: b, generationA: a.generation, generationB: b.generation, resumeDelay: resumeDelay}
}

// send runs do at the other end after the network delay, unless the connection
// is silent, closed or stale by then. On a cut link the connection becomes
// silent for good.
func (c *conn) send(from *node, do func()) {
	to, direction := c.b, 0
	if from == c.b {
		to, direction = c.a, 1
	}
	if c.silent || c.closed || c.stale() {
		return
	}
	if c.world.cuts[link{from.name, to.name}] {
		// Stateful network equipment forgets a connection that it blocked, so
		// it stays silent after the cut has ended.
		c.silent = true
		return
	}
	at := max(c.lastArrival[direction], c.world.now+c.world.delay(from, to))
	c.lastArrival[direction] = at
	c.world.schedule(at-c.world.now, func() { c.deliver(to, do) })
}

// deliver runs a message's callback at node to, once that node is not frozen.
// Messages that node a sent before it closed the connection still arrive at b;
// those on their way to a are dropped.
func (c *conn) deliver(to *node, do func()) {
	if c.silent || c.closed && to == c.a || c.stale() {
		return
	}
	if to.frozenUntil > c.world.now {
		c.world.schedule(to.frozenUntil-c.world.now+c.resumeDelay, func() { c.deliver(to, do) })
		return
	}
	do()
}

// stale reports whether one end is down or has been restarted since the
// connection was opened.
func (c *conn) stale() bool {
	return c.a.down || c.b.down || c.a.generation != c.generationA || c.b.generation != c.generationB
}

// delay draws the time that one message takes between two nodes, including
// retransmissions with a doubling timeout.
func (w *World) delay(from, to *node) time.Duration {
	const retransmitTimeout = 200 * time.Millisecond
	base := w.Scenario.InterZoneDelay
	if from.zone == to.zone {
		base = w.Scenario.IntraZoneDelay
	}
	d := base + time.Duration(w.random.Float64()*w.Scenario.Jitter*float64(base))
	for wait := retransmitTimeout; w.random.Float64() < w.Scenario.Loss; wait *= 2 {
		d += wait
	}
	return d
}

// scheduleOn runs do on a node after d, or once the node is no longer frozen. A
// node that is down or was restarted meanwhile does not run it.
func (w *World) scheduleOn(n *node, d time.Duration, do func()) {
	generation := n.generation
	w.schedule(d, func() { w.runOn(n, generation, do) })
}

func (w *World) runOn(n *node, generation int, do func()) {
	if n.down || n.generation != generation {
		return
	}
	if n.frozenUntil > w.now {
		w.schedule(n.frozenUntil-w.now, func() { w.runOn(n, generation, do) })
		return
	}
	do()
}

// reachable reports whether neither direction between two nodes is cut.
func (w *World) reachable(a, b *node) bool {
	return !w.cuts[link{a.name, b.name}] && !w.cuts[link{b.name, a.name}]
}
