package succession

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"amaranthsill/pool"
	"amaranthsill/store"
)

// minSurvey is the least time for which other VMs are asked, so that a VM that learned
// of a loss long ago still asks them.
const minSurvey = 300 * time.Millisecond

// Settle writes the newest known record again after the store came back from an
// older copy of itself. Until then the store confirms no record: what it holds may
// lack a move that was under way or done when it was lost, and leases that ended may
// live again.
//
// It first asks all VMs for the newest record that they know, until all have answered
// or TakeOver has passed since this VM learned of the loss. By then no VM promotes a
// target under an earlier record: one that answered does not, and one that did not
// answer may not any more. A move that is in progress in the newest record stays so,
// and is taken over by another VM after TakeOver.
//
// The leaders are the targets that are registered as sole primaries, by group, and are
// empty for groups with several. They stand for groups that the newest record lacks.
// They also show leaders that no remaining record names, since the VMs that knew of the
// move were lost with the store: a group in which another target than the recorded
// leader has the highest term as a primary is marked as moving.
func (m *Mover) Settle(ctx context.Context, leaders map[string]string) error {
	stored, err := m.readRecord(ctx)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	era := m.Store.Era()
	if err == nil && m.Grants.isSettled(stored) {
		return nil
	}
	m.Grants.ObserveEra(era)
	_, _, since := m.Grants.Era()
	surveyCtx, cancel := context.WithTimeout(ctx, max(since+TakeOver-m.Now(), minSurvey))
	defer cancel()
	survey := m.Fleet.Survey(surveyCtx, era)
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("ask other VMs for the newest leader record: %w", err)
	}
	newest := m.Grants.Record()
	next := m.withReported(ctx, newest, leaders)
	if len(next.Leads) == 0 {
		return nil
	}
	written, err := m.writeRecord(ctx, stored, next, nil)
	if err != nil {
		return fmt.Errorf("write leader record in era %d: %w", era, err)
	}
	m.Log.Info("leader record was written again after the store came back from an older copy", "era", era, "record", written.Revision.String(), "newest", newest.Revision.String(), "all", survey.Complete, "remembered", survey.Remembers || m.Grants.ConfirmedSinceStart(), "took", (m.Now() - since).String())
	m.announce(written)
	return nil
}

// withReported returns the record with the reported leaders of groups that it lacks, and
// with the groups marked as moving in which another target leads. See Settle.
func (m *Mover) withReported(ctx context.Context, r Record, leaders map[string]string) Record {
	next := r
	deposed := m.deposedLeaders(ctx, r, leaders)
	for group, target := range leaders {
		l, ok := r.Leads[group]
		switch {
		case !ok && target != "":
			next = next.WithLead(group, Lead{Target: target})
		case deposed[group]:
			m.Log.Info("another target than the recorded leader leads; having its leadership moved", "group", group, "leader", l.Target, "reported", target)
			next = next.WithLead(group, Lead{Target: l.Target, Mover: m.nextWriterID()})
		}
	}
	return next
}

// deposedLeaders returns the groups of which another target leads than the recorded leader.
// It asks all groups' targets at the same time, so that those of one that do not answer
// delay no other group.
func (m *Mover) deposedLeaders(ctx context.Context, r Record, leaders map[string]string) map[string]bool {
	lock, wait, deposed := sync.Mutex{}, sync.WaitGroup{}, map[string]bool{}
	for group, target := range leaders {
		l, ok := r.Leads[group]
		if !ok || l.Target == target || l.Moving() {
			continue
		}
		wait.Go(func() {
			if !m.isDeposed(ctx, group, l.Target) {
				return
			}
			lock.Lock()
			defer lock.Unlock()
			deposed[group] = true
		})
	}
	wait.Wait()
	return deposed
}

// Stamp writes the record again if it names no era. A VM that starts after a loss would
// take such a record for one of the present era.
func (m *Mover) Stamp(ctx context.Context) error {
	r, err := m.readRecord(ctx)
	if err != nil || r.Era != 0 || m.Store.Era() == 0 {
		return err
	}
	_, err = m.writeRecord(ctx, r, r, nil)
	return err
}

// isDeposed reports whether a target other than the recorded leader is a primary of a
// higher term than the leader's, or is one while the leader does not answer or is none.
// The term of a replica may be as high as that of its successor, since the order to step
// down may have raised it.
func (m *Mover) isDeposed(ctx context.Context, group, leader string) bool {
	v := &move{Mover: m, group: group, oldLeader: leader}
	lock, wait := sync.Mutex{}, sync.WaitGroup{}
	leaderTerm, highest := uint64(0), uint64(0)
	for _, t := range m.Targets.Candidates(group) {
		wait.Go(func() {
			r, err := v.sendOrder(ctx, t.ID, pool.Status{})
			lock.Lock()
			defer lock.Unlock()
			switch {
			case err != nil:
				m.Log.Info("target did not return its status; its term is not known", "group", group, "target", t.ID, "reason", err.Error())
			case r.Role != pool.RolePrimary:
			case t.ID == leader:
				leaderTerm = r.Term
			default:
				highest = max(highest, r.Term)
			}
		})
	}
	wait.Wait()
	return highest > leaderTerm
}
