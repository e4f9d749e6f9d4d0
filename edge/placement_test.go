package edge

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthsill/catalog"
	"amaranthsill/customer"
	"amaranthsill/pool"
	"amaranthsill/relay"
)

// peersIn returns VMs, as many in each of the zones, sorted by name.
func peersIn(perZone int, zones ...string) []Peer {
	peers := []Peer{}
	for i := range perZone * len(zones) {
		name := fmt.Sprintf("vm-%03d", i)
		peers = append(peers, Peer{Name: name, Zone: zones[i%len(zones)], Relay: name + ":1", Address: name + ":2", Cores: 0.19})
	}
	return peers
}

func names(peers []Peer) []string {
	list := []string{}
	for _, p := range peers {
		list = append(list, p.Name)
	}
	return list
}

func TestHoldersOfATarget(t *testing.T) {
	cases := map[string]struct {
		peers       []Peer
		zone        string
		connections int
		want        int
		// zoneOnly is true if the holders have to be in the target's zone.
		zoneOnly bool
	}{
		"seventy connections":            {peersIn(14, "a", "b", "c"), "b", 70 - controlConnections, 2, true},
		"two hundred connections":        {peersIn(14, "a", "b", "c"), "b", 200 - controlConnections, 6, true},
		"forty connections":              {peersIn(14, "a", "b", "c"), "b", 40 - controlConnections, 2, true},
		"few connections":                {peersIn(14, "a", "b", "c"), "b", 4, 2, true},
		"a zone with one VM":             {append(peersIn(5, "a"), Peer{Name: "vm-x", Zone: "b"}), "b", 68, 1, true},
		"a zone without VMs":             {peersIn(14, "a", "c"), "b", 68, 2, false},
		"a deployment without other VMs": {peersIn(1, "a"), "b", 68, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			target := pool.Target{ID: "t", Zone: c.zone}
			holders := newMembership(c.peers).targetHolders(target, c.connections)
			if len(holders) != c.want {
				t.Fatalf("holders %v, want %d", names(holders), c.want)
			}
			selves := 0
			for _, p := range c.peers {
				// Every VM evaluates this for itself, with its own membership.
				view := (*targetHolders)(nil).next(time.Second, p.Name, target, newMembership(c.peers).targetHolders(target, c.connections))
				if !slices.Equal(view.holders, holders) {
					t.Errorf("%s sees the holders %v, want %v", p.Name, names(view.holders), names(holders))
				}
				if view.self {
					selves++
				}
				if (view.allocatorSince != 0) != (p.Name == holders[0].Name) {
					t.Errorf("%s divides since %s, but %s is the first holder", p.Name, view.allocatorSince, holders[0].Name)
				}
			}
			if selves != c.want {
				t.Errorf("%d VMs hold the target, want %d", selves, c.want)
			}
			for _, p := range holders {
				if c.zoneOnly && p.Zone != c.zone {
					t.Errorf("holder %s is in zone %s", p.Name, p.Zone)
				}
			}
		})
	}
}

// TestCustomersOrderOfHolders guards against statements of one customer that meet at
// several holders, and against a failure that moves the customers of other holders.
func TestCustomersOrderOfHolders(t *testing.T) {
	holders := newMembership(peersIn(14, "a")).targetHolders(pool.Target{ID: "t", Zone: "a"}, 68)
	all, reversed := newCustomerOrders(holders), slices.Clone(holders)
	slices.Reverse(reversed)
	other, fewer := newCustomerOrders(reversed), newCustomerOrders(holders[1:])
	first := map[string]int{}
	for i := range 2 * maxCachedOrders {
		name := fmt.Sprintf("customer-%d", i)
		order := all.of(name)
		first[order[0]]++
		if !slices.Equal(order, other.of(name)) || !slices.Equal(order, all.of(name)) {
			t.Fatalf("two VMs rank the holders of %s as %v and %v", name, order, other.of(name))
		}
		left := slices.DeleteFunc(slices.Clone(order), func(a string) bool { return a == holders[0].Relay })
		if !slices.Equal(left, fewer.of(name)) {
			t.Fatalf("without %s the order of %s is %v, want %v", holders[0].Name, name, fewer.of(name), left)
		}
	}
	for _, p := range holders {
		equal := 2 * maxCachedOrders / len(holders)
		if n := first[p.Relay]; n < equal/2 || n > equal*3/2 {
			t.Errorf("%s is first for %d of %d customers", p.Name, n, 2*maxCachedOrders)
		}
	}
}

