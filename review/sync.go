package main

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// workOf returns the time that a statement takes on a server, by the figures of the site file: 6 ms
// on average for claim-filing and commits, 30 ms for refund-status, and 18 ms for clerk-review, with
// a spread of 0.7 and an upper bound. The first letter of an item names its class.
func workOf(text string) time.Duration {
	mean, limit := 6.0, 45.0
	_, item, _ := strings.Cut(text, " ")
	switch {
	case strings.HasPrefix(item, "r"):
		mean, limit = 30, 220
	case strings.HasPrefix(item, "k"):
		mean = 18
	}
	const spread = 0.7
	ms := mean * math.Exp(rand.NormFloat64()*spread-spread*spread/2)
	return time.Duration(min(ms, limit) * float64(time.Millisecond))
}

// playSync has the primary of a service with sync_replicas 1 crash while one replica receives
// nothing. The other replica has every acknowledged commit, and all the reads.
func playSync(path string) int {
	w := newWorld(path, 1)
	w.vms = startVMs(zones, 2, w.store.address, w.cloud.address)
	defer func() { stopVMs(w.vms) }()
	if !awaitReady(w.vms, 20*time.Second) {
		w.record.note("VMs did not get ready")
		return exitCannotRun
	}
	w.record.note("VMs are ready")
	for _, s := range w.service.servers {
		s.work = workOf
	}
	lost := []ack{}
	w.service.onPromote = func(s *server) {
		for _, o := range w.service.servers {
			o.lock.Lock()
			w.record.note("%s: log up to %s, %d requests wait for a slot", o.id, o.position(), o.waiting)
			o.lock.Unlock()
		}
		has := s.ids()
		for _, a := range w.record.acknowledged() {
			if !has[a.id] {
				lost = append(lost, a)
			}
		}
	}
	stop := make(chan struct{})
	// A third of the traffic of the day scale-1 at its peak, since the site has three services.
	for _, c := range []class{
		{database: "claim-filing", items: "f", perSecond: 31, sessions: 12, writes: 0.35, trans: 0.25},
		{database: "refund-status", items: "r", perSecond: 31, sessions: 24, trans: 0.1},
		{database: "clerk-review", items: "k", perSecond: 145, sessions: 60, writes: 0.12, trans: 0.12},
	} {
		load(w.record, w.vms, c, stop)
	}
	time.Sleep(5 * time.Second)
	p, r := w.service.servers[0], w.service.servers[2]
	if trouble {
		w.record.note("replica %s receives nothing", r.id)
		r.lock.Lock()
		r.deaf = true
		r.lock.Unlock()
		time.Sleep(4 * time.Second)
		w.record.note("primary %s crashes; %d commits are acknowledged", p.id, len(w.record.acknowledged()))
		p.crash()
	} else {
		time.Sleep(4 * time.Second)
	}
	end := time.Now().Add(12 * time.Second)
	for time.Now().Before(end) && !(trouble && w.service.promoted.Load() > 0) {
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	time.Sleep(time.Second)
	w.record.note("%d commits were acknowledged, %d promotions", len(w.record.acknowledged()), w.service.promoted.Load())
	if trouble && w.service.promoted.Load() == 0 {
		w.record.note("no server was promoted")
		return exitCannotRun
	}
	if len(lost) > 0 {
		w.record.note("LOST: %d acknowledged commits are not in the log of the server that was promoted, the first %s, acknowledged at %.3f", len(lost), lost[0].id, lost[0].at.Seconds())
		return exitBroken
	}
	w.record.note("LOST held")
	return exitHeld
}
