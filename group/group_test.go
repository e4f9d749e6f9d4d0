package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/group"
)

func TestGroup(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "group")
}

var statuses = map[string]struct {
	text string
	good bool
}{
	"a replica":                  {text: "3 replica 3.17 3.15 40", good: true},
	"a primary":                  {text: "3 primary 3.17 3.17 0", good: true},
	"an unknown role":            {text: "3 king 3.17 3.17 0"},
	"a field too few":            {text: "3 replica 3.17 3.15"},
	"applied above received":     {text: "3 replica 3.15 3.17 0"},
	"entries above its own term": {text: "2 replica 3.17 3.15 0"},
	"a negative silence":         {text: "3 replica 3.17 3.15 -1"},
	"garbage":                    {text: "\x00\xff"},
	"nothing":                    {text: ""},
}

var _ = ginkgo.Describe("ParseStatus", func() {
	for name, c := range statuses {
		ginkgo.It(fmt.Sprintf("takes %s: %v", name, c.good), func() {
			s, err := group.ParseStatus(c.text)
			if !c.good {
				gomega.Expect(err).To(gomega.MatchError(group.ErrStatus))
				return
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(s.String()).To(gomega.Equal(c.text))
		})
	}
})

// bench drives one machine by hand.
type bench struct {
	machine *group.Machine
	now     time.Duration
	asks    map[string]uint64
	// polls are the long polls for a position that each target was sent.
	polls   map[string]uint64
	actions []group.Action
}

func newBench() *bench {
	b := &bench{asks: map[string]uint64{}, polls: map[string]uint64{}, machine: &group.Machine{
		Name: "g", VM: "v", Zone: "z0", Rank: -1, Limits: group.DefaultLimits(), Seed: 1, Strict: true,
	}}
	for i := range 3 {
		b.machine.Members = append(b.machine.Members, group.Member{Name: fmt.Sprint("t", i), Zone: fmt.Sprint("z", i), Connections: 2})
	}
	b.step(group.Configured{Members: b.machine.Members, Rank: 0})
	return b
}

func (b *bench) step(e group.Event) {
	b.actions = append([]group.Action{}, b.machine.Step(b.now, e)...)
	for _, a := range b.actions {
		q, ok := a.(group.Ask)
		switch {
		case !ok:
		case q.Received.IsZero() && q.Applied.IsZero():
			b.asks[q.Target] = q.Ask
		default:
			b.polls[q.Target] = q.Ask
		}
	}
}

// hear answers a target's newest status request.
func (b *bench) hear(target string, s group.Status) {
	b.step(group.Heard{Target: target, Ask: b.asks[target], Status: s})
}

// reach answers a target's newest long poll.
func (b *bench) reach(target string, s group.Status) {
	b.step(group.Heard{Target: target, Ask: b.polls[target], Status: s})
}

func (b *bench) notes() []group.NoteEvent {
	out := []group.NoteEvent{}
	for _, a := range b.actions {
		if n, ok := a.(group.Note); ok {
			out = append(out, n.Event)
		}
	}
	return out
}

func status(term group.Term, role group.Role, offset uint64) group.Status {
	p := group.At(term, offset)
	return group.NewStatus(term, role, p, p, 0)
}

var _ = ginkgo.Describe("A machine", func() {
	for name, second := range map[string]group.Status{
		"a lower term":                status(2, group.RoleReplica, 9),
		"a position that goes back":   status(3, group.RoleReplica, 4),
		"a lower term with a primary": status(1, group.RolePrimary, 90),
	} {
		ginkgo.It("sets aside a target that answers with "+name, func() {
			b := newBench()
			b.hear("t1", status(3, group.RoleReplica, 9))
			b.now += b.machine.Limits.Probe
			b.step(group.Ticked{})
			b.hear("t1", second)
			gomega.Expect(b.notes()).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(group.TargetSetAside{})))
		})
	}

	ginkgo.It("lets no events of unknown slots, runs and targets disturb it", func() {
		b := newBench()
		for _, e := range []group.Event{
			group.Dialed{Slot: 99},
			group.SlotLost{Slot: 99},
			group.Finished{Run: 99},
			group.Broke{Run: 99},
			group.Heard{Target: "nobody"},
			group.Unheard{Target: "nobody"},
			group.Commanded{Target: "nobody"},
			group.LeaseAnswered{Attempt: "old"},
			group.PeerSaw{Target: "nobody"},
			group.Vanished{Session: 99},
		} {
			b.step(e)
		}
	})

	ginkgo.It("answers at once what it gives up, and says when to come back", func() {
		b := newBench()
		b.machine.Limits.Queue = 1
		for id := uint64(1); id <= 2; id++ {
			b.step(group.Arrived{Request: group.Request{ID: id, Session: id, Deadline: time.Minute}})
		}
		gomega.Expect(b.actions).To(gomega.ContainElement(group.Answer{
			Request: 2,
			Ending:  group.Refused{Reason: group.ReasonQueueFull, RetryAfter: 101 * time.Millisecond},
		}))
	})

	ginkgo.It("refuses writes at once while a majority is out of reach", func() {
		b := newBench()
		for range 40 {
			b.now += 100 * time.Millisecond
			b.step(group.Ticked{})
		}
		b.step(group.Arrived{Request: group.Request{ID: 1, Session: 1, Deadline: b.now + time.Minute}})
		gomega.Expect(b.actions).To(gomega.ContainElement(group.Answer{
			Request: 1,
			Ending:  group.Refused{Reason: group.ReasonNoMajority, RetryAfter: time.Second},
		}))
	})
})

