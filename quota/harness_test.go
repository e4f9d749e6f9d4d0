package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthsill/quota"
)

// name of the only customer of a fleet.
const choir = "choir"

// tick is the step of virtual time.
const tick = 5 * time.Millisecond

// limiters is the number of VMs that are asked. A VM that is cut off uses its own share.
const limiters = 2

// message is a request or response on its way.
type message struct {
	at   time.Duration
	run  func()
	vm   *vm
	call quota.Call
}

// vm is a VM of the simulated fleet, which is also a limiter.
type vm struct {
	name    string
	client  *quota.Client
	pool    *quota.Pool
	calling bool
	// calls counts the calls.
	calls   int
	waiting []time.Duration
	// pausedUntil is until when the VM does nothing.
	pausedUntil time.Duration
	side        int
	// limit is the version that the VM has; vms is how many VMs it counts.
	limit quota.Limit
	vms   int
}

// fleet simulates VMs in virtual time.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	vms     []*vm
	order   []string
	latency time.Duration
	// loss is the part of messages that are lost; late is the part that are delayed by up
	// to 3 s, and twice is the part that arrive twice.
	loss, late, twice float64
	messages          []message
	admitted          []time.Duration
	refused           int
}

func newFleet(seed uint64, vms int, limit quota.Limit) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), latency: 5 * time.Millisecond, now: time.Second}
	for i := range vms {
		v := &vm{name: fmt.Sprintf("vm-%d", i), limit: limit, vms: vms}
		f.order = append(f.order, v.name)
		f.vms = append(f.vms, v)
		f.restart(v, 0)
	}
	return f
}

// restart gives a VM new state. Before heldUntil it may have delegated its share.
func (f *fleet) restart(v *vm, heldUntil time.Duration) {
	v.client = quota.NewClient(v.name, heldUntil)
	v.client.SetStanding(true, true)
	v.pool = quota.NewPool(f.now, f.now, f.random.Uint64())
	v.calling, v.waiting = false, nil
}

func (f *fleet) named(name string) *vm {
	return f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == name })]
}

func (v *vm) limits(string) (quota.Limit, bool) { return v.limit, true }

// send runs something at another VM after the latency, unless the message is lost.
func (f *fleet) send(from, to *vm, run func()) {
	if from.side != to.side || f.random.Float64() < f.loss {
		return
	}
	at := f.now + f.latency
	if f.random.Float64() < f.late {
		at += time.Duration(f.random.Int64N(int64(3 * time.Second)))
	}
	f.messages = append(f.messages, message{at: at, run: run, vm: to})
	if f.random.Float64() < f.twice {
		f.messages = append(f.messages, message{at: at + f.latency*3, run: run, vm: to})
	}
}

// offer makes an operation arrive at a VM.
func (f *fleet) offer(v *vm) {
	outcome, _ := v.client.Admit(f.now, choir, v.limit)
	if outcome == quota.Undecided {
		v.client.Enqueue(choir)
		v.waiting = append(v.waiting, f.now)
		return
	}
	f.count(outcome)
}

func (f *fleet) count(o quota.Outcome) {
	if o == quota.Admitted {
		f.admitted = append(f.admitted, f.now)
		return
	}
	f.refused++
}

// settle decides on the operations that wait.
func (f *fleet) settle(v *vm) {
	left := []time.Duration{}
	for _, at := range v.waiting {
		outcome, _ := v.client.Retry(f.now, choir, v.limit)
		if outcome == quota.Undecided && f.now-at < quota.AnswerTimeout {
			left = append(left, at)
			continue
		}
		v.client.Dequeue(choir)
		f.count(outcome)
	}
	v.waiting = left
}

// step lets a VM send the call that is due.
func (f *fleet) step(v *vm) {
	f.settle(v)
	if v.calling {
		return
	}
	call, ok := v.client.Next(f.now, f.order[:min(limiters, len(f.order))], v.vms)
	if !ok {
		return
	}
	v.calling = true
	v.calls++
	client, limiter, ended := v.client, f.named(call.Limiter), false
	end := func(apply func()) {
		if ended || v.client != client {
			return
		}
		ended = true
		v.calling = false
		apply()
		f.settle(v)
	}
	answer := func() {
		pool := limiter.pool
		r := pool.Allot(f.now, call.Request, limiter.limits)
		back := func() { end(func() { client.Answered(f.now, call, r) }) }
		f.send(limiter, v, back)
	}
	if limiter == v {
		r := v.pool.Allot(f.now, call.Request, v.limits)
		end(func() { client.Answered(f.now, call, r) })
		return
	}
	f.send(v, limiter, answer)
	f.messages = append(f.messages, message{at: f.now + call.Timeout, vm: v, run: func() { end(func() { client.Failed(f.now, call) }) }})
}

// run advances the virtual time; each tick calls load first.
func (f *fleet) run(d time.Duration, load func()) {
	for end := f.now + d; f.now < end; f.now += tick {
		due := []message{}
		f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
			arrives := m.at <= f.now && m.vm.pausedUntil <= f.now
			if arrives {
				due = append(due, m)
			}
			return arrives
		})
		for _, m := range due {
			m.run()
		}
		load()
		for _, v := range f.vms {
			if v.pausedUntil <= f.now {
				f.step(v)
			}
		}
	}
}

// poisson offers operations at a rate to VMs that pick returns.
func (f *fleet) poisson(rate float64, pick func() *vm) {
	for range f.arrivals(rate) {
		if v := pick(); v.pausedUntil <= f.now {
			f.offer(v)
		}
	}
}

// arrivals draws the number of operations in one tick.
func (f *fleet) arrivals(rate float64) int {
	n := 0
	for t := f.random.ExpFloat64() / rate; t < tick.Seconds(); t += f.random.ExpFloat64() / rate {
		n++
	}
	return n
}

// anyVM picks a random VM.
func (f *fleet) anyVM() *vm { return f.vms[f.random.IntN(len(f.vms))] }

// excess returns by how much the admitted operations exceed the limit in the worst window
// of any length.
func (f *fleet) excess(l quota.Limit) float64 {
	worst, lowest := 0.0, 0.0
	for i, at := range f.admitted {
		// With g(i) = i - rate x at(i), the excess of a window is a difference of two.
		g := float64(i) - l.Rate*at.Seconds()
		if i == 0 || g < lowest {
			lowest = g
		}
		worst = max(worst, g-lowest+1-max(l.Burst, 1))
	}
	return worst
}
