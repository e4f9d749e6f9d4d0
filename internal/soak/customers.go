package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"amaranthsill/internal/site"
)

// Bounds that a run with customers checks.
const (
	// revocationTimeout is how long a key may be used after a configuration without it
	// was written. The users require it.
	revocationTimeout = 6 * time.Second
	// limitWindow is the length of the windows in which operations are counted.
	limitWindow = 5 * time.Second
	// limitedRate and limitedBurst limit the customer that asks for more than it may.
	limitedRate, limitedBurst = 20, 20
)

// limitedCustomer is the customer with a limit below what its callers ask for.
const limitedCustomer = "tenors"

// member is one customer of a run.
type member struct {
	name string
	// keys are the keys that are valid.
	keys        []string
	rate, burst float64
}

// customers are the customers of a run and their keys.
type customers struct {
	list []member
	// serial counts the keys that were ever given out.
	serial int
	// revokedAt is when the configuration without a key was written.
	revokedAt map[string]time.Time
}

// setCustomers puts the customers into the configuration.
func (r *Run) setCustomers() {
	if !r.Customers {
		return
	}
	r.customers.revokedAt = map[string]time.Time{}
	for _, name := range []string{"altos", "basses", limitedCustomer} {
		c := member{name: name, rate: 10000, burst: 10000}
		if name == limitedCustomer {
			c.rate, c.burst = limitedRate, limitedBurst
		}
		r.customers.list = append(r.customers.list, c)
		r.addKey(len(r.customers.list) - 1)
	}
	r.site.SetCustomers(r.customerBodies())
	r.site.Configure(nil)
}

// customerBodies returns the customers as they stand in a configuration.
func (r *Run) customerBodies() []site.Customer {
	bodies := []site.Customer{}
	for _, c := range r.customers.list {
		bodies = append(bodies, site.Customer{"name": c.name, "api_keys": c.keys, "priority": 1, "rate_per_s": c.rate, "burst": c.burst})
	}
	return bodies
}

// addKey gives a customer a further key. The slice of keys is replaced, since callers
// may be reading the old one.
func (r *Run) addKey(i int) {
	r.customers.serial++
	c := &r.customers.list[i]
	c.keys = append(slices.Clone(c.keys), fmt.Sprintf("secret-%s-%d", c.name, r.customers.serial))
}

// customerOf returns the customer of the caller with a number, and its newest key; both
// empty in a run without customers.
func (r *Run) customerOf(caller int) (name, key string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(r.customers.list) == 0 {
		return "", ""
	}
	c := r.customers.list[caller%len(r.customers.list)]
	return c.name, c.keys[len(c.keys)-1]
}

// replaceKey writes a configuration in which a customer has another key in place of its
// only one.
func (r *Run) replaceKey(i int) {
	r.lock.Lock()
	old := r.customers.list[i].keys[0]
	r.addKey(i)
	r.customers.list[i].keys = r.customers.list[i].keys[1:]
	bodies := r.customerBodies()
	r.lock.Unlock()
	r.site.SetCustomers(bodies)
	r.site.Configure(r.extraRoutes)
	r.lock.Lock()
	defer r.lock.Unlock()
	r.customers.revokedAt[old] = time.Now()
}

// customerFaults are the kinds of faults that concern customers.
var customerFaults = []faultKind{
	{"a customer's key is replaced", func(r *Run) func() {
		r.replaceKey(r.random.IntN(len(r.customers.list)))
		return nil
	}},
	{"a VM does not reach the store while a customer's key is replaced", func(r *Run) func() {
		v := r.randomVM()
		v.Store.Set(DropAll)
		r.replaceKey(r.random.IntN(len(r.customers.list)))
		return func() { v.Store.Set(Forward) }
	}},
}

// checkCustomers checks that each request ran on a connection of its own customer, that
// no server was told a key, that revoked keys were not used, and the limits.
func (r *Run) checkCustomers(requests []request) {
	if !r.Customers {
		return
	}
	for _, g := range r.groups {
		for _, s := range r.site.Servers(g) {
			r.checkServer(s, requests)
		}
	}
	r.checkLimit(requests)
}

// checkServer checks what one server was told and ran.
func (r *Run) checkServer(s *site.Server, requests []request) {
	for _, name := range s.StartedBy() {
		if strings.HasPrefix(name, "secret-") {
			r.reportViolation("server %s was told a key", s.ID)
		}
	}
	for _, q := range requests {
		name, ran := s.RanFor(q.id)
		if !ran {
			continue
		}
		if name != q.customer {
			r.reportViolation("%s of customer %s ran on server %s on a connection of %s", q.id, q.customer, s.ID, name)
		}
		if at, revoked := r.customers.revokedAt[q.customerKey]; revoked && q.begun.Sub(at) > revocationTimeout {
			r.reportViolation("%s ran on server %s, and was sent %v after its key was revoked", q.id, s.ID, q.begun.Sub(at))
		}
	}
}

// checkLimit checks the operations of the limited customer in every window. An operation
// counts where it began and ended within the window; the requests of a transaction
// began at the same time and are one operation.
func (r *Run) checkLimit(requests []request) {
	ended := map[string]request{}
	for _, q := range requests {
		if q.customer != limitedCustomer || q.code != "" {
			continue
		}
		operation := q.sessionID + q.begun.String()
		if first, ok := ended[operation]; !ok || q.ended.Before(first.ended) {
			ended[operation] = q
		}
	}
	operations := slices.SortedFunc(maps.Values(ended), func(a, b request) int { return a.begun.Compare(b.begun) })
	for i, first := range operations {
		count := 0
		for _, q := range operations[i:] {
			if q.ended.Sub(first.begun) <= limitWindow {
				count++
			}
		}
		if most := limitedRate*limitWindow.Seconds() + limitedBurst; float64(count) > most {
			r.reportViolation("customer %s had %d operations within %v from %s, allowed are %v", limitedCustomer, count, limitWindow, first.id, most)
			return
		}
	}
	r.Logf("seed %d: %d operations of the limited customer", r.Seed, len(operations))
}
