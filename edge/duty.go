package edge

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
)

// ErrPanic reports that a duty of the VM panicked.
var ErrPanic = errors.New("panic in a duty of the VM")

// dutyRestartDelay is the pause before a duty that panicked begins again.
const dutyRestartDelay = time.Second

// runDuty runs one of the VM's duties until the context ends. A duty that panics, as over
// an entry of the store that it cannot handle, begins again: the callers of the VM are
// served meanwhile.
func runDuty(ctx context.Context, log logr.Logger, name string, run func(context.Context)) {
	for ctx.Err() == nil {
		if runOnce(ctx, log, name, run) {
			return
		}
		sleep(ctx, dutyRestartDelay)
	}
}

// runOnce runs a duty once. It returns false if it panicked.
func runOnce(ctx context.Context, log logr.Logger, name string, run func(context.Context)) (ended bool) {
	defer func() {
		if reason := recover(); reason != nil {
			log.Error(ErrPanic, "duty begins again", "duty", name, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
		}
	}()
	run(ctx)
	return true
}
