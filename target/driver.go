package target

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amaranthsill/group"
	"amaranthsill/kernel"
)

func init() {
	kernel.Register("target", func(context.Context, *kernel.Kernel, kernel.Dependencies) (kernel.Driver, error) {
		return &driver{slots: map[slotKey]*slot{}, controls: map[controlKey]*control{}}, nil
	})
}

// driver is a kernel.Driver that executes actions on targets.
type driver struct {
	// lock guards slots and controls.
	lock     sync.Mutex
	slots    map[slotKey]*slot
	controls map[controlKey]*control
}

// slotKey identifies a slot. Slot IDs are unique within a group only.
type slotKey struct {
	group *kernel.Group
	slot  uint64
}

// Perform implements kernel.Driver.
func (d *driver) Perform(ctx context.Context, g *kernel.Group, a group.Action) bool {
	switch a := a.(type) {
	case group.Dial:
		d.openSlot(ctx, g, a)
	case group.CloseSlot:
		d.closeSlot(slotKey{group: g, slot: a.Slot})
	case group.Run:
		d.run(ctx, g, a)
	case group.Rollback:
		d.rollback(ctx, g, a)
	case group.RequestStatus:
		d.requestStatus(ctx, g, a)
	case group.Fence:
		call := fmt.Sprintf("select group_fence(%d, %s)", a.Term, quote(a.Attempt))
		go d.runCommand(ctx, g, a.Target, a.Attempt, call)
	case group.Promote:
		call := fmt.Sprintf("select group_promote(%d, %s)", a.Term, quote(a.Attempt))
		go d.runCommand(ctx, g, a.Target, a.Attempt, call)
	case group.Follow:
		primary, _ := g.Target(a.Primary)
		call := fmt.Sprintf("select group_follow(%d, %s)", a.Term, quote(primary.Address().String()))
		go d.runCommand(ctx, g, a.Target, "", call)
	default:
		return false
	}
	return true
}

// runCommand executes a command, which is a control call that changes the target
// (group_fence, group_promote or group_follow), over a new connection and
// reports its result as group.CommandAnswered.
func (d *driver) runCommand(ctx context.Context, g *kernel.Group, name, attempt, call string) {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e := group.CommandAnswered{Target: name, Attempt: attempt}
	s, err := d.commandStatus(ctx, g, name, call)
	if err != nil {
		g.Kernel().Log.V(1).Info("control call failed", "target", name, "call", call, "error", err.Error())
	}
	e.Done = err == nil
	e.Status = s
	g.Post(ctx, e)
}

// commandStatus executes a command over a new connection and returns the status
// with which the target answered it.
func (d *driver) commandStatus(ctx context.Context, g *kernel.Group, name, call string) (group.Status, error) {
	t, _ := g.Target(name)
	c, err := dial(ctx, t.Address(), g.Name(), true)
	if err != nil {
		return group.Status{}, fmt.Errorf("open control connection: %w", err)
	}
	defer c.terminate()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	return c.queryStatus(call)
}
