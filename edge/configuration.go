package edge

import (
	"time"

	"amaranthsill/catalog"
	"amaranthsill/peer/peerpb"
	"amaranthsill/store"
)

// Times within which a configuration, and the keys that it revokes, must be in force.
const (
	// configurationMaxAge is how old the last confirmation that the configuration in
	// force is the newest may be. No request may be served under a revoked key later than
	// 6 s after the version was acknowledged, which a store may do that this VM, or most
	// VMs, do not reach. The rest is for a request on its way.
	configurationMaxAge = 5500 * time.Millisecond
	// maxRevocationTime and revocationMargin: the first is the time after a version was
	// acknowledged in which requests under a key that it revokes may be served; the
	// second of it is kept for a statement on its way.
	maxRevocationTime = 6 * time.Second
	revocationMargin  = 250 * time.Millisecond
	// revokedTransactionTime is how long an open transaction may go on at most after its
	// key was revoked.
	revokedTransactionTime = 2 * time.Second
)

// configurationChanged ends the sessions whose key the configuration that has just come
// into force revokes. The former one was the newest at its last confirmation, so the new
// one was not acknowledged before. The time for open transactions counts from there
// where this VM learns of the version late.
func (v *VM) configurationChanged() {
	age, _ := v.configurationAge()
	// It takes time in proportion to the sessions, and the directory is locked here.
	go v.front.ConfigurationChanged(revocationTimeLeft(age))
}

// revocationTimeLeft returns how long an open transaction may go on under a key that a
// new configuration revokes, given the age of the former one's last confirmation.
func revocationTimeLeft(age time.Duration) time.Duration {
	return max(min(revokedTransactionTime, maxRevocationTime-revocationMargin-age), 0)
}

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

// configurationAgeMessage returns RecallResponse.ConfigurationAge. It is not that of the
// leader record: a VM whose lease is renewed while its watch hangs has the record
// confirmed, but may lack a newer configuration.
func (v *VM) configurationAgeMessage() int64 {
	age, known := v.configurationAge()
	if !known {
		return -1
	}
	return age.Milliseconds() + 2
}

// configurationAgeOf returns the age of the configuration that a VM has told; false if it
// has none. VMs of former builds tell only that of the leader record.
func configurationAgeOf(a *peerpb.RecallResponse) (time.Duration, bool) {
	age := a.GetConfigurationAge()
	if age == 0 {
		return toldTime(a.GetAge()), a.GetAge() >= 0
	}
	return toldTime(age), age > 0
}

// watchedUntil returns a time at which the store held what a watch returned, given when
// the call was sent, how long it was to wait, and the number of changes. A store that
// reports none has waited all the time; otherwise it may have answered at once, and a VM
// that was suspended may read the answer much later.
func watchedUntil(sent, wait, now time.Duration, changes int) time.Duration {
	if changes > 0 || now-sent < wait {
		return sent
	}
	return sent + wait
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
// newest. It does not depend on other VMs that reach the store no more than this one:
// they cannot know of a newer version.
func (v *VM) hasNewestConfiguration() bool {
	age, known := v.configurationAge()
	return known && age <= configurationMaxAge
}

// applyConfiguration puts a configuration in force if it is newer.
func (d *Directory) applyConfiguration(i store.Item) {
	c, err := decodeEntry(func() (*catalog.Configuration, error) { return d.Adapter.DecodeConfiguration(i.Value) })
	if err != nil {
		d.entryInvalid(entryConfiguration, i, err)
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
		d.Changed()
	}
}

// withoutKeys returns an item as it may be passed to other VMs.
func (d *Directory) withoutKeys(i store.Item) store.Item {
	if i.Key == d.Adapter.ConfigurationKey && !i.Deleted && d.Adapter.WithoutKeys != nil {
		i.Value = d.Adapter.WithoutKeys(i.Value)
	}
	return i
}
