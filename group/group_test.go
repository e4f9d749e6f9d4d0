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
	text  string
	valid bool
}{
	"a replica":                  {text: "3 replica 3.17 3.15 40", valid: true},
	"a primary":                  {text: "3 primary 3.17 3.17 0", valid: true},
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
		ginkgo.It(fmt.Sprintf("accepts %s: %v", name, c.valid), func() {
			s, err := group.ParseStatus(c.text)
			if !c.valid {
				gomega.Expect(err).To(gomega.MatchError(group.ErrStatus))
				return
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(s.String()).To(gomega.Equal(c.text))
		})
	}
})

// harness drives one Machine event by event.
type harness struct {
	machine *group.Machine
	now     time.Duration
	// probes holds the number of the newest probe to each target.
	probes map[string]uint64
	// longPolls holds the number of the newest long poll to each target.
	longPolls map[string]uint64
	actions   []group.Action
}

// newHarness returns a machine that monitors a group of three targets, each
// in its own zone.
func newHarness() *harness {
	h := &harness{probes: map[string]uint64{}, longPolls: map[string]uint64{}, machine: &group.Machine{
		Name: "g", VM: "v", Zone: "z0", Rank: -1, Limits: group.DefaultLimits(), Seed: 1, Strict: true,
	}}
	for i := range 3 {
		h.machine.Members = append(h.machine.Members, group.Member{Name: fmt.Sprint("t", i), Zone: fmt.Sprint("z", i), Connections: 2})
	}
	h.step(group.Configured{Members: h.machine.Members, Rank: 0})
	return h
}

func (h *harness) step(e group.Event) {
	h.actions = append([]group.Action{}, h.machine.Step(h.now, e)...)
	for _, a := range h.actions {
		q, ok := a.(group.RequestStatus)
		switch {
		case !ok:
		case q.Received.IsZero() && q.Applied.IsZero():
			h.probes[q.Target] = q.Number
		default:
			h.longPolls[q.Target] = q.Number
		}
	}
}

// answerProbe answers the newest probe to a target.
func (h *harness) answerProbe(target string, s group.Status) {
	h.step(group.StatusReceived{Target: target, Number: h.probes[target], Status: s})
}

// answerLongPoll answers the newest long poll to a target.
func (h *harness) answerLongPoll(target string, s group.Status) {
	h.step(group.StatusReceived{Target: target, Number: h.longPolls[target], Status: s})
}

