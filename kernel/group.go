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

// ringSize bounds the events that wait for a group's goroutine.
const ringSize = 1024

// Group is one group's decisions at work.
type Group struct {
	kernel  *Kernel
	name    string
	ctx     context.Context
	cancel  context.CancelFunc
	events  chan group.Event
	machine *group.Machine
	looked  time.Duration

	lock    sync.Mutex
	tasks   map[uint64]*Task
	targets map[string]manifest.Target
	view    View
}

// Task is one request on its way through a group.
type Task struct {
	// Kind is the kind as the manifest in force describes it.
	Kind manifest.Kind
	// Request is what the decisions need to know.
	Request group.Request
	// Batch is what the targets need to know.
	Batch *statement.Batch

	begun  time.Duration
	answer chan group.Ending
}

// Hears reports whether this VM has a recent answer of a target.
func (g *Group) Hears(target string) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.view.Hears[target]
}

// View is what a group's goroutine last knew, for status pages.
type View struct {
	// Primary and Term tell which target leads.
	Primary string
	Term    group.Term
	// Hears names the targets with a recent answer.
	Hears map[string]bool
}

// Name returns the group's name.
func (g *Group) Name() string { return g.name }

// View returns what the group's goroutine last knew.
func (g *Group) View() View {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.view
}

// Target returns a target of the group by name.
func (g *Group) Target(name string) (manifest.Target, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	t, ok := g.targets[name]
	return t, ok
}

// Post hands an event to the group's goroutine. It may block; drivers call
// it from goroutines of their own.
func (g *Group) Post(ctx context.Context, e group.Event) {
	select {
	case g.events <- e:
	case <-ctx.Done():
	case <-g.ctx.Done():
	}
}

// Submit starts a request. Its ending arrives on the returned channel.
func (g *Group) Submit(ctx context.Context, t *Task) <-chan group.Ending {
	t.answer = make(chan group.Ending, 1)
	t.begun = g.kernel.Now()
	g.lock.Lock()
	g.tasks[t.Request.ID] = t
	g.lock.Unlock()
	g.Post(ctx, group.Arrived{Request: t.Request})
	if g.ctx.Err() != nil {
		g.Answer(t.Request.ID, group.Refused{Reason: group.ReasonRetired, RetryAfter: retiredRetry})
	}
	return t.answer
}

// The times of a group that the manifest in force no longer names.
const (
	// retiredRetry is when its callers may come back.
	retiredRetry = time.Second
	// retireBound is how long its open transactions may go on.
	retireBound = 10 * time.Second
)

// retire gives the group's targets no new work, and ends what is left of it
// after a while.
func (g *Group) retire() {
	members := []group.Member{}
	g.lock.Lock()
	for _, t := range g.targets {
		members = append(members, group.Member{Name: t.Name(), Zone: t.Zone(), Leaving: true})
	}
	g.lock.Unlock()
	g.hand(group.Configured{Members: members, Rank: -1})
	time.AfterFunc(retireBound, g.cancel)
}

// abandon answers what a group that has ended will not answer any more.
func (g *Group) abandon() {
	g.lock.Lock()
	left := slices.Collect(maps.Keys(g.tasks))
	g.lock.Unlock()
	for _, id := range left {
		g.Answer(id, group.Unknown{Reason: group.ReasonRetired})
	}
}

// Vanish forgets a caller's session and what it still waits for.
func (g *Group) Vanish(ctx context.Context, session uint64) {
	g.lock.Lock()
	for id, t := range g.tasks {
		if t.Request.Session == session {
			delete(g.tasks, id)
		}
	}
	g.lock.Unlock()
	g.Post(ctx, group.Vanished{Session: session})
}

// Batch returns a running request's batch.
func (g *Group) Batch(request uint64) (*statement.Batch, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	t := g.tasks[request]
	if t == nil {
		return nil, false
	}
	return t.Batch, true
}

