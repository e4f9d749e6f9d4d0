package edge

import (
	"maps"
	"time"

	"amaranthsill/internal/strict"
	"amaranthsill/zones"
)

// Bounds of the settings on traffic between zones.
const (
	// maxTrafficPrice is the highest price of a kB, in ms. At a minute, no statement
	// leaves its zone to be faster.
	maxTrafficPrice = 60_000
)

// trafficSettings are the settings on traffic between zones.
type trafficSettings struct {
	// enabled reports that the settings have prices.
	enabled bool
	// zones and regions are the prices of a kB in ms.
	zones, regions float64
}

// read reads the setting traffic.
func (t *trafficSettings) read(f strict.Field) error {
	t.enabled = true
	return f.Object(strict.Fields{
		"zones":   func(f strict.Field) error { return f.Number(&t.zones, 0, maxTrafficPrice) },
		"regions": func(f strict.Field) error { return f.Number(&t.regions, 0, maxTrafficPrice) },
	})
}

// readRegions reads the setting regions, which maps zones to regions.
func (s *Settings) readRegions(f strict.Field) error {
	s.regions = map[string]string{}
	return f.Names(s.regions)
}

// Traffic returns the prices of traffic between zones, and which zones form a
// region; nil if the settings have no prices, so that statements are routed by latency
// alone.
func (s Settings) Traffic() *zones.Traffic {
	if !s.traffic.enabled {
		return nil
	}
	price := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	return &zones.Traffic{Zones: price(s.traffic.zones), Regions: price(s.traffic.regions), RegionOf: maps.Clone(s.regions)}
}