// TestHoldersChangeAfterADelay guards against connections that are closed and opened
// again because entries of VMs were absent for a moment.
func TestHoldersChangeAfterADelay(t *testing.T) {
	target := pool.Target{ID: "t", Zone: "a"}
	peers := peersIn(3, "a")
	before, after := peers[:2], peers[1:]
	const start = time.Minute
	v := (*targetHolders)(nil).next(start, "vm-002", target, before)
	if v.self || v.changing() || v.shares() != 2 {
		t.Fatalf("at the start: %+v", v)
	}
	if again := v.next(start+time.Second, "vm-002", target, before); again != v {
		t.Error("the holders were computed again although nothing has changed")
	}
	v = v.next(start, "vm-002", target, after)
	if v.self || !v.changing() || v.shares() != 3 {
		t.Errorf("when due: %+v", v)
	}
	if back := v.next(start+holderChangeDelay/2, "vm-002", target, before); back.changing() || back.shares() != 2 {
		t.Errorf("after the entry is back: %+v", back)
	}
	v = v.next(start+holderChangeDelay, "vm-002", target, after)
	if !v.self || v.dueSince != 0 || v.shares() != 3 || !slices.Equal(v.holders, after) {
		t.Errorf("when adopted: %+v", v)
	}
	v = v.next(start+holderChangeDelay+formerHolderRetention+1, "vm-002", target, after)
	if v.changing() || v.shares() != 2 {
		t.Errorf("once the former holder is forgotten: %+v", v)
	}
}

// TestReleasedTargetIsServedForAMoment guards against links that end while other VMs do
// not know yet that this one ceased to hold the target.
func TestReleasedTargetIsServedForAMoment(t *testing.T) {
	target := pool.Target{ID: "t", Group: "choir", Zone: "a"}
	peers := peersIn(3, "a")
	now := time.Minute
	v := &VM{Settings: Settings{vm: "vm-000"}, Now: func() time.Duration { return now }}
	h := (*targetHolders)(nil).next(now, "vm-000", target, peers[:2])
	evaluate := func() {
		h = h.next(now, "vm-000", target, peers[1:])
		v.holders.Store(&map[string]groupHolders{"choir": {targets: map[string]*targetHolders{"t": h}}})
	}
	expect := func(when string, held, released bool) {
		t.Helper()
		if v.holds("choir", "t") != held || v.released("choir", "t") != released {
			t.Errorf("%s: held %t, released %t", when, v.holds("choir", "t"), v.released("choir", "t"))
		}
	}
	evaluate()
	expect("when others are due", true, false)
	now += holderChangeDelay
	evaluate()
	expect("when others have taken over", false, true)
	now += releaseGrace
	expect("later", false, false)
}

// fleetModel models the VMs of one zone that divide one target's connections, in
// virtual time.
type fleetModel struct {
	now    time.Duration
	target pool.Target
	limit  int
	vms    []*vmModel
}

// vmModel is one VM of the model. It learns of changes late by its lag.
type vmModel struct {
	Peer
	lag time.Duration
	// known are the VMs that it knows, and changes those of which it will learn.
	known   []Peer
	changes []memberChange
	view    *targetHolders
	shares  pool.Shares
	// granted is valid until grantedUntil; open connections follow the budget.
	granted, open, wanted int
	grantedUntil          time.Duration
	unresponsive          map[string]time.Duration
	// starting is true for a VM that has joined the others.
	starting bool
	// stoppedAt is when the VM failed; zero if it runs.
	stoppedAt time.Duration
}

