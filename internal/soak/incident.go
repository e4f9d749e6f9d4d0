package soak

import (
	"cmp"
	"slices"
	"time"

	"amaranthsill/internal/site"
)

// The platform of a run with Incident, and the length of its faults.
const (
	// incidentPromotion is how long promotions take.
	incidentPromotion = time.Second
	// incidentDemotion is how long a primary goes on once it reaches a newer one.
	incidentDemotion = time.Second
	// incidentEntryTimeout is how long a server may not reach the store before its entry
	// is removed.
	incidentEntryTimeout = 3 * time.Second
	incidentLag          = 15 * time.Millisecond
	incidentStatement    = 4 * time.Millisecond
	incidentSlots        = 3
	incidentConnections  = 24
	// maxCallDelay bounds how late a slow promotion service takes up a call.
	maxCallDelay = 4 * time.Second
	// maxIncidentDuration bounds the duration of one fault, and maxIncidentInterval the
	// pause before the next. A leadership is moved within some seconds.
	maxIncidentDuration = 5 * time.Second
	maxIncidentInterval = 2500 * time.Millisecond
)

// setIncident sets the options of a platform whose nodes the network can cut off.
func (r *Run) setIncident(o *site.Options) {
	o.PromotionDelay = cmp.Or(r.Promotion, incidentPromotion)
	o.DemotionDelay = incidentDemotion
	o.Reaches = r.network.reaches
	o.EntryTimeout = incidentEntryTimeout
	o.Slots = incidentSlots
	o.Lag = incidentLag
	o.StatementDelay = incidentStatement
	o.ConnectionLimit = incidentConnections
	o.Rewrite = r.rewriteEntry
}

// incidentFaults are the kinds of faults that Incident adds.
var incidentFaults = []faultKind{
	{"a primary is cut off from its replicas, and from a part of the VMs", func(r *Run) func() {
		return r.cutPrimaries([]string{r.randomGroup()}, nil)
	}},
	{"all primaries are cut off from their replicas, the store and a part of the VMs", func(r *Run) func() {
		return r.cutPrimaries(r.groups, []string{site.StoreNode})
	}},
	{"all primaries are cut off from their replicas, the store and a part of the VMs until promotions are called", func(r *Run) func() {
		heal := r.cutPrimaries(r.groups, []string{site.StoreNode})
		calls := len(r.site.FencingTokens())
		go r.healOnce(heal, func() bool { return len(r.site.FencingTokens()) > calls })
		return heal
	}},
	{"all primaries are cut off from their replicas, the store and a part of the VMs until another leads", func(r *Run) func() {
		heal := r.cutPrimaries(r.groups, []string{site.StoreNode})
		led := r.promotionCount()
		go r.healOnce(heal, func() bool { return r.promotionCount() > led })
		return heal
	}},
	{"a primary is cut off from its replicas, the store and all VMs until another leads", func(r *Run) func() {
		g := r.randomGroup()
		heal := r.isolate(r.site.Leader(g))
		led := len(r.site.Promotions(g))
		go r.healOnce(heal, func() bool { return len(r.site.Promotions(g)) > led })
		return heal
	}},
	{"the replicas of a group are cut off from a part of the VMs", func(r *Run) func() {
		return r.network.cut(r.replicas(r.randomGroup()), r.randomVMNames())
	}},
	{"a VM is cut off from a part of the other VMs", func(r *Run) func() {
		return r.network.cut([]string{r.randomVM().Name}, r.randomVMNames())
	}},
	{"a VM is cut off from the store and a part of the other VMs", func(r *Run) func() {
		return r.network.cut([]string{r.randomVM().Name}, append(r.randomVMNames(), site.StoreNode))
	}},
	{"a zone is cut off from the others, and maybe from the store", func(r *Run) func() {
		inside, outside := r.splitByZone(r.randomVM().zone)
		if r.random.IntN(2) == 0 {
			outside = append(outside, site.StoreNode)
		}
		return r.network.cut(inside, outside)
	}},
	{"a server is cut off from all", func(r *Run) func() {
		return r.isolate(r.randomServer())
	}},
	{"a server crashes, then restarts", func(r *Run) func() {
		s := r.randomServer()
		s.Crash()
		return s.Restart
	}},
	{"a primary crashes, then restarts", func(r *Run) func() {
		s := r.site.Leader(r.randomGroup())
		if s == nil {
			return nil
		}
		s.Crash()
		return s.Restart
	}},
	{"two VMs are paused", func(r *Run) func() {
		a, b := r.randomVM(), r.randomVM()
		a.Pause()
		b.Pause()
		return func() {
			a.Resume()
			b.Resume()
		}
	}},
	{"the promotion service answers some VMs late or not at all", func(r *Run) func() {
		f := []Fault{DropAnswers, Delay}[r.random.IntN(2)]
		list := []*VM{r.randomVM(), r.randomVM(), r.randomVM()}
		for _, v := range list {
			v.duty.Set(f)
		}
		return func() {
			for _, v := range list {
				v.duty.Set(Forward)
			}
		}
	}},
	{"the promotion service is slow", func(r *Run) func() {
		r.site.SetCallDelay(maxCallDelay)
		return func() { r.site.SetCallDelay(0) }
	}},
	{"the promotion service is slow, and all primaries are cut off from their replicas, the store and a part of the VMs", func(r *Run) func() {
		r.site.SetCallDelay(maxCallDelay)
		heal := r.cutPrimaries(r.groups, []string{site.StoreNode})
		return func() {
			r.site.SetCallDelay(0)
			heal()
		}
	}},
	{"the promotion service is slow, and a part of the VMs is cut off from the primaries, a part from the replicas", func(r *Run) func() {
		r.site.SetCallDelay(maxCallDelay)
		g := r.randomGroup()
		heal := r.cutPrimaries([]string{g}, nil)
		healReplicas := r.network.cut(r.replicas(g), r.randomVMNames())
		return func() {
			r.site.SetCallDelay(0)
			heal()
			healReplicas()
		}
	}},
	{"a primary is draining, then not any more", func(r *Run) func() {
		s := r.site.Leader(r.randomGroup())
		if s == nil {
			return nil
		}
		s.Drain()
		return s.EndDrain
	}},
}

