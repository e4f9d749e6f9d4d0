package edge

import (
	"context"
	"time"
)

// Shares of the grace period after which a VM that stops ends what is left, as fractions of
// stopParts.
const (
	stopParts = 120
	// callersPart is the longest time for which callers are accepted.
	callersPart = 48
	// transactionsPart is how long open transactions may go on.
	transactionsPart = 60
	// waitingPart is how long statements may wait for a target. A target has the time up to
	// cutOffPart to answer what was sent before.
	waitingPart = 96
	// cutOffPart is how long answers are awaited. A target that is done by five sixths of
	// the grace period is in time, and its answer still has to travel between regions.
	cutOffPart = 110
	// exitPart is when the VM gives up its remaining calls to exit.
	exitPart = 114
)

// LogTimeout is how long the exit of a VM may wait for its log to be written. With the
// shortest grace period, that much is left after exitPart.
const LogTimeout = minGrace * (stopParts - exitPart) / stopParts * 4 / 5

// idleCheckInterval is the time between two checks whether moves of leaderships have ended.
const idleCheckInterval = 20 * time.Millisecond

// stopSchedule tells how long after the begin of a VM's stop it does each step.
type stopSchedule struct {
	closeCallers      time.Duration
	abortTransactions time.Duration
	endWaiting        time.Duration
	cutOff            time.Duration
	exit              time.Duration
}

// newStopSchedule returns the schedule of a stop that may take as long as grace.
func newStopSchedule(grace time.Duration) stopSchedule {
	share := func(part time.Duration) time.Duration { return grace * part / stopParts }
	return stopSchedule{
		closeCallers:      min(balancerDelay, share(callersPart)),
		abortTransactions: share(transactionsPart),
		endWaiting:        share(waitingPart),
		cutOff:            share(cutOffPart),
		exit:              share(exitPart),
	}
}

// stop reports the VM as not ready, waits until callers are no longer sent to it, lets
// sessions end between operations, and rolls back the transactions that are still open after
// half of the grace period. It waits for the answers to statements that were sent to targets
// and for moves of leaderships that have begun. Statements that are left at the end are
// answered without the target's answer, so that each request has a complete one.
func (v *VM) stop(ctx context.Context, r *registrar) {
	startedAt := v.Now()
	schedule := newStopSchedule(v.settings().Grace())
	left := func(step time.Duration) time.Duration { return max(step-(v.Now()-startedAt), 0) }
	v.stopping.Store(true)
	v.relays.Leave()
	v.Log.Info("VM is stopping", "sessions", v.front.Sessions())
	sleep(ctx, left(schedule.closeCallers))
	if v.callers != nil {
		// The process is about to exit, which closes the listener in any case.
		_ = v.callers.Close()
	}
	v.movesEnding.Store(true)
	exitCtx, cancelExit := context.WithTimeout(ctx, left(schedule.exit))
	defer cancelExit()
	drainCtx, cancelDrain := context.WithTimeout(exitCtx, left(schedule.cutOff))
	defer cancelDrain()
	abort := time.AfterFunc(left(schedule.abortTransactions), v.front.AbortTransactions)
	defer abort.Stop()
	endWaiting := time.AfterFunc(left(schedule.endWaiting), func() {
		v.front.EndWaiting()
		v.relays.EndTransactions()
	})
	defer endWaiting.Stop()
	v.drain(drainCtx)
	v.Log.Info("sessions drained", "left", v.front.Sessions(), "took", (v.Now() - startedAt).String())
	v.front.CutOff(exitCtx)
	deregisterCtx, cancelDeregister := context.WithTimeout(exitCtx, deregisterTimeout)
	defer cancelDeregister()
	r.deregister(deregisterCtx)
}

// drain returns once all sessions, links of other VMs and moves of leaderships have ended,
// or the context has.
func (v *VM) drain(ctx context.Context) {
	relayed := make(chan struct{})
	go func() {
		defer close(relayed)
		v.relays.Drain(ctx)
	}()
	v.front.Drain(ctx)
	<-relayed
	for ctx.Err() == nil && !v.mover.Idle() {
		sleep(ctx, idleCheckInterval)
	}
}
