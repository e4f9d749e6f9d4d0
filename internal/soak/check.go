package soak

import (
	"slices"
	"strings"

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

// current checks that each read ran on a log that has the writes which were
// acknowledged before it began, as its route promises. Commits that a promotion
// cut back don't count. Values don't show it: a write in doubt may take effect
// after a later one.
func (k *checker) current(requests []request) {
	final := k.leader.Log()
	at := map[string]int{}
	for i, id := range final {
		at[id] = i
	}
	writes := slices.DeleteFunc(slices.Clone(requests), func(q request) bool {
		_, kept := at[q.id]
		return !q.write || q.code != "" || !kept
	})
	for _, q := range requests {
		s := k.server(q.server)
		if q.write || q.code != "" || s == nil {
			continue
		}
		length, last, ran := s.Shown(q.id)
		if !ran {
			k.broke("%s was answered by %s and did not run there", q.id, s.ID)
			continue
		}
		follows := length == 0 || length <= len(final) && final[length-1] == last
		for _, w := range writes {
			if !q.must(w) || follows && at[w.id] < length || !follows && !s.Lacked(q.id, w.id) {
				continue
			}
			k.broke("%s ran on %s at %s over %s (transaction %t) without %s, acknowledged %v before", q.id, s.ID, q.vm, q.route, q.transaction, w.id, q.begun.Sub(w.ended))
			break
		}
	}
}

// server returns the group's server of that ID; nil if it is another's.
func (k *checker) server(id string) *site.Server {
	for _, s := range k.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// must reports whether a read's route promises that it shows a write.
func (q request) must(w request) bool {
	switch {
	case strings.HasSuffix(q.route, "-own") && q.session == w.session:
		return w.ended.Before(q.begun)
	case strings.HasSuffix(q.route, "-current"):
		return w.ended.Before(q.begun)
	default:
		return w.ended.Before(q.begun.Add(-staleness))
	}
}