func (h *harness) notes() []group.NoteEvent {
	out := []group.NoteEvent{}
	for _, a := range h.actions {
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
		"a lower term":                      status(2, group.RoleReplica, 9),
		"a lower position in the same term": status(3, group.RoleReplica, 4),
		"a lower term with a primary":       status(1, group.RolePrimary, 90),
	} {
		ginkgo.It("ignores the status of a target that answers with "+name, func() {
			h := newHarness()
			h.answerProbe("t1", status(3, group.RoleReplica, 9))
			h.now += h.machine.Limits.ProbeInterval
			h.step(group.Ticked{})
			h.answerProbe("t1", second)
			gomega.Expect(h.notes()).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(group.TargetSetAside{})))
		})
	}

	ginkgo.It("ignores events of unknown slots, runs and targets", func() {
		h := newHarness()
		for _, e := range []group.Event{
			group.Dialed{Slot: 99},
			group.SlotLost{Slot: 99},
			group.Finished{Run: 99},
			group.RunFailed{Run: 99},
			group.StatusReceived{Target: "nobody"},
			group.StatusFailed{Target: "nobody"},
			group.CommandAnswered{Target: "nobody"},
			group.LeaseAnswered{Attempt: "old"},
			group.PeerReported{Target: "nobody"},
			group.SessionEnded{Session: 99},
		} {
			h.step(e)
		}
	})

	ginkgo.It("refuses a request at once when the queue is full, and says when to retry", func() {
		h := newHarness()
		h.machine.Limits.QueueLength = 1
		for id := uint64(1); id <= 2; id++ {
			h.step(group.Arrived{Request: group.Request{ID: id, Session: id, Deadline: time.Minute}})
		}
		gomega.Expect(h.actions).To(gomega.ContainElement(group.Answer{
			Request: 2,
			Ending:  group.Refused{Reason: group.ReasonQueueFull, RetryAfter: 101 * time.Millisecond},
		}))
	})

	ginkgo.It("refuses writes at once while a majority is unreachable", func() {
		h := newHarness()
		for range 40 {
			h.now += 100 * time.Millisecond
			h.step(group.Ticked{})
		}
		h.step(group.Arrived{Request: group.Request{ID: 1, Session: 1, Deadline: h.now + time.Minute}})
		gomega.Expect(h.actions).To(gomega.ContainElement(group.Answer{
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
			t.Fatalf("status %q differs after formatting and parsing: %v", text, err)
		}
	})
}

// startRequest makes t0 the primary, opens a slot there and sends a request
// that is not marked as a read. It returns the run.
func (h *harness) startRequest() (run uint64) {
	for i, role := range []group.Role{group.RolePrimary, group.RoleReplica, group.RoleReplica} {
		h.answerProbe(fmt.Sprint("t", i), status(1, role, 9))
	}
	h.now += time.Millisecond
	h.step(group.Arrived{Request: group.Request{ID: 1, Session: 1, Deadline: h.now + time.Minute}})
	for _, a := range h.actions {
		if d, ok := a.(group.Dial); ok {
			h.step(group.Dialed{Slot: d.Slot})
		}
	}
	for _, a := range h.actions {
		if r, ok := a.(group.Run); ok {
			return r.Run
		}
	}
	ginkgo.Fail("the request was not sent")
	return 0
}

// openSlots opens the slots that are being dialed and returns the run that
// follows.
func (h *harness) openSlots() group.Run {
	for _, a := range h.actions {
		if d, ok := a.(group.Dial); ok {
			h.step(group.Dialed{Slot: d.Slot})
		}
	}
	for _, a := range h.actions {
		if r, ok := a.(group.Run); ok {
			return r
		}
	}
	ginkgo.Fail("no request was sent")
	return group.Run{}
}

func (h *harness) endings() []group.Ending {
	out := []group.Ending{}
	for _, a := range h.actions {
		if e, ok := a.(group.Answer); ok {
			out = append(out, e.Ending)
		}
	}
	return out
}

var _ = ginkgo.Describe("A primary's answer", func() {
	read := group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9)}

	ginkgo.It("waits for a majority asked after the request arrived, even if a majority already holds its position", func() {
		h := newHarness()
		run := h.startRequest()
		h.step(group.Finished{Run: run, Reply: read})
		gomega.Expect(h.endings()).To(gomega.BeEmpty())
		h.answerProbe("t1", status(1, group.RoleReplica, 9))
		gomega.Expect(h.endings()).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(group.Done{})))
	})

	ginkgo.It("is not released once a majority has accepted a higher term", func() {
		h := newHarness()
		run := h.startRequest()
		h.step(group.Finished{Run: run, Reply: read})
		h.answerProbe("t1", group.NewStatus(2, group.RoleDetached, group.At(1, 9), group.At(1, 9), 0))
		gomega.Expect(h.endings()).To(gomega.BeEmpty())
		h.answerProbe("t2", group.NewStatus(2, group.RoleDetached, group.At(1, 9), group.At(1, 9), 0))
		gomega.Expect(h.endings()).To(gomega.ConsistOf(group.Unknown{Reason: group.ReasonDeposed}))
	})

	ginkgo.It("to a write waits until a replica holds it in the primary's term", func() {
		h := newHarness()
		run := h.startRequest()
		h.step(group.Finished{Run: run, Reply: group.Reply{Status: status(1, group.RolePrimary, 10), First: group.At(1, 9), Wrote: true}})
		h.answerProbe("t1", status(1, group.RoleReplica, 9))
		gomega.Expect(h.endings()).To(gomega.BeEmpty())
		h.answerProbe("t2", status(2, group.RoleReplica, 12))
		gomega.Expect(h.endings()).To(gomega.BeEmpty())
		h.answerLongPoll("t1", status(1, group.RoleReplica, 10))
		gomega.Expect(h.endings()).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(group.Done{})))
	})
})