func FuzzParseStatus(f *testing.F) {
	for _, c := range statuses {
		f.Add(c.text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := group.ParseStatus(text)
		if err != nil {
			return
		}
		if again, err := group.ParseStatus(s.String()); err != nil || again != s {
			t.Fatalf("%q does not survive its own form: %v", text, err)
		}
	})
}

// serve makes t0 the primary, opens a slot there and sends a request that
// does not name itself a read.
func (b *bench) serve() (run uint64) {
	for i, role := range []group.Role{group.RolePrimary, group.RoleReplica, group.RoleReplica} {
		b.hear(fmt.Sprint("t", i), status(1, role, 9))
	}
	b.now += time.Millisecond
	b.step(group.Arrived{Request: group.Request{ID: 1, Session: 1, Deadline: b.now + time.Minute}})
	for _, a := range b.actions {
		if d, ok := a.(group.Dial); ok {
			b.step(group.Dialed{Slot: d.Slot})
		}
	}
	for _, a := range b.actions {
		if r, ok := a.(group.Run); ok {
			return r.Run
		}
	}
	ginkgo.Fail("the request was not sent")
	return 0
}

// opened opens the slots that are dialed and returns the run that follows.
func (b *bench) opened() group.Run {
	for _, a := range b.actions {
		if d, ok := a.(group.Dial); ok {
			b.step(group.Dialed{Slot: d.Slot})
		}
	}
	for _, a := range b.actions {
		if r, ok := a.(group.Run); ok {
			return r
		}
	}
	ginkgo.Fail("no request was sent")
	return group.Run{}
}

func (b *bench) endings() []group.Ending {
	out := []group.Ending{}
	for _, a := range b.actions {
		if e, ok := a.(group.Answer); ok {
			out = append(out, e.Ending)
		}
	}
	return out
}

var _ = ginkgo.Describe("A primary's answer", func() {
	read := group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9)}

	ginkgo.It("waits for a majority asked after the request came, although its position is covered", func() {
		b := newBench()
		run := b.serve()
		b.step(group.Finished{Run: run, Reply: read})
		gomega.Expect(b.endings()).To(gomega.BeEmpty())
		b.hear("t1", status(1, group.RoleReplica, 9))
		gomega.Expect(b.endings()).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(group.Done{})))
	})

	ginkgo.It("is not released once a majority has left the term", func() {
		b := newBench()
		run := b.serve()
		b.step(group.Finished{Run: run, Reply: read})
		b.hear("t1", group.NewStatus(2, group.RoleDetached, group.At(1, 9), group.At(1, 9), 0))
		gomega.Expect(b.endings()).To(gomega.BeEmpty())
		b.hear("t2", group.NewStatus(2, group.RoleDetached, group.At(1, 9), group.At(1, 9), 0))
		gomega.Expect(b.endings()).To(gomega.ConsistOf(group.Unknown{Reason: group.ReasonDeposed}))
	})

	ginkgo.It("to a write waits for a replica that holds it at the primary's term", func() {
		b := newBench()
		run := b.serve()
		b.step(group.Finished{Run: run, Reply: group.Reply{Status: status(1, group.RolePrimary, 10), First: group.At(1, 9), Wrote: true}})
		b.hear("t1", status(1, group.RoleReplica, 9))
		gomega.Expect(b.endings()).To(gomega.BeEmpty())
		b.hear("t2", status(2, group.RoleReplica, 12))
		gomega.Expect(b.endings()).To(gomega.BeEmpty())
		b.reach("t1", status(1, group.RoleReplica, 10))
		gomega.Expect(b.endings()).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(group.Done{})))
	})
})