// cutPrimaries cuts the primaries of groups off from their replicas, a random part of the
// VMs and further nodes, all of them from the same.
func (r *Run) cutPrimaries(groups, further []string) func() {
	primaries := []string{}
	others := slices.Concat(r.randomVMNames(), further)
	for _, g := range groups {
		leader := r.site.Leader(g)
		if leader == nil {
			continue
		}
		primaries = append(primaries, leader.ID)
		for _, s := range r.site.Servers(g) {
			if s != leader {
				others = append(others, s.ID)
			}
		}
	}
	return r.network.cut(primaries, others)
}

// replicas returns the IDs of a group's servers other than the leader.
func (r *Run) replicas(g string) []string {
	names := []string{}
	leader := r.site.Leader(g)
	for _, s := range r.site.Servers(g) {
		if s != leader {
			names = append(names, s.ID)
		}
	}
	return names
}

// isolate cuts a server off from all others, the store and all VMs.
func (r *Run) isolate(s *site.Server) func() {
	if s == nil {
		return func() {}
	}
	all := append(vmNames(r.vms), site.StoreNode)
	for _, o := range s.Group.Servers() {
		all = append(all, o.ID)
	}
	return r.network.cut([]string{s.ID}, all)
}

// splitByZone returns the names of the VMs and servers of a zone, and of the others.
func (r *Run) splitByZone(zone string) (inside, outside []string) {
	add := func(name, z string) {
		if z == zone {
			inside = append(inside, name)
			return
		}
		outside = append(outside, name)
	}
	for _, v := range r.vms {
		add(v.Name, v.zone)
	}
	for _, g := range r.groups {
		for _, s := range r.site.Servers(g) {
			add(s.ID, s.Zone)
		}
	}
	return inside, outside
}

// healOnce ends a fault once a condition holds, at most after maxIncidentDuration.
func (r *Run) healOnce(heal func(), condition func() bool) {
	for deadline := time.Now().Add(maxIncidentDuration); time.Now().Before(deadline); time.Sleep(holdInterval) {
		if condition() {
			heal()
			return
		}
	}
}

// promotionCount returns how many promotions have taken effect.
func (r *Run) promotionCount() int {
	n := 0
	for _, g := range r.groups {
		n += len(r.site.Promotions(g))
	}
	return n
}

func (r *Run) randomGroup() string { return r.groups[r.random.IntN(len(r.groups))] }

func (r *Run) randomServer() *site.Server {
	list := r.site.Servers(r.randomGroup())
	return list[r.random.IntN(len(list))]
}

// randomVMNames returns the names of a random part of the VMs.
func (r *Run) randomVMNames() []string {
	names := vmNames(r.vms)
	r.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:1+r.random.IntN(len(names))]
}
