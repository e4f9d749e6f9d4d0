package world

import "time"

// place is a machine on the network.
type place struct {
	name string
	zone int
	// until is when a frozen machine wakes up.
	until time.Duration
	// life counts the machine's starts; zero while it is down.
	life int
	down bool
}

// link is one direction between two machines.
type link struct{ from, to string }

// conn is a connection. Messages on it arrive in order, or, once it is
// silent, not at all.
type conn struct {
	world  *World
	a, b   *place
	silent bool
	closed bool
	// arrives is when the last message in each direction arrives.
	arrives [2]time.Duration
	// slack is how much later than others the connection is read after a
	// freeze.
	slack time.Duration
	lifeA int
	lifeB int
}

func (w *World) connect(a, b *place) *conn {
	const most = 100 * time.Millisecond
	slack := time.Duration(w.random.Int64N(int64(most)))
	return &conn{world: w, a: a, b: b, lifeA: a.life, lifeB: b.life, slack: slack}
}

// send delivers a message from one end to the other, unless the connection
// or the far end is gone by then.
func (c *conn) send(from *place, do func()) {
	to, way := c.b, 0
	if from == c.b {
		to, way = c.a, 1
	}
	if c.silent || c.closed || c.stale() {
		return
	}
	if c.world.cuts[link{from.name, to.name}] {
		// What holds the link back loses track of the connection.
		c.silent = true
		return
	}
	at := max(c.arrives[way], c.world.now+c.world.delay(from, to))
	c.arrives[way] = at
	c.world.after(at-c.world.now, func() { c.deliver(to, do) })
}

// deliver hands a message over. What the VM sent before it closed the
// connection still arrives.
func (c *conn) deliver(to *place, do func()) {
	if c.silent || c.closed && to == c.a || c.stale() {
		return
	}
	if to.until > c.world.now {
		c.world.after(to.until-c.world.now+c.slack, func() { c.deliver(to, do) })
		return
	}
	do()
}

// stale reports that one end has been restarted since.
func (c *conn) stale() bool {
	return c.a.down || c.b.down || c.a.life != c.lifeA || c.b.life != c.lifeB
}

// delay is the time that one message takes, with retransmissions.
func (w *World) delay(from, to *place) time.Duration {
	const retransmit = 200 * time.Millisecond
	base := w.Shape.Between
	if from.zone == to.zone {
		base = w.Shape.Within
	}
	d := base + time.Duration(w.random.Float64()*w.Shape.Jitter*float64(base))
	for wait := retransmit; w.random.Float64() < w.Shape.Loss; wait *= 2 {
		d += wait
	}
	return d
}

// wake runs something on a machine, once it is not frozen, if it has not
// been restarted by then.
func (w *World) wake(p *place, d time.Duration, do func()) {
	life := p.life
	w.after(d, func() { w.awake(p, life, do) })
}

func (w *World) awake(p *place, life int, do func()) {
	if p.down || p.life != life {
		return
	}
	if p.until > w.now {
		w.after(p.until-w.now, func() { w.awake(p, life, do) })
		return
	}
	do()
}

// reaches reports whether a packet gets through in both directions.
func (w *World) reaches(a, b *place) bool {
	return !w.cuts[link{a.name, b.name}] && !w.cuts[link{b.name, a.name}]
}