var _ = ginkgo.Describe("A session whose transaction is rolled back", func() {
	ginkgo.It("continues on another slot while the rollback is in flight", func() {
		h := newHarness()
		run := h.startRequest()
		h.step(group.Finished{Run: run, Reply: group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9), Open: true}})
		h.step(group.SessionEnded{Session: 1})
		rollback, first := uint64(0), uint64(0)
		for _, a := range h.actions {
			if r, ok := a.(group.Rollback); ok {
				rollback, first = r.Run, r.Slot
			}
		}
		gomega.Expect(rollback).NotTo(gomega.BeZero())
		h.step(group.Arrived{Request: group.Request{ID: 2, Session: 1, Deadline: h.now + time.Minute}})
		gomega.Expect(h.endings()).To(gomega.BeEmpty())
		second := h.openSlots()
		gomega.Expect(second.Slot).NotTo(gomega.Equal(first))
		h.step(group.Finished{Run: second.Run, Reply: group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9), Open: true}})
		h.step(group.Finished{Run: rollback, Reply: group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9)}})
		h.step(group.Arrived{Request: group.Request{ID: 3, Session: 1, Deadline: h.now + time.Minute}})
		gomega.Expect(h.actions).To(gomega.ContainElement(gomega.HaveField("Slot", second.Slot)))
	})

	ginkgo.It("is not refused its next request when the connection of the rollback is lost", func() {
		h := newHarness()
		run := h.startRequest()
		h.step(group.Finished{Run: run, Reply: group.Reply{Status: status(1, group.RolePrimary, 9), First: group.At(1, 9), Open: true}})
		h.step(group.SessionEnded{Session: 1})
		for _, a := range h.actions {
			if r, ok := a.(group.Rollback); ok {
				h.step(group.SlotLost{Slot: r.Slot})
			}
		}
		h.step(group.Arrived{Request: group.Request{ID: 2, Session: 1, Deadline: h.now + time.Minute}})
		gomega.Expect(h.endings()).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("A replica's answer", func() {
	for name, c := range map[string]struct {
		reply    group.Status
		first    group.Position
		released bool
	}{
		"at the session's floor":       {reply: status(1, group.RoleReplica, 9), first: group.At(1, 9), released: true},
		"below the session's floor":    {reply: status(1, group.RoleReplica, 9), first: group.At(1, 8)},
		"without an entry of its term": {reply: group.NewStatus(2, group.RoleReplica, group.At(1, 9), group.At(1, 9), 0), first: group.At(1, 9)},
		"of a detached target":         {reply: group.NewStatus(2, group.RoleDetached, group.At(1, 9), group.At(1, 9), 0), first: group.At(1, 9)},
	} {
		ginkgo.It(fmt.Sprintf("%s is released: %v", name, c.released), func() {
			h := newHarness()
			for i := range 3 {
				h.answerProbe(fmt.Sprint("t", i), status(1, group.RoleReplica, 9))
			}
			h.now += time.Millisecond
			h.step(group.Arrived{Request: group.Request{ID: 1, Session: 1, Read: true, FloorKnown: true, Floor: group.At(1, 9), Deadline: h.now + time.Minute}})
			h.answerProbe("t1", status(1, group.RoleReplica, 9))
			h.answerProbe("t2", status(1, group.RoleReplica, 9))
			for _, a := range h.actions {
				if d, ok := a.(group.Dial); ok {
					h.step(group.Dialed{Slot: d.Slot})
				}
			}
			for _, a := range h.actions {
				if r, ok := a.(group.Run); ok {
					h.step(group.Finished{Run: r.Run, Reply: group.Reply{Status: c.reply, First: c.first}})
				}
			}
			if c.released {
				gomega.Expect(h.endings()).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(group.Done{})))
				return
			}
			gomega.Expect(h.endings()).To(gomega.BeEmpty())
		})
	}
})

var _ = ginkgo.Describe("A read with a stated age", func() {
	for name, c := range map[string]struct {
		took     time.Duration
		released bool
	}{
		"that took a tenth of the age":           {took: 100 * time.Millisecond, released: true},
		"that took one and a half times the age": {took: 1500 * time.Millisecond},
		"that took 1 ms longer than the age":     {took: 1001 * time.Millisecond},
		"that took nine tenths of the age":       {took: 900 * time.Millisecond, released: true},
	} {
		ginkgo.It(fmt.Sprintf("%s is released: %v", name, c.released), func() {
			h := newHarness()
			for i := range 3 {
				h.answerProbe(fmt.Sprint("t", i), status(1, group.RoleReplica, 9))
			}
			h.step(group.Arrived{Request: group.Request{ID: 1, Session: 1, Read: true, MaxStaleness: time.Second, FloorKnown: true, Deadline: h.now + time.Minute}})
			for _, a := range h.actions {
				if d, ok := a.(group.Dial); ok {
					h.step(group.Dialed{Slot: d.Slot})
				}
			}
			run := uint64(0)
			for _, a := range h.actions {
				if r, ok := a.(group.Run); ok {
					run = r.Run
				}
			}
			h.now += c.took
			h.step(group.Finished{Run: run, Reply: group.Reply{Status: status(1, group.RoleReplica, 9), First: group.At(1, 9)}})
			if c.released {
				gomega.Expect(h.endings()).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(group.Done{})))
				return
			}
			gomega.Expect(h.endings()).To(gomega.BeEmpty())
		})
	}
})
