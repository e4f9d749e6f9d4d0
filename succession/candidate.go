package succession

import (
	"context"
	"slices"
	"time"

	"amaranthsill/pool"
)

// ranked is a target with its account of itself.
type ranked struct {
	pool.Target
	pool.Report
}

// candidate returns the target whose log reaches furthest.
func (v *move) candidate(ctx context.Context) (string, error) {
	deadline := v.Now() + catchUpLimit
	for {
		reports := v.ask(ctx)
		if len(reports) == 0 {
			return "", ErrNoCandidate
		}
		best := slices.MaxFunc(reports, compareRanked)
		v.lock.Lock()
		enough := !v.stepped || best.Received.Reaches(v.last)
		v.lock.Unlock()
		if enough {
			return best.ID, nil
		}
		if v.Now() > deadline {
			return v.keeps(best), nil
		}
		if err := sleep(ctx, retryPause); err != nil {
			return "", err
		}
	}
}

// compareRanked prefers targets that stay, then the longer log.
func compareRanked(a, b ranked) int {
	if a.Target.Draining != b.Target.Draining {
		if a.Target.Draining {
			return -1
		}
		return 1
	}
	return a.Received.Compare(b.Received)
}

// ask returns the accounts of the targets that answer. The old leader counts
// only if nothing else is left.
func (v *move) ask(ctx context.Context) []ranked {
	old, others := []pool.Target{}, []pool.Target{}
	for _, t := range v.Targets.Candidates(v.group) {
		if t.ID == v.old {
			old = append(old, t)
			continue
		}
		others = append(others, t)
	}
	if reports := v.askAll(ctx, others); len(reports) > 0 {
		return reports
	}
	return v.askAll(ctx, old)
}

func (v *move) askAll(ctx context.Context, targets []pool.Target) []ranked {
	answers := make(chan *ranked, len(targets))
	for _, t := range targets {
		go func() {
			r, err := v.order(ctx, t.ID, pool.Status{})
			if err != nil {
				v.Log.Info("target gave no status", "group", v.group, "target", t.ID, "reason", err.Error())
				answers <- nil
				return
			}
			answers <- &ranked{Target: t, Report: r}
		}()
	}
	reports := []ranked{}
	var late <-chan time.Time
	for range targets {
		select {
		case r := <-answers:
			if r != nil {
				reports = append(reports, *r)
				late = time.After(lateLimit)
			}
		case <-late:
			return reports
		}
	}
	return reports
}

// keeps returns the old leader if it alone holds what it acknowledged and may
// go on, so that promoting it again loses nothing.
func (v *move) keeps(best ranked) string {
	t := v.Targets.Candidates(v.group)
	i := slices.IndexFunc(t, func(t pool.Target) bool { return t.ID == v.old })
	if i < 0 || t[i].Draining {
		return best.ID
	}
	return v.old
}
