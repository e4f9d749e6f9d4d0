package soak

import (
	"slices"
	"strings"
	"time"

	"amaranthsill/internal/site"
)

// check compares what callers were told with what the targets did.
func (r *Run) check() {
	r.lock.Lock()
	requests := slices.Clone(r.requests)
	r.lock.Unlock()
	for _, g := range groups {
		leader := r.site.Leader(g)
		if leader == nil {
			r.broke("%s has no leader in the end", g)
			continue
		}
		k := &checker{Run: r, leader: leader, servers: r.site.Servers(g)}
		for _, q := range requests {
			k.once(q)
		}
		k.current(requests)
	}
	done := 0
	for _, q := range requests {
		if q.code == "" {
			done++
		}
	}
	r.Logf("seed %d: %d of %d requests succeeded", r.Seed, done, len(requests))
	if done == 0 {
		r.broke("no request succeeded")
	}
}

type checker struct {
	*Run
	leader  *site.Server
	servers []*site.Server
}

// refusals promise that nothing of an attempt is kept.
var refusals = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}

// once checks that a write was kept at most once, and not at all if that was
// promised; and that nothing ran of which that was said.
func (k *checker) once(q request) {
	kept := k.leader.Count(q.id)
	if kept > 1 {
		k.broke("%s is kept %d times", q.id, kept)
	}
	if kept > 0 && slices.Contains(refusals, q.code) {
		k.broke("%s is kept, and was answered %s", q.id, q.code)
	}
	if q.code != "BUSY" {
		return
	}
	for _, s := range k.servers {
		if s.Runs(q.id) > 0 {
			k.broke("%s ran on %s, and was answered BUSY", q.id, s.ID)
		}
	}
}

// current checks each read against the writes that were acknowledged before it
// began, as its route promises. Commits that a promotion cut back don't count.
func (k *checker) current(requests []request) {
	writes := map[string][]request{}
	for _, q := range requests {
		if q.write && q.code == "" && k.leader.Count(q.id) == 1 {
			writes[q.item] = append(writes[q.item], q)
		}
	}
	for _, q := range requests {
		if q.write || q.code != "" || q.item == "" {
			continue
		}
		before := q.begun
		if !strings.HasSuffix(q.route, "-current") {
			before = before.Add(-staleness)
		}
		for _, w := range writes[q.item] {
			own := strings.HasSuffix(q.route, "-own") && q.session == w.session
			if w.value > q.value && (w.ended.Before(before) || own && w.ended.Before(q.begun)) {
				k.broke("%s read %d of %s at %s over %s (transaction %t), and %d was acknowledged %v before", q.id, q.value, q.item, q.vm, q.route, q.transaction, w.value, q.begun.Sub(w.ended).Round(time.Millisecond))
				break
			}
		}
	}
}
