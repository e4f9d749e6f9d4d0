package pool

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// repeatMemory is how long a target that sent an answer twice is expected to do so again.
const repeatMemory = time.Minute

// Repeats records which targets send answers twice. It is shared by all links of a VM. A
// nil *Repeats records nothing.
type Repeats struct {
	// Log receives a line for each target that begins to send answers twice.
	Log logr.Logger

	lock sync.Mutex
	// last is when each target last sent an answer twice.
	last map[string]time.Time

	repeated, confirmed, refuted, unmatched atomic.Int64
}

// Record records that a target sent an answer twice.
func (p *Repeats) Record(target string) {
	if p == nil {
		return
	}
	p.repeated.Add(1)
	now := time.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.last == nil {
		p.last = map[string]time.Time{}
	}
	for id, at := range p.last {
		if now.Sub(at) >= repeatMemory {
			delete(p.last, id)
		}
	}
	if _, known := p.last[target]; !known {
		p.Log.Info("target sends answers twice", "target", target)
	}
	p.last[target] = now
}

// expects reports whether a target has lately sent answers twice.
func (p *Repeats) expects(target string) bool {
	if p == nil || p.repeated.Load() == 0 {
		return false
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	at, known := p.last[target]
	return known && time.Since(at) < repeatMemory
}

// RepeatCounts are numbers of answers since the start of the VM.
type RepeatCounts struct {
	// Repeated is the number of answers that were discarded because they repeat an
	// earlier one of their connection.
	Repeated int64
	// Confirmed is the number of answers that equal an earlier one and were shown to be
	// answers of their own, and Refuted is the number of those that were repetitions.
	Confirmed, Refuted int64
	// Unmatched is the number of answers that belong to no order. Their connections were
	// closed.
	Unmatched int64
}

// Counts returns the numbers of answers since the start of the VM.
func (p *Repeats) Counts() RepeatCounts {
	if p == nil {
		return RepeatCounts{}
	}
	return RepeatCounts{
		Repeated: p.repeated.Load(), Confirmed: p.confirmed.Load(),
		Refuted: p.refuted.Load(), Unmatched: p.unmatched.Load(),
	}
}

func (p *Repeats) countConfirmed(refuted bool) {
	switch {
	case p == nil:
	case refuted:
		p.refuted.Add(1)
	default:
		p.confirmed.Add(1)
	}
}

func (p *Repeats) countUnmatched() {
	if p != nil {
		p.unmatched.Add(1)
	}
}
