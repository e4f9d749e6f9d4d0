package pool

import (
	"cmp"
	"slices"
	"time"

	"amaranthsill/customer"
)

// fairQueue assigns start tags by start-time fair queueing (Goyal, Vin and Cheng,
// 1996), with statements of equal length. Customers of one class are served in the
// order of the tags, each in proportion to its weight. The zero fairQueue is empty.
type fairQueue struct {
	classes map[class]*virtualTime
}

// class is the set of statements that compete by their tags: those of equal route
// priority, origin and customer priority.
type class struct {
	route    int
	remote   bool
	customer int
}

// virtualTime is the state of one class.
type virtualTime struct {
	// now is the start tag of the statement that was served last.
	now     float64
	waiting int
	flows   map[string]*flow
}

// flow holds the statements of one customer.
type flow struct {
	// finish is the finish tag of the last statement, and served that of the last one
	// that was served.
	finish, served float64
	waiting        []*ticket
}

// ticket is a statement's place in the queue.
type ticket struct {
	class
	name  string
	start float64
	// floor is the virtual time on arrival, below which the start tag cannot be.
	floor float64
	// length is the statement's length in virtual time: the inverse of the weight.
	length float64
}

// newTicket returns a place for a statement of a customer, nil if it has none, whose
// weight is then 1. A position question takes none of a target's time: its length is
// zero, and it waits for no customer's statement of its class.
func newTicket(n *Need) *ticket {
	t := &ticket{class: class{route: n.Priority}, length: 1}
	if n.Customer != nil {
		t.name, t.class.customer = n.Customer.Name, n.Customer.Priority
		t.length = 1 / weight(n.Customer)
	}
	if n.Locate {
		t.name, t.length = "", 0
	}
	return t
}

// weight returns a customer's share in relation to that of others.
func weight(c *customer.Customer) float64 { return cmp.Or(c.Rate, 1) }

// compare orders tickets; those that are equal are served in the order of arrival.
func (t *ticket) compare(o *ticket) int {
	return cmp.Or(cmp.Compare(t.route, o.route), compareOrigin(t.remote, o.remote), cmp.Compare(t.class.customer, o.class.customer), cmp.Compare(t.start, o.start))
}

// compareOrigin orders statements of the zone before those of other zones.
func compareOrigin(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// enter sets the tags of a statement that begins to wait.
func (q *fairQueue) enter(t *ticket) {
	if q.classes == nil {
		q.classes = map[class]*virtualTime{}
	}
	v := q.classes[t.class]
	if v == nil {
		v = &virtualTime{flows: map[string]*flow{}}
		q.classes[t.class] = v
	}
	v.waiting++
	t.start, t.floor = v.now, v.now
	f := v.flows[t.name]
	if t.length == 0 {
		// Among statements without customers alone, the order is that of arrival.
		if f != nil && len(v.flows) == 1 {
			t.start = max(v.now, f.finish)
		}
		return
	}
	if f == nil {
		f = &flow{}
		v.flows[t.name] = f
	}
	t.start = max(v.now, f.finish)
	f.finish = t.start + t.length
	f.waiting = append(f.waiting, t)
}

// serve takes a statement that is served out of the queue.
func (q *fairQueue) serve(t *ticket) {
	v := q.classes[t.class]
	v.now = max(v.now, t.start)
	if f := v.flows[t.name]; f != nil && t.length > 0 {
		f.served = max(f.served, t.start+t.length)
	}
	q.leave(v, t)
}

// withdraw takes a statement that will not be served out of the queue. Those of its
// customer that come later move up; it reports whether there are any.
func (q *fairQueue) withdraw(t *ticket) bool {
	v := q.classes[t.class]
	f := v.flows[t.name]
	q.leave(v, t)
	if f == nil || t.length == 0 || t.name == "" && len(v.flows) <= 1 {
		return false
	}
	f.finish = f.served
	for _, o := range f.waiting {
		o.start = min(o.start, max(o.floor, f.finish))
		f.finish = max(f.finish, o.start+o.length)
	}
	return len(f.waiting) > 0
}

// leave removes a ticket. A class without waiting statements, and a customer whose
// share is used up by nothing, leave no trace.
func (q *fairQueue) leave(v *virtualTime, t *ticket) {
	v.waiting--
	if v.waiting == 0 {
		delete(q.classes, t.class)
		return
	}
	f := v.flows[t.name]
	if f == nil || t.length == 0 {
		return
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(o *ticket) bool { return o == t })
	if len(f.waiting) == 0 && f.served <= v.now {
		delete(v.flows, t.name)
	}
}

// queued is what the choice of statements that are displaced depends on.
type queued struct {
	// left is the time until the statement's deadline.
	left time.Duration
	// kept reports that the statement is not displaced.
	kept bool
}

// displaced returns the indexes of the statements in a queue that cannot be served
// before their deadlines. A function estimates how long a number of statements takes
// to be served. Statements behind a displaced one move up.
func displaced(queue []queued, estimate func(ahead int) time.Duration) []int {
	list := []int{}
	for i, s := range queue {
		ahead := i - len(list)
		if !s.kept && ahead >= minEstimateQueue && estimate(ahead) > max(s.left, 0) {
			list = append(list, i)
		}
	}
	return list
}

// minQueueShare is the number of statements that each customer may have in the queue,
// however small its share.
const minQueueShare = 4

// queueShare returns how many statements a customer may have in a queue in which a
// number of statements can be served in time, and in which customers of a total
// weight, with its own, have statements.
func queueShare(servable int, own, total float64) int {
	return max(int(float64(servable)*own/total), minQueueShare)
}
