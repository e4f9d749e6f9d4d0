package kernel

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"amaranthsill/group"
	"amaranthsill/manifest"
	"amaranthsill/statement"
)

// eventQueueSize is the capacity of the channel of events waiting for a
// group's goroutine.
const eventQueueSize = 1024

// Group runs the state machine of one database group in a goroutine of its own
// and keeps the requests that are in flight.
type Group struct {
	kernel        *Kernel
	name          string
	ctx           context.Context
	cancel        context.CancelFunc
	events        chan group.Event
	machine       *group.Machine
	viewPublished time.Duration

	// lock guards the fields below.
	lock    sync.Mutex
	tasks   map[uint64]*Task
	targets map[string]manifest.Target
	view    View
}

// Task is one request in flight through a group.
type Task struct {
	// Kind is the request's kind as the manifest in force defines it.
	Kind manifest.Kind
	// Request is the input of the state machine.
	Request group.Request
	// Batch holds the messages that are sent to the target.
	Batch *statement.Batch

	submittedAt time.Duration
	ending      chan group.Ending
}

// Responsive reports whether the latest View shows a recent answer from the
// target.
func (g *Group) Responsive(target string) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.view.Responsive[target]
}

// View is a snapshot of the state machine, published for readers outside the
// group's goroutine. It is refreshed at most once per viewInterval.
type View struct {
	// Primary is the target that leads the group, and Term is its term.
	Primary string
	Term    group.Term
	// Responsive tells, by target name, whether this VM has a recent answer
	// from the target.
	Responsive map[string]bool
}

// Name returns the group's name.
func (g *Group) Name() string { return g.name }

// View returns the latest published snapshot of the state machine.
func (g *Group) View() View {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.view
}

// Target returns the group's target of that name, and whether there is one.
// Targets that a later manifest removed are still found.
func (g *Group) Target(name string) (manifest.Target, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	t, ok := g.targets[name]
	return t, ok
}

// Post queues an event for the group's goroutine. It blocks while the queue is
// full, until ctx or the group ends; the event is then dropped. Drivers must
// therefore call it from a goroutine of their own.
func (g *Group) Post(ctx context.Context, e group.Event) {
	select {
	case g.events <- e:
	case <-ctx.Done():
	case <-g.ctx.Done():
	}
}

// Submit starts a request and returns the channel that receives its ending. It
// blocks while the queue of events is full. If the group has been removed from
// the manifest and has stopped, the ending is Refused with ReasonRetired.
func (g *Group) Submit(ctx context.Context, t *Task) <-chan group.Ending {
	t.ending = make(chan group.Ending, 1)
	t.submittedAt = g.kernel.Now()
	g.lock.Lock()
	g.tasks[t.Request.ID] = t
	g.lock.Unlock()
	g.Post(ctx, group.Arrived{Request: t.Request})
	if g.ctx.Err() != nil {
		g.Answer(t.Request.ID, group.Refused{Reason: group.ReasonRetired, RetryAfter: retiredRetryAfter})
	}
	return t.ending
}

// Delays of a group that the manifest in force no longer names.
const (
	// retiredRetryAfter is the retry delay told to callers whose request came
	// too late.
	retiredRetryAfter = time.Second
	// retireTimeout is how long open transactions may continue before the
	// group's goroutine is stopped.
	retireTimeout = 10 * time.Second
)

// retire marks all targets as leaving, so that they get no new work, and stops
// the group's goroutine after retireTimeout.
func (g *Group) retire() {
	members := []group.Member{}
	g.lock.Lock()
	for _, t := range g.targets {
		members = append(members, group.Member{Name: t.Name(), Zone: t.Zone(), Leaving: true})
	}
	g.lock.Unlock()
	g.postAsync(group.Configured{Members: members, Rank: -1})
	time.AfterFunc(retireTimeout, g.cancel)
}

// failPending ends all requests still in flight as Unknown, since the stopped
// goroutine cannot report whether they ran.
func (g *Group) failPending() {
	g.lock.Lock()
	pending := slices.Collect(maps.Keys(g.tasks))
	g.lock.Unlock()
	for _, id := range pending {
		g.Answer(id, group.Unknown{Reason: group.ReasonRetired})
	}
}

// EndSession drops a session's requests in flight without an ending and tells
// the state machine that the session has ended.
func (g *Group) EndSession(ctx context.Context, session uint64) {
	g.lock.Lock()
	for id, t := range g.tasks {
		if t.Request.Session == session {
			delete(g.tasks, id)
		}
	}
	g.lock.Unlock()
	g.Post(ctx, group.SessionEnded{Session: session})
}

// Batch returns the batch of a request in flight, and whether the request is
// known.
func (g *Group) Batch(id uint64) (*statement.Batch, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	t := g.tasks[id]
	if t == nil {
		return nil, false
	}
	return t.Batch, true
}

