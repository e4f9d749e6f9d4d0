package succession

import (
	"context"
	"fmt"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// move is one attempt to move a group's leadership.
type move struct {
	*Mover
	group  string
	record Record
	token  uint64
	begun  time.Duration
	old    string
	// last is the old leader's last position, if it stepped down.
	last    query.Position
	stepped bool
	// highest is the highest term that any target reported.
	highest uint64
}

func (v *move) run(ctx context.Context, from Lead) error {
	fenced, err := v.fence(ctx)
	if err != nil {
		return err
	}
	v.Log.Info("old leader can acknowledge nothing more", "group", v.group, "from", from.Target, "how", fenced, "took", (v.Now() - v.begun).String())
	target, err := v.promote(ctx)
	if err != nil {
		return err
	}
	if err := v.finish(ctx, target); err != nil {
		return err
	}
	v.Log.Info("leadership moved", "group", v.group, "from", from.Target, "to", target, "took", (v.Now() - v.begun).String())
	return nil
}

// claim writes that this VM moves the leadership.
func (v *move) claim(ctx context.Context, from Lead, still func(context.Context) bool) error {
	asked := v.Now()
	duty := make(chan dutyRead, 1)
	go func() { duty <- v.readDuty(ctx) }()
	r, err := v.read(ctx)
	if err != nil {
		return err
	}
	if r.Leads[v.group] != from {
		return ErrOvertaken
	}
	d := <-duty
	if d.err != nil {
		return d.err
	}
	if v.Now()-asked > claimLimit && !still(ctx) {
		return ErrNeedless
	}
	v.begun = v.Now()
	lead := Lead{Target: from.Target, Mover: v.writer()}
	v.record, err = v.write(ctx, r, r.With(v.group, lead), &d.item)
	if err != nil {
		return err
	}
	v.token = d.item.Revision
	if string(d.item.Value) != v.holder() {
		// The duty's key was written with the record.
		v.token = v.record.Revision
	}
	return nil
}

func (v *move) order(ctx context.Context, target string, o pool.Order) (pool.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	r, err := v.Targets.Order(ctx, v.group, target, o)
	if err != nil {
		return pool.Report{}, fmt.Errorf("order to %s: %w", target, err)
	}
	v.lock.Lock()
	v.highest = max(v.highest, r.Term)
	v.lock.Unlock()
	return r, nil
}

// tellLimit bounds the time in which other VMs are told of a new leader; those
// that are not hear of it from the store.
const tellLimit = 500 * time.Millisecond

// tell shows other VMs who leads now.
func (v *move) tell(r Record) {
	ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
	time.AfterFunc(tellLimit, cancel)
	v.Fleet.Yield(ctx, r)
}

// finish writes who leads now.
func (v *move) finish(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	for {
		r, err := v.read(ctx)
		if err == nil {
			if r.Leads[v.group].Mover != v.record.Leads[v.group].Mover {
				return ErrOvertaken
			}
			r, err = v.write(ctx, r, r.With(v.group, Lead{Target: target}), nil)
		}
		if err == nil {
			v.tell(r)
			return nil
		}
		v.Log.Info("new leader is not recorded yet", "group", v.group, "target", target, "reason", err.Error())
		if err := sleep(ctx, 2*retryPause); err != nil {
			return err
		}
	}
}
