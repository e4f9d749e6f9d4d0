package soak

import (
	"slices"
	"strings"
	"time"

	"amaranthsill/internal/site"
)

// check compares the answers that callers got with what the targets ran.
func (r *Run) check() {
	r.lock.Lock()
	requests := slices.Clone(r.requests)
	r.lock.Unlock()
	for _, g := range r.groups {
		leader := r.site.Leader(g)
		if leader == nil {
			r.reportViolation("group %s has no leader after the run", g)
			continue
		}
		k := &checker{Run: r, leader: leader, servers: r.site.Servers(g)}
		for _, q := range requests {
			k.checkWrite(q)
			k.checkLeader(q)
		}
		k.checkReads(requests)
	}
	r.checkCustomers(requests)
	r.checkStatements()
	succeeded := 0
	for _, q := range requests {
		if q.code == "" {
			succeeded++
		}
	}
	r.Logf("seed %d: %d of %d requests succeeded", r.Seed, succeeded, len(requests))
	if r.Incident {
		r.logMoves(requests)
	}
	if succeeded == 0 {
		r.reportViolation("no request succeeded")
	}
}

// logMoves logs how many promotions there were, and how many writes primaries committed
// after another one had been promoted.
func (r *Run) logMoves(requests []request) {
	deposed := 0
	for _, g := range r.groups {
		for _, s := range r.site.Servers(g) {
			for _, q := range requests {
				if at, ok := s.CommittedAt(q.id); ok && r.site.LeaderAt(g, at) != s.ID {
					deposed++
				}
			}
		}
	}
	r.Logf("seed %d: %d promotions after %d calls, %d writes committed at deposed primaries", r.Seed, r.promotionCount(), len(r.site.FencingTokens()), deposed)
}

// checker checks the requests against the servers of one group.
type checker struct {
	*Run
	leader  *site.Server
	servers []*site.Server
}

// refusalCodes are the error codes which guarantee that a request had no effect, and that of
// writes whose callers did not commit them.
var refusalCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT", notCommitted}

// checkWrite checks that the leader's log has at most one entry of a write, and none if
// the write was refused.
func (k *checker) checkWrite(q request) {
	kept := k.leader.EntryCount(q.id)
	if kept > 1 {
		k.reportViolation("%s is in the leader's log %d times", q.id, kept)
	}
	if kept > 0 && slices.Contains(refusalCodes, q.code) {
		k.reportViolation("%s is in the leader's log, and was answered %s", q.id, q.code)
	}
}

// checkLeader checks that no acknowledged write was committed at a server after the
// promotion of another one had taken effect.
func (k *checker) checkLeader(q request) {
	if !q.write || q.code != "" {
		return
	}
	at, s := k.committed(q)
	if s == nil {
		return
	}
	if leader := k.site.LeaderAt(s.Group.Name, at); leader != s.ID {
		k.reportViolation("deposed leader: %s was committed at %s through %s over route %s at %s, when %s led, and acknowledged at %s", q.id, s.ID, q.vmName, q.route, at.Format(timeFormat), leader, q.ended.Format(timeFormat))
	}
}

// timeFormat is how violations show times; logs of VMs show them alike, in UTC.
const timeFormat = "15:04:05.000"

// committed returns when a write was committed at the server that acknowledged it, and
// that server; nil if it is in another group.
func (k *checker) committed(q request) (time.Time, *site.Server) {
	s := k.server(q.serverID)
	if s == nil {
		return time.Time{}, nil
	}
	at, ok := s.CommittedAt(q.id)
	if !ok {
		k.reportViolation("%s was acknowledged by %s, but was not committed there", q.id, s.ID)
		return time.Time{}, nil
	}
	return at, s
}

// rolledBack reports whether a write that is not in the final log was removed by a
// promotion: it was committed by the leader before another one was promoted. What a
// primary commits after that is removed too, but must never have been acknowledged.
func (k *checker) rolledBack(q request) bool {
	at, s := k.committed(q)
	if s == nil {
		return true
	}
	g := s.Group.Name
	if k.site.LeaderAt(g, at) != s.ID {
		return false
	}
	promoted := slices.ContainsFunc(k.site.Promotions(g), func(p site.Promotion) bool { return p.At.After(at) })
	if !promoted {
		k.reportViolation("%s was committed at %s and acknowledged, and is gone without a promotion", q.id, s.ID)
	}
	return true
}

// checkReads checks that each read ran on a log with all the writes that its route
// guarantees it to see: those acknowledged before it began. Writes that a promotion
// removed from the leader's log are exempt. Logs are compared instead of values, since
// a write with an unknown outcome may take effect after a later write.
func (k *checker) checkReads(requests []request) {
	finalLog := k.leader.LogRequestIDs()
	indexInFinal := map[string]int{}
	for i, id := range finalLog {
		indexInFinal[id] = i
	}
	writes := slices.DeleteFunc(slices.Clone(requests), func(q request) bool {
		_, kept := indexInFinal[q.id]
		return !q.write || q.code != "" || !kept && k.rolledBack(q)
	})
	for _, q := range requests {
		s := k.server(q.serverID)
		if q.write || q.code != "" || s == nil {
			continue
		}
		length, last, ran := s.LogAtRun(q.id)
		if !ran {
			k.reportViolation("%s was answered by %s, but did not run there", q.id, s.ID)
			continue
		}
		onFinalLog := length == 0 || length <= len(finalLog) && finalLog[length-1] == last
		var entries map[string]bool
		if !onFinalLog {
			entries = s.EntriesAtRun(q.id)
		}
		for _, w := range writes {
			i, kept := indexInFinal[w.id]
			if !q.mustShow(w) || onFinalLog && kept && i < length || entries[w.id] {
				continue
			}
			k.reportViolation("stale read: %s ran on server %s through %s over route %s (transaction %t, begun %s) without the write %s of server %s through %s, acknowledged %v before it began", q.id, s.ID, q.vmName, q.route, q.transaction, q.begun.Format(timeFormat), w.id, w.serverID, w.vmName, q.begun.Sub(w.ended))
			break
		}
	}
}

// server returns the server with this ID; nil if it is in another group.
func (k *checker) server(id string) *site.Server {
	for _, s := range k.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// mustShow reports whether the route of the read q guarantees that q sees the write w.
func (q request) mustShow(w request) bool {
	switch {
	case strings.HasSuffix(q.route, "-own") && q.sessionID == w.sessionID:
		return w.ended.Before(q.begun)
	case strings.HasSuffix(q.route, "-current"):
		return w.ended.Before(q.begun)
	default:
		return w.ended.Before(q.begun.Add(-maxStaleness))
	}
}
