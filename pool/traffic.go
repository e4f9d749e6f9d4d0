package pool

import (
	"cmp"
	"slices"

	"amaranthsill/query"
	"amaranthsill/zones"
)

// The parameters of the average size of statements.
const (
	// orderOverhead is about the number of bytes of an order and its answer besides
	// the texts that they carry: keywords, IDs and positions.
	orderOverhead = 64
	// initialSize is assumed for a route without statements, in bytes.
	initialSize = 300
	// sizeWeight is the weight of a new sample in the moving average.
	sizeWeight = 0.1
)

// trafficKey identifies a TrafficTotal.
type trafficKey struct {
	zone   string
	reason zones.Reason
}

// TrafficTotal counts the traffic of a group between this VM and the targets of one
// zone.
type TrafficTotal struct {
	// Zone is the targets' zone, and Reason why their statements ran there.
	Zone   string
	Reason zones.Reason
	// Statements is the number of answered statements, and Bytes of the bytes of
	// all orders with their answers.
	Statements, Bytes uint64
}

// TrafficTotals returns the traffic since the start, sorted by zone and reason. It is
// empty if Traffic is not set.
func (g *Group) TrafficTotals() []TrafficTotal {
	g.lock.Lock()
	defer g.lock.Unlock()
	list := []TrafficTotal{}
	for _, t := range g.crossing.totals {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b TrafficTotal) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// CrossZoneShare returns the share of statements that may leave the zone, from 0 to 1.
func (g *Group) CrossZoneShare() float64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.crossing.router.Value()
}

// size returns the average bytes of a route's statements with their answers.
func (c *crossing) size(route string) float64 {
	if size, known := c.sizes[route]; known {
		return size
	}
	return initialSize
}

// recordBytes counts an order and its answer.
func (g *Group) recordBytes(s *Slot, o Order, r query.Reply) {
	c := &g.crossing
	if c.totals == nil {
		c.totals = map[trafficKey]*TrafficTotal{}
		c.sizes = map[string]float64{}
	}
	key := trafficKey{zone: s.server.Zone, reason: s.reason}
	t := c.totals[key]
	if t == nil {
		t = &TrafficTotal{Zone: key.zone, Reason: key.reason}
		c.totals[key] = t
	}
	bytes := orderBytes(o) + replyBytes(r)
	t.Bytes += uint64(bytes)
	if !isStatement(o) {
		return
	}
	t.Statements++
	old, known := c.sizes[s.route]
	if !known {
		old = float64(bytes)
	}
	c.sizes[s.route] = old + sizeWeight*(float64(bytes)-old)
}

func orderBytes(o Order) int {
	switch o := o.(type) {
	case Forward:
		return orderOverhead + len(o.Query.Text)
	case ForwardPlan:
		return orderOverhead + len(o.Arguments)
	default:
		return orderOverhead
	}
}

func replyBytes(r query.Reply) int {
	bytes := len(r.Receipt)
	for _, row := range r.Rows {
		bytes += len(row)
	}
	return bytes
}
