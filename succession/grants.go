package succession

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"amaranthsill/store"
)

// GrantLength is how long a VM may rely on the record after it was last
// confirmed. It covers several lost or slow renewals, and is how long a
// promotion waits for VMs that cannot be asked.
const GrantLength = 1100 * time.Millisecond

// hopelessAfter is how long the record must have been unconfirmed before
// nobody waits for a confirmation: the store or a peer would have answered.
const hopelessAfter = 400 * time.Millisecond

// OutageLength is how long VMs may vouch for one another while none of them
// reaches the store, counted from the last confirmation by the store itself.
// It covers the outages of some seconds that the platform has.
const OutageLength = 7500 * time.Millisecond

// The errors of Grants.Await.
var (
	// ErrMoved reports that the target no longer leads its group.
	ErrMoved = errors.New("target no longer leads its group")
	// ErrUnconfirmed reports that the record could not be confirmed in time,
	// or has not been for so long that waiting is pointless.
	ErrUnconfirmed = errors.New("record of leaders could not be confirmed in time")
)

// Grants is what a VM knows of the record of leaders, and until when it may
// rely on it. Set the exported fields before the first call.
type Grants struct {
	// Length is how long a confirmation counts.
	Length time.Duration
	// Now is a clock that counts suspended time.
	Now func() time.Duration
	// Begun is when this VM started.
	Begun time.Duration

	lock   sync.Mutex
	record Record
	// confirmed is when the record was last confirmed, by whatever means, and
	// stored when the store itself last did.
	confirmed time.Duration
	stored    time.Duration
	ever      bool
	changed   chan struct{}
}

// Observe takes in a record, however it was learnt; an older one is ignored.
func (g *Grants) Observe(r Record) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.observe(r)
}

func (g *Grants) observe(r Record) bool {
	if r.Revision <= g.record.Revision {
		return false
	}
	g.record = r
	g.wake()
	return true
}

// Confirm takes in that a lease was alive when asked at or after sent, and
// with it the record that names it.
func (g *Grants) Confirm(l store.Lease, sent time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if l == g.record.Lease {
		g.confirm(sent)
	}
}

// ConfirmRecord takes in a record that the store held when asked at or after
// sent.
func (g *Grants) ConfirmRecord(r Record, sent time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.observe(r)
	if r.Revision == g.record.Revision {
		g.confirm(sent)
	}
}

// Renewed reports whether the store has confirmed a record since this VM
// started. Before that the VM may have forgotten that it yielded.
func (g *Grants) Renewed() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.ever && g.stored >= g.Begun
}

// ConfirmRevision takes in that another VM had a record of this revision
// confirmed by the store at or after a time.
func (g *Grants) ConfirmRevision(revision uint64, at time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if revision == g.record.Revision {
		g.confirm(at)
	}
}

// Vouch takes in that at or after sent enough VMs neither knew of a newer
// record than this revision nor were moving a leadership. It counts only for a
// while after the store's own last confirmation.
func (g *Grants) Vouch(revision uint64, sent time.Duration) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if revision != g.record.Revision || !g.ever || sent-g.stored > OutageLength-g.Length {
		return false
	}
	g.extend(sent)
	return true
}

func (g *Grants) confirm(sent time.Duration) {
	if !g.ever || sent > g.stored {
		g.stored = sent
	}
	g.extend(sent)
}

func (g *Grants) extend(sent time.Duration) {
	if g.ever && sent <= g.confirmed {
		return
	}
	g.ever = true
	g.confirmed = sent
	g.wake()
}

// wake is called with the lock held.
func (g *Grants) wake() {
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = make(chan struct{})
}

// Record returns the newest known record.
func (g *Grants) Record() Record {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.record
}

// Stored returns the revision of the newest known record and when the store
// itself last confirmed it; false if never.
func (g *Grants) Stored() (uint64, time.Duration, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.record.Revision, g.stored, g.ever
}

// Lead returns who leads a group, as far as known.
func (g *Grants) Lead(group string) Lead {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.record.Leads[group]
}

// Holds reports whether the target certainly leads its group now.
func (g *Grants) Holds(group, target string) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.leads(group, target) && g.valid()
}

func (g *Grants) leads(group, target string) bool {
	l := g.record.Leads[group]
	return l.Target == target && !l.Moving()
}

func (g *Grants) valid() bool {
	return g.ever && g.Now()-g.confirmed < g.Length
}

// Lapsed returns for how long nothing could be relied on; zero while it can.
func (g *Grants) Lapsed() time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	if !g.ever {
		return 0
	}
	return max(g.Now()-g.confirmed-g.Length, 0)
}

// Await waits until the target certainly leads its group, at most until the
// given time. Its error wraps ErrMoved or ErrUnconfirmed.
func (g *Grants) Await(ctx context.Context, group, target string, until time.Duration) error {
	for {
		g.lock.Lock()
		leads, valid, changed := g.leads(group, target), g.valid(), g.changed
		if changed == nil {
			g.changed = make(chan struct{})
			changed = g.changed
		}
		g.lock.Unlock()
		if !leads {
			return fmt.Errorf("await %s: %w", target, ErrMoved)
		}
		if valid {
			return nil
		}
		if g.Lapsed() > hopelessAfter {
			return fmt.Errorf("await %s: %w", target, ErrUnconfirmed)
		}
		if err := g.pause(ctx, changed, until); err != nil {
			return fmt.Errorf("await %s: %w", target, err)
		}
	}
}

func (g *Grants) pause(ctx context.Context, changed <-chan struct{}, until time.Duration) error {
	left := until - g.Now()
	if left <= 0 {
		return ErrUnconfirmed
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-t.C:
		return ErrUnconfirmed
	case <-ctx.Done():
		return ErrUnconfirmed
	}
}