// memberChange is a VM that another learns at a time to have joined or left.
type memberChange struct {
	at   time.Duration
	peer Peer
	left bool
}

// join adds a VM, which knows what the store holds, and of which the others learn late.
func (f *fleetModel) join(p Peer, lag time.Duration, starting bool) {
	n := &vmModel{Peer: p, lag: lag, starting: starting, unresponsive: map[string]time.Duration{}}
	for _, v := range f.vms {
		v.changes = append(v.changes, memberChange{at: f.now + v.lag, peer: p})
		if v.stoppedAt == 0 || f.now-v.stoppedAt < peerRetention {
			n.known = append(n.known, v.Peer)
		}
		if v.stoppedAt != 0 {
			n.changes = append(n.changes, memberChange{v.stoppedAt + peerRetention + lag, v.Peer, true})
		}
	}
	n.known = append(n.known, p)
	f.vms = append(f.vms, n)
}

// fail stops a VM, of which the others learn once its entry has been gone for long.
func (f *fleetModel) fail(failed *vmModel) {
	failed.stoppedAt = f.now
	for _, v := range f.vms {
		v.changes = append(v.changes, memberChange{f.now + peerRetention + v.lag, failed.Peer, true})
	}
}

// learn applies the changes of which the VM knows by now.
func (v *vmModel) learn(now time.Duration) {
	v.changes = slices.DeleteFunc(v.changes, func(c memberChange) bool {
		if c.at > now {
			return false
		}
		v.known = slices.DeleteFunc(slices.Clone(v.known), func(p Peer) bool { return p.Name == c.peer.Name })
		if !c.left {
			v.known = append(v.known, c.peer)
		}
		return true
	})
	slices.SortFunc(v.known, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
}

func (f *fleetModel) vm(name string) *vmModel {
	return f.vms[slices.IndexFunc(f.vms, func(v *vmModel) bool { return v.Name == name })]
}

// step advances the model by one interval of the supervisor.
func (f *fleetModel) step() {
	f.now += superviseInterval
	for _, v := range f.vms {
		if v.stoppedAt != 0 {
			continue
		}
		v.learn(f.now)
		members := newMembership(v.known)
		due := members.targetHolders(f.target, f.limit)
		if v.view == nil && v.starting {
			v.view = startingHolders(members.without(v.Name), f.target, f.limit)
		}
		v.view = v.view.next(f.now, v.Name, f.target, due)
		if f.now%claimInterval == 0 && v.view.self {
			f.claim(v)
		}
		v.open = min(v.wanted, f.budget(v))
	}
}

// budget returns how many connections a VM may have open.
func (f *fleetModel) budget(v *vmModel) int {
	switch {
	case v.view == nil || !v.view.self:
		return 0
	case f.now < v.grantedUntil:
		return v.granted
	default:
		return v.view.limits(f.limit + controlConnections).Base()
	}
}

// claim makes a VM claim connections at the first holder that answers.
func (f *fleetModel) claim(v *vmModel) {
	for _, p := range v.view.holders {
		if at, ok := v.unresponsive[p.Name]; ok && f.now-at <= unresponsiveBackoff {
			continue
		}
		allocator := f.vm(p.Name)
		if allocator.stoppedAt != 0 || allocator.view == nil {
			v.unresponsive[p.Name] = f.now
			return
		}
		l := allocator.view.limits(f.limit + controlConnections)
		claim := pool.Claim{Target: f.target.ID, Open: v.open, Wanted: v.wanted}
		v.granted = allocator.shares.Divide(f.now, v.Name, claim, l)
		v.grantedUntil = f.now + grantTTL
		return
	}
}

// inUse returns how many connections the VMs may have open together. Those of a process
// that ends are closed with it.
func (f *fleetModel) inUse() int {
	sum := 0
	for _, v := range f.vms {
		if v.stoppedAt == 0 {
			sum += f.budget(v)
		}
	}
	return sum
}

// TestBudgetsOfHoldersStayWithinTheLimit guards against a target that refuses
// connections because a VM that begins to hold it, and one that ceases to, use the same
// share.
func TestBudgetsOfHoldersStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetModel{now: time.Minute, target: pool.Target{ID: "t", Zone: "a"}, limit: rapid.SampledFrom([]int{38, 68}).Draw(t, "limit")}
		peers := peersIn(rapid.IntRange(2, 12).Draw(t, "vms"), "a")
		lag := func() time.Duration { return time.Duration(rapid.IntRange(0, 300).Draw(t, "lag")) * time.Millisecond }
		first := rapid.IntRange(2, len(peers)).Draw(t, "first")
		for _, p := range peers[:first] {
			f.join(p, lag(), false)
		}
		for _, v := range f.vms {
			v.known, v.changes = slices.Clone(peers[:first]), nil
		}
		peers = peers[first:]
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				if f.now%(500*time.Millisecond) == 0 {
					for _, v := range f.vms {
						v.wanted = rapid.SampledFrom([]int{0, 1, 3, 10, 25, 80}).Draw(t, "wanted")
					}
				}
				f.step()
				if n := f.inUse(); n > f.limit {
					t.Fatalf("at %s the budgets sum to %d, above the limit of %d: %s", f.now, n, f.limit, f.describe())
				}
			}
			switch rapid.SampledFrom([]string{"joins", "fails", "nothing"}).Draw(t, "change") {
			case "joins":
				if len(peers) > 0 {
					f.join(peers[0], lag(), true)
					peers = peers[1:]
				}
			case "fails":
				v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "failed")]
				if v.stoppedAt == 0 {
					f.fail(v)
				}
			}
		}
	})
}

