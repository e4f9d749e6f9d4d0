// Package zones decides which of a VM's statements leave its availability zone, by
// expected completion time, the price of traffic, and a bounded cross-zone share. It
// has no I/O and no clock of its own; docs/design/zones.md describes the rules.
//
// # Usage
//
//	t := &zones.Traffic{Zones: time.Millisecond, RegionOf: map[string]string{"xela-a": "xela"}}
//	r := &zones.Router{}
//	r.Advance(now, load)
//	d := r.Decide(zones.Choice{InZone: &best, Outside: &other, Left: left})
//	r.Count(d)
package zones

import "time"

// kB is the unit of traffic prices, in bytes.
const kB = 1000

// Traffic states what traffic between zones costs, and which zones form a region.
type Traffic struct {
	// Zones and Regions are the latency that one kB is worth between two zones of a
	// region, and between two regions.
	Zones, Regions time.Duration
	// RegionOf maps zones to regions. A zone that is missing is in an unknown
	// region.
	RegionOf map[string]string
}

// Price returns the latency that a number of bytes between two zones is worth. If
// the region of one is unknown, it is the higher price.
func (t *Traffic) Price(from, to string, bytes float64) time.Duration {
	price := t.Regions
	switch same, known := t.sameRegion(from, to); {
	case from == to:
		return 0
	case !known:
		price = max(t.Zones, t.Regions)
	case same:
		price = t.Zones
	}
	return time.Duration(float64(price) * bytes / kB)
}

// Distances that are assumed until one has been measured. They exceed the usual
// round trips, so that an unknown target is not preferred to a known one.
const (
	regionDistance = 10 * time.Millisecond
	farDistance    = 40 * time.Millisecond
)

// AssumedDistance returns the round trip between two zones that is assumed before
// the first measurement.
func (t *Traffic) AssumedDistance(from, to string) time.Duration {
	same, known := t.sameRegion(from, to)
	switch {
	case from == to:
		return 0
	case known && same:
		return regionDistance
	default:
		return farDistance
	}
}

// sameRegion reports whether two zones are in one region, and whether the regions of
// both are known.
func (t *Traffic) sameRegion(a, b string) (same, known bool) {
	x, y := t.RegionOf[a], t.RegionOf[b]
	return x == y, x != "" && y != ""
}
