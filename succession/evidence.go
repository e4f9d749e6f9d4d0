package succession

import (
	"context"
	"fmt"
	"slices"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// Where a group commits synchronously, an acknowledged commit is in the logs of at least
// SyncReplicas replicas, whichever these are. A move asks the replicas once no commit of the
// old leader can be acknowledged any more. If fewer than SyncReplicas of them have not told
// how far their logs reach, one that has told has the newest acknowledged commit. A log
// has all commits before each that it has, so the one that reaches furthest has every
// acknowledged commit. A replica that refuses the question because its slots are taken,
// or does not answer has not told; nor has one from before its last start, since it may have
// lost its log. A draining one counts like any other, and so does one whose entry is gone.
//
// Where too few have told, the VMs may know how far the acknowledged commits reach: a
// target whose log reaches as far has all of them, whatever the others hold.

// isSynchronous reports whether commits of the group are acknowledged only once a replica
// has received them.
func (v *move) isSynchronous() bool { return v.syncReplicas > 0 }

// reportsNeeded returns how many of the group's registered replicas have to tell how far
// their logs reach.
func (v *move) reportsNeeded(replicas int) int {
	if !v.isSynchronous() {
		return 1
	}
	return max(replicas-v.syncReplicas+1, 1)
}

// remember records how far the logs of replicas reach. What one has told stays valid if it
// cannot be asked later, or starts again without its log.
func (v *move) remember(reports []candidateReport) {
	for _, r := range reports {
		if p, told := v.reported[r.ID]; !told || r.Received.Reaches(p) {
			v.reported[r.ID] = r.Received
		}
	}
}

// holdsAcknowledged reports whether a target certainly has every acknowledged commit, or
// the group commits asynchronously, so that none has to.
func (v *move) holdsAcknowledged(c candidateReport) bool {
	if !v.isSynchronous() {
		return true
	}
	if !v.reachesReported(c.Received) {
		return false
	}
	if extent, known := v.extent(); known && c.Received.Reaches(extent) {
		return true
	}
	if !v.reachesDeparted(c.Received) {
		return false
	}
	return c.ID == v.oldLeader || v.coversOldLeader(c) || v.recalled && len(v.silentReplicas()) < v.syncReplicas
}

// recall takes in which targets departed before this VM started. Without that it cannot be
// known who has not told.
func (v *move) recall(ctx context.Context) {
	if v.recalled || !v.isSynchronous() {
		return
	}
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := v.Targets.Recall(limited, v.group); err != nil {
		v.Log.Info("targets that departed are not known; trying again", "group", v.group, "reason", err.Error())
		return
	}
	v.recalled = true
}

// reachesReported reports whether a log position includes all that replicas told of.
func (v *move) reachesReported(p query.Position) bool {
	for _, reported := range v.reported {
		if !p.Reaches(reported) {
			return false
		}
	}
	return true
}

// coversOldLeader reports whether a target has all that the old leader had when it stepped
// down. The position of an old leader that has less than a replica tells nothing: it has
// lost its log.
func (v *move) coversOldLeader(c candidateReport) bool {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.steppedDown && v.reachesReported(v.oldPosition) && v.reachesDeparted(v.oldPosition) && c.Received.Reaches(v.oldPosition)
}

// silentReplicas returns the replicas that may have acknowledged commits and have not told
// how far their logs reach.
func (v *move) silentReplicas() []string {
	silent := []string{}
	for _, t := range v.Targets.Candidates(v.group) {
		if _, told := v.reported[t.ID]; !told && t.ID != v.oldLeader {
			silent = append(silent, t.ID)
		}
	}
	for _, t := range v.Targets.Departed(v.group) {
		if t.ID != v.oldLeader && !v.told[departedStart{t.ID, t.Incarnation}] {
			silent = append(silent, fmt.Sprintf("%s as started at %d", t.ID, t.Incarnation))
		}
	}
	return silent
}

// awaitReports waits until the targets are to be asked again. In a group that commits
// synchronously it also asks the old leader, which has every acknowledged commit: one that
// crashed may be back. The error wraps ErrTooFewReports once the promotion window is over.
func (v *move) awaitReports(ctx context.Context) error {
	if !v.isSynchronous() {
		return sleep(ctx, retryInterval)
	}
	silent := v.silentReplicas()
	if v.Now()-v.startedAt > promotionWindow {
		return fmt.Errorf("replicas %v of %s do not tell: %w", silent, v.group, ErrTooFewReports)
	}
	if !v.waitLogged && len(silent) < v.syncReplicas && !v.highest.IsZero() {
		v.waitLogged = true
		v.Log.Info("a target that is not registered has more than those that are; waiting", "group", v.group, "received", v.highest.String())
	}
	if len(silent) >= v.syncReplicas && !v.waitLogged {
		v.waitLogged = true
		v.Log.Info("too few replicas tell how far their logs reach; waiting", "group", v.group, "silent", silent, "sync", v.syncReplicas)
	}
	v.askOldLeader(ctx)
	v.askExtent(ctx)
	return sleep(ctx, reportInterval)
}

// askOldLeader has the old leader step down if it answers, so that its last position is
// known.
func (v *move) askOldLeader(ctx context.Context) {
	v.lock.Lock()
	known := v.steppedDown
	v.lock.Unlock()
	targets := slices.Concat(v.Targets.Candidates(v.group), v.Targets.Departed(v.group), v.Targets.Ended(v.group))
	listed := slices.ContainsFunc(targets, func(t pool.Target) bool { return t.ID == v.oldLeader })
	if known || !listed || v.pending {
		return
	}
	r, err := v.demoteOnce(ctx, v.oldLeader)
	if err == nil && r.Role == pool.RoleReplica {
		v.setSteppedDown(r)
	}
}

// setSteppedDown records the report of the old leader after it has stepped down.
func (v *move) setSteppedDown(r pool.Report) {
	v.lock.Lock()
	v.steppedDown = true
	v.oldPosition = r.Received
	v.lock.Unlock()
	v.Log.Info("old leader is a replica", "group", v.group, "target", v.oldLeader, "term", r.Term, "received", r.Received.String())
}

// extentInterval is the least time between two questions to all VMs for how far the
// commits reach that they have acknowledged.
const extentInterval = time.Second

// commitExtent is a log position that includes every commit that was acknowledged before a
// row of moves, in an era of the store.
type commitExtent struct {
	row      string
	era      uint64
	position query.Position
}

// extent returns how far the acknowledged commits of the group reach; false if that is not
// known. It stays the same until a row of moves ends, since nobody leads before that.
func (v *move) extent() (query.Position, bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	e, known := v.extents[v.group]
	return e.position, known && e.row == v.record.Leads[v.group].Row() && e.era == v.record.Era
}

// askExtent asks all VMs how far the acknowledged commits of the group reach, once they
// acknowledge no more. An old leader that has stepped down is not enough: VMs may
// acknowledge what it had answered before.
func (v *move) askExtent(ctx context.Context) {
	select {
	case <-v.grantsGone:
	default:
		return
	}
	_, known := v.extent()
	if known || v.pending || v.extentAskedAt != 0 && v.Now()-v.extentAskedAt < extentInterval {
		return
	}
	v.extentAskedAt = max(v.Now(), 1)
	p, ok := v.Fleet.Acknowledged(ctx, v.group)
	if !ok {
		return
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.extents == nil {
		v.extents = map[string]commitExtent{}
	}
	v.extents[v.group] = commitExtent{row: v.record.Leads[v.group].Row(), era: v.record.Era, position: p}
	v.Log.Info("VMs tell how far the acknowledged commits reach", "group", v.group, "position", p.String())
}