// Answer delivers a request's ending and counts it in the metrics. A request
// that is unknown or already ended is ignored. The driver that serves callers
// calls it.
func (g *Group) Answer(id uint64, e group.Ending) {
	g.lock.Lock()
	t := g.tasks[id]
	delete(g.tasks, id)
	g.lock.Unlock()
	if t == nil {
		return
	}
	g.kernel.Metrics.observe(g.name, t, e, g.kernel.Now()-t.submittedAt)
	t.ending <- e
}

// Kernel returns the kernel that runs the group.
func (g *Group) Kernel() *Kernel { return g.kernel }

// addTargets stores the targets of a group's definition. Targets that it does
// not list are kept, since connections to them may still be open.
func (g *Group) addTargets(d manifest.Group) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, t := range d.Targets() {
		g.targets[t.Name()] = t
	}
}

// membership returns the group's targets with this VM's share of their
// connections, and this VM's rank among the VMs that watch the group.
func (g *Group) membership(d manifest.Group) ([]group.Member, int) {
	members := []group.Member{}
	for _, t := range d.Targets() {
		connections, leaving := g.kernel.ConnectionShare(t)
		members = append(members, group.Member{
			Name:        t.Name(),
			Zone:        t.Zone(),
			Connections: connections,
			Leaving:     leaving,
		})
	}
	return members, g.kernel.Rank(d.Name())
}

// configure passes a new definition of the group, with the present connection
// shares and rank, to the state machine.
func (g *Group) configure(d manifest.Group) {
	g.addTargets(d)
	members, rank := g.membership(d)
	g.postAsync(group.Configured{Members: members, Rank: rank})
}

// postAsync queues an event without blocking: the callers hold the kernel's
// lock. If the queue is full, a new goroutine posts the event.
func (g *Group) postAsync(e group.Event) {
	select {
	case g.events <- e:
	default:
		go g.Post(g.ctx, e)
	}
}

// run is the group's goroutine. It steps the state machine for each event and
// at the times that the machine asks for, until ctx ends.
func (g *Group) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			g.failPending()
			return
		case e := <-g.events:
			g.step(ctx, e)
		case <-timer.C:
			g.step(ctx, group.Ticked{})
		}
		now := g.kernel.Now()
		timer.Reset(g.machine.Next(now) - now)
	}
}

// step passes one event to the state machine, performs the resulting actions and
// refreshes the View.
func (g *Group) step(ctx context.Context, e group.Event) {
	for _, a := range g.machine.Step(g.kernel.Now(), e) {
		g.dispatch(ctx, a)
	}
	g.publishView()
}

// viewInterval is the minimum time between two refreshes of a group's View.
const viewInterval = 50 * time.Millisecond

// publishView refreshes the group's View unless that was done less than
// viewInterval ago.
func (g *Group) publishView() {
	now := g.kernel.Now()
	if now-g.viewPublished < viewInterval {
		return
	}
	g.viewPublished = now
	v := View{Responsive: map[string]bool{}}
	v.Primary, v.Term = g.machine.Primary()
	for _, m := range g.machine.Members {
		v.Responsive[m.Name] = g.machine.Responsive(m.Name)
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	g.view = v
}

// dispatch performs one action: notes and breaches here, all others through
// the driver that accepts them. It panics if no driver does.
func (g *Group) dispatch(ctx context.Context, a group.Action) {
	switch a := a.(type) {
	case group.Note:
		g.recordNote(a.Event)
		return
	case group.Breach:
		g.kernel.Metrics.invariantBreaches.WithLabelValues(g.name).Inc()
		g.kernel.Log.Error(nil, "internal invariant violated; report this as a bug", "group", g.name, "what", a.Text)
		return
	}
	for _, d := range g.kernel.drivers {
		if d.Perform(ctx, g, a) {
			return
		}
	}
	panic(fmt.Sprintf("kernel: no driver performs %T", a))
}

// recordNote logs a note of the state machine and counts it in the metrics.
func (g *Group) recordNote(e group.NoteEvent) {
	log := g.kernel.Log.WithValues("group", g.name)
	switch e := e.(type) {
	case group.TargetLost:
		log.Info("target does not answer over a new connection; treating it as unreachable", "target", e.Target)
	case group.TargetBack:
		log.Info("target is reachable again", "target", e.Target)
	case group.TargetSetAside:
		g.kernel.Metrics.statusConflicts.WithLabelValues(g.name).Inc()
		log.Info("target status contradicts an earlier one; treating it as a failed status request", "target", e.Target, "status", e.Status.String())
	case group.PromotionStarted:
		g.kernel.Metrics.promotions.WithLabelValues(g.name, "started").Inc()
		log.Info("promotion started", "term", e.Term, "reason", e.Reason)
	case group.PromotionEnded:
		outcome := "failed"
		if e.Target != "" {
			outcome = "done"
		}
		g.kernel.Metrics.promotions.WithLabelValues(g.name, outcome).Inc()
		log.Info("promotion ended", "term", e.Term, "target", e.Target, "reason", e.Reason)
	case group.PrimaryChanged:
		log.Info("primary changed", "target", e.Target, "term", e.Term)
	default:
		panic(fmt.Sprintf("kernel: unknown note %T", e))
	}
}
