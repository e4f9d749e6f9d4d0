package edge

import (
	"time"

	"amaranthsill/store"
)

// Limits on the age of the last confirmation that the configuration in force is the
// newest.
const (
	// configurationMaxAge is the limit for a VM that nothing confirms.
	configurationMaxAge = 3 * time.Second
	// configurationMaxOutage is the limit while most VMs confirm one another that the
	// store tells them nothing. No request may be served under a revoked key later than
	// 6 s after the version was acknowledged, which a store may do that a part of the VMs
	// does not reach. The rest is for a request on its way.
	configurationMaxOutage = 5500 * time.Millisecond
)

// confirmConfiguration records that this VM knew at a time every configuration that the
// store, or a VM that had heard from it, knew then.
func (v *VM) confirmConfiguration(at time.Duration) {
	for {
		old := v.configurationConfirmedAt.Load()
		if int64(at) <= old || v.configurationConfirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// configurationAge returns the time since the configuration in force was last known to
// be the newest; false if it never was.
func (v *VM) configurationAge() (time.Duration, bool) {
	at := v.configurationConfirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return v.Now() - time.Duration(at), true
}

// hasNewestConfiguration reports whether the configuration in force is known to be the
// newest.
func (v *VM) hasNewestConfiguration() bool {
	age, known := v.configurationAge()
	if !known || age > configurationMaxOutage {
		return false
	}
	if age <= configurationMaxAge {
		return true
	}
	_, _, confirmed := v.grants.StoreConfirmation()
	return confirmed && v.grants.ExpiredFor() == 0
}

// applyConfiguration puts a configuration in force if it is newer.
func (d *Directory) applyConfiguration(i store.Item) {
	c, err := d.Adapter.DecodeConfiguration(i.Value)
	if err != nil {
		d.Log.Error(err, "configuration cannot be decoded; the one in force stays", "revision", i.Revision.String())
		return
	}
	if !d.Catalog.Update(c) {
		return
	}
	customers := 0
	if c.Customers != nil {
		customers = c.Customers.Len()
	}
	d.Log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "customers", customers, "revision", i.Revision.String())
	if d.Changed != nil {
		// It takes time in proportion to the sessions, and the lock is held here.
		go d.Changed()
	}
}

// withoutKeys returns an item as it may be passed to other VMs.
func (d *Directory) withoutKeys(i store.Item) store.Item {
	if i.Key == d.Adapter.ConfigurationKey && !i.Deleted && d.Adapter.WithoutKeys != nil {
		i.Value = d.Adapter.WithoutKeys(i.Value)
	}
	return i
}