// describe returns the VMs that hold the target, for messages.
func (f *fleetModel) describe() string {
	text := ""
	for _, v := range f.vms {
		if v.view != nil {
			text += fmt.Sprintf(" %s:self=%t,budget=%d,open=%d,holders=%v,shares=%d", v.Name, v.view.self, f.budget(v), v.open, names(v.view.holders), v.view.shares())
		}
	}
	return text
}

// placementOf returns the view of a VM that has started, once its holders have settled.
func placementOf(vm string, peers []Peer, customers *customer.Set) (*VM, map[string]groupHolders) {
	now := time.Hour
	v := &VM{Settings: Settings{vm: vm, zone: "b"}, Now: func() time.Duration { return now }, catalog: &catalog.Catalog{}, groups: map[string]*pool.Group{}, dialer: &relay.Dialer{}}
	v.directory = &Directory{Now: v.Now, targets: map[string]*registration[pool.Target]{}, present: newMembership(peers)}
	for _, z := range []string{"a", "b", "c"} {
		v.directory.targets["choir-"+z] = &registration[pool.Target]{entry: pool.Target{ID: "choir-" + z, Group: "choir", Zone: z}}
	}
	v.catalog.Update(&catalog.Configuration{Version: 1, Groups: map[string]catalog.Group{"choir": {Name: "choir", ConnectionLimit: 70}}, Customers: customers})
	v.holders.Store(&map[string]groupHolders{})
	s := &supervisor{VM: v, holderChangeSince: map[string]time.Duration{}}
	s.updateHolders()
	for range 2 {
		now += formerHolderRetention + time.Millisecond
		s.updateHolders()
	}
	return v, *v.holders.Load()
}

func TestPlacementWithoutCustomersIsByGroupAndZone(t *testing.T) {
	peers := peersIn(14, "a", "b", "c")
	v, view := placementOf("vm-001", peers, nil)
	h := view["choir"]
	if h.targets != nil || !h.relayed || h.vms != 3*holdersPerZone {
		t.Errorf("placement %+v, want that of the group", h)
	}
	want := []string{}
	for _, p := range newMembership(peers).zone("b").place(holderKey+"choir", holdersPerZone) {
		want = append(want, p.Relay)
	}
	if !slices.Equal(h.Addresses, want) {
		t.Errorf("holders %v, want %v", h.Addresses, want)
	}
	if got := v.wayTo(pool.Target{ID: "choir-a", Group: "choir", Zone: "a"}, ""); got.ByCustomer || !slices.Equal(got.Addresses, want) {
		t.Errorf("way %+v, want through %v", got, want)
	}
	if got := v.limits("choir", 70); got != (pool.Limits{Connections: 68, VMs: 6, Since: h.allocatorSince}) {
		t.Errorf("limits %+v", got)
	}
}