// Answer ends a request; the driver that serves callers calls it.
func (g *Group) Answer(request uint64, e group.Ending) {
	g.lock.Lock()
	t := g.tasks[request]
	delete(g.tasks, request)
	g.lock.Unlock()
	if t == nil {
		return
	}
	g.kernel.Meter.ended(g.name, t, e, g.kernel.Now()-t.begun)
	t.answer <- e
}

// Kernel returns the kernel that runs the group.
func (g *Group) Kernel() *Kernel { return g.kernel }

func (g *Group) learn(d manifest.Group) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, t := range d.Targets() {
		g.targets[t.Name()] = t
	}
}

func (g *Group) members(d manifest.Group) ([]group.Member, int) {
	members := []group.Member{}
	for _, t := range d.Targets() {
		connections, leaving := g.kernel.Share(t)
		members = append(members, group.Member{
			Name:        t.Name(),
			Zone:        t.Zone(),
			Connections: connections,
			Leaving:     leaving,
		})
	}
	return members, g.kernel.Rank(d.Name())
}

func (g *Group) configure(d manifest.Group) {
	g.learn(d)
	members, rank := g.members(d)
	g.hand(group.Configured{Members: members, Rank: rank})
}

// hand posts an event without waiting, since its caller holds the kernel's
// lock.
func (g *Group) hand(e group.Event) {
	select {
	case g.events <- e:
	default:
		go g.Post(g.ctx, e)
	}
}

// run is the group's goroutine: it steps the machine for each event and at
// the times that the machine asks for.
func (g *Group) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			g.abandon()
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

func (g *Group) step(ctx context.Context, e group.Event) {
	for _, a := range g.machine.Step(g.kernel.Now(), e) {
		g.carry(ctx, a)
	}
	g.look()
}

// lookPause is the least time between two looks at what the machine knows.
const lookPause = 50 * time.Millisecond

// look publishes what the machine knows.
func (g *Group) look() {
	now := g.kernel.Now()
	if now-g.looked < lookPause {
		return
	}
	g.looked = now
	v := View{Hears: map[string]bool{}}
	v.Primary, v.Term = g.machine.Primary()
	for _, m := range g.machine.Members {
		v.Hears[m.Name] = g.machine.Hears(m.Name)
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	g.view = v
}

func (g *Group) carry(ctx context.Context, a group.Action) {
	switch a := a.(type) {
	case group.Note:
		g.note(a.Event)
		return
	case group.Breach:
		g.kernel.Meter.breaches.WithLabelValues(g.name).Inc()
		g.kernel.Log.Error(nil, "invariant broken; report this as a bug", "group", g.name, "what", a.Text)
		return
	}
	for _, d := range g.kernel.drivers {
		if d.Carry(ctx, g, a) {
			return
		}
	}
	panic(fmt.Sprintf("kernel: no driver carries %T", a))
}

func (g *Group) note(e group.NoteEvent) {
	log := g.kernel.Log.WithValues("group", g.name)
	switch e := e.(type) {
	case group.TargetLost:
		log.Info("target does not answer over a fresh connection", "target", e.Target)
	case group.TargetBack:
		log.Info("target answers again", "target", e.Target)
	case group.TargetSetAside:
		g.kernel.Meter.setAside.WithLabelValues(g.name).Inc()
		log.Info("target contradicts its earlier status; set aside", "target", e.Target, "status", e.Status.String())
	case group.PromotionStarted:
		g.kernel.Meter.promotions.WithLabelValues(g.name, "started").Inc()
		log.Info("promotion started", "term", e.Term, "reason", e.Reason)
	case group.PromotionEnded:
		outcome := "failed"
		if e.Target != "" {
			outcome = "done"
		}
		g.kernel.Meter.promotions.WithLabelValues(g.name, outcome).Inc()
		log.Info("promotion ended", "term", e.Term, "target", e.Target, "reason", e.Reason)
	case group.PrimaryChanged:
		log.Info("primary changed", "target", e.Target, "term", e.Term)
	default:
		panic(fmt.Sprintf("kernel: unknown note %T", e))
	}
}