var _ = ginkgo.Describe("A session whose transaction is rolled back", func() {
	ginkgo.It("goes on over another slot while the rollback is under way", func() {
		b := newBench()
		run := b.serve()
		b.step(group.Finished{Run: run, Reply: group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9), Open: true}})
		b.step(group.Vanished{Session: 1})
		rollback, first := uint64(0), uint64(0)
		for _, a := range b.actions {
			if r, ok := a.(group.Rollback); ok {
				rollback, first = r.Run, r.Slot
			}
		}
		gomega.Expect(rollback).NotTo(gomega.BeZero())
		b.step(group.Arrived{Request: group.Request{ID: 2, Session: 1, Deadline: b.now + time.Minute}})
		gomega.Expect(b.endings()).To(gomega.BeEmpty())
		second := b.opened()
		gomega.Expect(second.Slot).NotTo(gomega.Equal(first))
		b.step(group.Finished{Run: second.Run, Reply: group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9), Open: true}})
		b.step(group.Finished{Run: rollback, Reply: group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9)}})
		b.step(group.Arrived{Request: group.Request{ID: 3, Session: 1, Deadline: b.now + time.Minute}})
		gomega.Expect(b.actions).To(gomega.ContainElement(gomega.HaveField("Slot", second.Slot)))
	})

	ginkgo.It("is not told that its next transaction was lost with the rollback's connection", func() {
		b := newBench()
		run := b.serve()
		b.step(group.Finished{Run: run, Reply: group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9), Open: true}})
		b.step(group.Vanished{Session: 1})
		for _, a := range b.actions {
			if r, ok := a.(group.Rollback); ok {
				b.step(group.SlotLost{Slot: r.Slot})
			}
		}
		b.step(group.Arrived{Request: group.Request{ID: 2, Session: 1, Deadline: b.now + time.Minute}})
		gomega.Expect(b.endings()).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("A replica's answer", func() {
	for name, c := range map[string]struct {
		reply    group.Status
		first    group.Position
		released bool
	}{
		"at the session's floor":     {reply: status(1, group.RoleReplica, 9), first: group.At(1, 9), released: true},
		"below the session's floor":  {reply: status(1, group.RoleReplica, 9), first: group.At(1, 8)},
		"without its term's entry":   {reply: group.NewStatus(2, group.RoleReplica, group.At(1, 9), group.At(1, 9), 0), first: group.At(1, 9)},
		"of a target that lost role": {reply: group.NewStatus(2, group.RoleDetached, group.At(1, 9), group.At(1, 9), 0), first: group.At(1, 9)},
	} {
		ginkgo.It(fmt.Sprintf("%s is released: %v", name, c.released), func() {
			b := newBench()
			for i := range 3 {
				b.hear(fmt.Sprint("t", i), status(1, group.RoleReplica, 9))
			}
			b.now += time.Millisecond
			b.step(group.Arrived{Request: group.Request{ID: 1, Session: 1, Read: true, Known: true, Floor: group.At(1, 9), Deadline: b.now + time.Minute}})
			b.hear("t1", status(1, group.RoleReplica, 9))
			b.hear("t2", status(1, group.RoleReplica, 9))
			for _, a := range b.actions {
				if d, ok := a.(group.Dial); ok {
					b.step(group.Dialed{Slot: d.Slot})
				}
			}
			for _, a := range b.actions {
				if r, ok := a.(group.Run); ok {
					b.step(group.Finished{Run: r.Run, Reply: group.Reply{Status: c.reply, First: c.first}})
				}
			}
			if c.released {
				gomega.Expect(b.endings()).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(group.Done{})))
				return
			}
			gomega.Expect(b.endings()).To(gomega.BeEmpty())
		})
	}
})

var _ = ginkgo.Describe("A read with a stated age", func() {
	for name, c := range map[string]struct {
		took     time.Duration
		released bool
	}{
		"that was quick":                  {took: 100 * time.Millisecond, released: true},
		"that took longer than the age":   {took: 1500 * time.Millisecond},
		"that took just about the age":    {took: 1001 * time.Millisecond},
		"that took a little less than it": {took: 900 * time.Millisecond, released: true},
	} {
		ginkgo.It(fmt.Sprintf("%s is released: %v", name, c.released), func() {
			b := newBench()
			for i := range 3 {
				b.hear(fmt.Sprint("t", i), status(1, group.RoleReplica, 9))
			}
			b.step(group.Arrived{Request: group.Request{ID: 1, Session: 1, Read: true, Age: time.Second, Known: true, Deadline: b.now + time.Minute}})
			for _, a := range b.actions {
				if d, ok := a.(group.Dial); ok {
					b.step(group.Dialed{Slot: d.Slot})
				}
			}
			run := uint64(0)
			for _, a := range b.actions {
				if r, ok := a.(group.Run); ok {
					run = r.Run
				}
			}
			b.now += c.took
			b.step(group.Finished{Run: run, Reply: group.Reply{Status: status(1, group.RoleReplica, 9), First: group.At(1, 9)}})
			if c.released {
				gomega.Expect(b.endings()).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(group.Done{})))
				return
			}
			gomega.Expect(b.endings()).To(gomega.BeEmpty())
		})
	}
})