func TestPlacementWithCustomersIsByTarget(t *testing.T) {
	set, err := customer.NewSet([]customer.Entry{{Customer: customer.Customer{Name: "bell"}}})
	if err != nil {
		t.Fatal(err)
	}
	peers := peersIn(14, "a", "b", "c")
	held := map[string]int{}
	for _, p := range peers {
		v, _ := placementOf(p.Name, peers, set)
		for _, z := range []string{"a", "b", "c"} {
			target := pool.Target{ID: "choir-" + z, Group: "choir", Zone: z}
			way := v.wayTo(target, "bell")
			if way.Self != v.holds("choir", target.ID) || !way.ByCustomer {
				t.Errorf("%s reaches %s by %+v, but holds it: %t", p.Name, target.ID, way, v.holds("choir", target.ID))
			}
			if way.Self {
				held[target.ID]++
			} else if len(way.Addresses) != 2 || slices.Contains(way.Addresses, p.Relay) {
				t.Errorf("%s reaches %s through %v", p.Name, target.ID, way.Addresses)
			}
		}
	}
	if held["choir-a"] != 2 || held["choir-b"] != 2 || held["choir-c"] != 2 {
		t.Errorf("VMs that hold each target: %v, want 4 of each", held)
	}
}

func TestCustomerOfARelayedOrder(t *testing.T) {
	set, err := customer.NewSet([]customer.Entry{{Customer: customer.Customer{Name: "bell", Priority: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		customers *customer.Set
		name      string
		version   uint64
		known     bool
		want      *customer.Customer
	}{
		"one that exists":                        {set, "bell", 5, true, &customer.Customer{Name: "bell", Priority: 2}},
		"one that a newer version adds":          {set, "drum", 6, true, &customer.Customer{Name: "drum"}},
		"one that this version has removed":      {set, "drum", 4, false, nil},
		"one sent while it was being removed":    {set, "drum", 5, false, nil},
		"in a deployment without customers":      {nil, "drum", 4, true, nil},
		"before customers are configured":        {nil, "drum", 6, true, &customer.Customer{Name: "drum"}},
		"one that exists, in an order of before": {set, "bell", 3, true, &customer.Customer{Name: "bell", Priority: 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := &VM{catalog: &catalog.Catalog{}}
			v.catalog.Update(&catalog.Configuration{Version: 5, Customers: c.customers})
			got, known := v.customerNamed(c.name, c.version)
			if known != c.known || (got == nil) != (c.want == nil) || got != nil && *got != *c.want {
				t.Errorf("got %+v, %t, want %+v, %t", got, known, c.want, c.known)
			}
		})
	}
}

// BenchmarkWayOfACustomer measures what each statement adds to look up its holders.
func BenchmarkWayOfACustomer(b *testing.B) {
	holders := peersIn(4, "a")
	for name, customers := range map[string]int{"85 customers": 85, "10000 customers": 10_000} {
		b.Run(name, func(b *testing.B) {
			list := []string{}
			for i := range customers {
				list = append(list, fmt.Sprintf("customer-%d", i))
			}
			h := &targetHolders{holders: holders, orders: newCustomerOrders(holders)}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.way(list[i%len(list)])
			}
		})
	}
}

// BenchmarkTargetHolders measures one evaluation of the holders of all targets after a
// VM has joined.
func BenchmarkTargetHolders(b *testing.B) {
	peers := peersIn(144, "a", "b", "c", "d", "e", "f")
	for b.Loop() {
		m := newMembership(peers)
		for i := range 970 {
			t := pool.Target{ID: fmt.Sprintf("target-%d", i), Zone: peers[i%6].Zone}
			(*targetHolders)(nil).next(time.Minute, "vm-001", t, m.targetHolders(t, 68))
		}
	}
}
