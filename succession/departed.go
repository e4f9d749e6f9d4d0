package succession

import (
	"context"
	"slices"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// A target whose entry is gone may only be cut off from the store, and still receive commits.
// So a move of a group that commits synchronously asks the targets that departed as well. One
// that answers has told how far its log reaches. It cannot be promoted, since no VM would use
// it, but a target with less is not promoted either unless the VMs know that it has all that
// was acknowledged.

// departedReports are what targets that are registered no more have told. Only the move's own
// goroutine uses them.
type departedReports struct {
	// answers receives the outcomes of the questions, of which asked holds those under way
	// by target.
	answers chan departedAnswer
	asked   map[string]bool
	// told holds the starts that have told, and highest how far their logs reach.
	told    map[departedStart]bool
	highest query.Position
}

// departedStart is one start of a target.
type departedStart struct {
	id          string
	incarnation int64
}

// departedAnswer is the outcome of a question to a target; ok is false if it did not answer.
type departedAnswer struct {
	target   pool.Target
	received query.Position
	ok       bool
}

func newDepartedReports() departedReports {
	return departedReports{answers: make(chan departedAnswer), asked: map[string]bool{}, told: map[departedStart]bool{}}
}

// askDeparted asks the targets that are registered no more for their reports in the
// background, unless a question to them is under way.
func (v *move) askDeparted(ctx context.Context) {
	if !v.isSynchronous() {
		return
	}
	for id, t := range v.latestDeparted() {
		if v.asked[id] {
			continue
		}
		v.asked[id] = true
		answers := v.answers
		go func() {
			r, err := v.sendOrder(ctx, id, pool.Status{})
			select {
			case answers <- departedAnswer{target: t, received: r.Received, ok: err == nil}:
			case <-ctx.Done():
			}
		}()
	}
}

// latestDeparted returns the latest start of each departed target that is not registered
// under another one, except the old leader.
func (v *move) latestDeparted() map[string]pool.Target {
	latest := map[string]pool.Target{}
	for _, t := range slices.Concat(v.Targets.Departed(v.group), v.Targets.Ended(v.group)) {
		if l, known := latest[t.ID]; t.ID != v.oldLeader && (!known || t.Incarnation > l.Incarnation) {
			latest[t.ID] = t
		}
	}
	for _, t := range v.Targets.Candidates(v.group) {
		delete(latest, t.ID)
	}
	return latest
}

// awaitDeparted takes in the answers to askDeparted that arrive within departedTimeout.
func (v *move) awaitDeparted() {
	if len(v.asked) == 0 {
		return
	}
	limit := time.NewTimer(departedTimeout)
	defer limit.Stop()
	for len(v.asked) > 0 {
		select {
		case a := <-v.answers:
			v.recordDeparted(a)
		case <-limit.C:
			return
		}
	}
}

func (v *move) recordDeparted(a departedAnswer) {
	delete(v.asked, a.target.ID)
	if !a.ok || !v.Targets.KeptLog(a.target, a.received) {
		return
	}
	s := departedStart{a.target.ID, a.target.Incarnation}
	if !v.told[s] {
		v.Log.Info("target that is not registered tells how far its log reaches", "group", v.group, "target", s.id, "received", a.received.String())
	}
	v.told[s] = true
	if a.received.Compare(v.highest) > 0 {
		v.highest = a.received
	}
}

// reachesDeparted reports whether a log position includes all that departed targets told of.
func (v *move) reachesDeparted(p query.Position) bool { return p.Reaches(v.highest) }
