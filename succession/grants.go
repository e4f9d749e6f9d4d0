package succession

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"amaranthsill/pool"
	"amaranthsill/store"
)

// GrantLength is how long a VM may rely on the record after its last
// confirmation. It covers several lost or slow renewals, and is how long a
// promotion waits for VMs that cannot be asked.
const GrantLength = 1100 * time.Millisecond

// expiryTolerance is how long a grant may have been expired before AwaitLeadership
// fails at once: by then the store or a peer would have confirmed the record.
const expiryTolerance = 400 * time.Millisecond

// OutageLength is how long VMs may confirm the record for one another while
// none of them reaches the store, counted from the last confirmation by the
// store. It covers the platform's outages of several seconds.
const OutageLength = 7500 * time.Millisecond

// The errors of Grants.AwaitLeadership.
var (
	// ErrNotLeader reports that the leadership is over.
	ErrNotLeader = errors.New("target no longer leads its group")
	// ErrUnconfirmed reports that the record could not be confirmed in time,
	// or has been unconfirmed for so long that waiting is pointless.
	ErrUnconfirmed = errors.New("leader record could not be confirmed in time")
)

// Grants holds the newest leader record that a VM knows, and the time until
// which the VM may rely on it. Set the exported fields before the first call.
type Grants struct {
	// Length is how long a confirmation is valid.
	Length time.Duration
	// Now is a monotonic clock that includes the time for which the VM was
	// suspended.
	Now func() time.Duration
	// Begun is when this VM started, on the clock of Now.
	Begun time.Duration
	// Counted reports that this VM may rely on the record only while VMs that move a
	// leadership count it; see Admit.
	Counted bool

	lock sync.Mutex
	// countedUntil is until when this VM is counted; zero if it never was.
	countedUntil time.Duration
	record       Record
	// leaderships holds the leaderships in the record by group, without those that are
	// being moved; begun counts all that this VM learned of.
	leaderships map[string]pool.Leadership
	begun       pool.Leadership
	// era is the highest era of the store that this VM knows of, and eraSince when
	// it learned of it; losses counts how often the era has risen since.
	era      uint64
	eraSince time.Duration
	losses   uint64
	// answered reports that the store has answered this VM, so that a rise of the
	// era from then on is a loss, also one from a store that told none before.
	answered bool
	// confirmedAt is when the record was last confirmed by the store or by
	// peers, and storeConfirmedAt when the store last confirmed it.
	confirmedAt      time.Duration
	storeConfirmedAt time.Duration
	everConfirmed    bool
	// deposed holds, by group, the leadership that the record names although another
	// target was seen to lead.
	deposed map[string]deposedLeader
	// confirmations counts how often confirmedAt has grown.
	confirmations uint64
	changed       chan struct{}
}

// deposedLeader is a leadership that does not count until a time.
type deposedLeader struct {
	leadership pool.Leadership
	until      time.Duration
}

// Depose records that a target does not lead its group until a time, on the clock of
// Now, although the record may name it: the platform has promoted another one. If the
// record names it still when the time is over, that is another leadership. One that
// begins with a later record counts at once.
func (g *Grants) Depose(group, target string, until time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.record.Leads[group].Target != target || g.leaderships[group] == 0 {
		return
	}
	if g.deposed == nil {
		g.deposed = map[string]deposedLeader{}
	}
	g.begun++
	g.leaderships[group] = g.begun
	g.deposed[group] = deposedLeader{g.begun, until}
	g.notifyWaiters()
}

// Deposed reports whether a target is known not to lead its group, whatever the record
// says.
func (g *Grants) Deposed(group, target string) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.record.Leads[group].Target == target && g.isDeposed(group)
}

// isDeposed reports whether the leader that the record names was found deposed. The
// caller holds the lock.
func (g *Grants) isDeposed(group string) bool {
	d, ok := g.deposed[group]
	return ok && d.leadership == g.leaderships[group] && g.Now() < d.until
}

// Admit lets this VM rely on the record until a time, on the clock of Now, if Counted is
// set. By then it has an entry in the store, and has read the record after the entry was
// written. So a record that it does not know is newer than the entry, and who wrote that
// record finds this VM among those that have to yield.
func (g *Grants) Admit(until time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.countedUntil = until
	g.notifyWaiters()
}

// Admitted reports whether this VM may rely on the record once that is confirmed.
func (g *Grants) Admitted() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.admitted()
}

func (g *Grants) admitted() bool { return !g.Counted || g.Now() < g.countedUntil }

// Observe takes in a record from any source, without confirming it. It reports
// whether the record is newer than the known one; others are ignored.
func (g *Grants) Observe(r Record) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.observe(r)
}

func (g *Grants) observe(r Record) bool {
	// After a loss, a record that names no era may come from the copy.
	ambiguous := r.Era == 0 && g.losses > 0 && g.record.Revision != 0
	if r.Revision <= g.record.Revision || ambiguous {
		return false
	}
	g.updateLeaderships(r)
	g.record = r
	g.notifyWaiters()
	return true
}

// updateLeaderships finds the leaderships in a record that replaces the known one. The
// caller holds the lock.
func (g *Grants) updateLeaderships(r Record) {
	relied := g.valid()
	next := make(map[string]pool.Leadership, len(r.Leads))
	for group, l := range r.Leads {
		switch {
		case l.Moving():
		case g.record.Leads[group].continuedBy(l, relied):
			next[group] = g.leaderships[group]
		default:
			g.begun++
			next[group] = g.begun
		}
	}
	g.leaderships = next
}

// Confirm records that the store, in an era, found a lease alive when asked at or
// after sent. This confirms the known record if it names that lease and was written
// in that era: a lease that a store brings back from a copy, or gives out again,
// tells nothing.
func (g *Grants) Confirm(l store.LeaseID, era uint64, sent time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.observeStoreEra(era)
	if l == g.record.Lease && g.holdsIn(era) {
		g.confirmByStore(sent)
	}
}

// ObserveEra takes in the store's era from another VM.
func (g *Grants) ObserveEra(era uint64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.observeEra(era)
}

// ObserveStoreEra takes in the era of an answer of the store, zero if it told none.
func (g *Grants) ObserveStoreEra(era uint64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.observeStoreEra(era)
}

func (g *Grants) observeStoreEra(era uint64) {
	g.observeEra(era)
	g.answered = true
}

func (g *Grants) observeEra(era uint64) {
	if era <= g.era {
		return
	}
	if g.era != 0 || g.answered {
		g.losses++
		g.notifyWaiters()
	}
	g.era = era
	g.eraSince = g.Now()
}

// holdsIn reports whether the known record was written in an era of the store. A
// record of a writer that knew no era passes until a loss was seen.
func (g *Grants) holdsIn(era uint64) bool {
	return g.record.Era == era && era == g.era || g.record.Era == 0 && g.losses == 0
}

// Era returns the highest known era of the store, how often it has risen since this VM
// started, and when it last did or was first seen.
func (g *Grants) Era() (era, losses uint64, since time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.era, g.losses, g.eraSince
}

// Unstamped reports whether the known record names no era although the store has one,
// as after a write by a VM of a build that knows no eras; see Mover.Stamp.
func (g *Grants) Unstamped() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.record.Revision != 0 && g.record.Era == 0 && g.era != 0 && g.losses == 0
}

// isSettled reports whether a record that was read from the store was written in the
// era in which it was read, or by a writer that knew no era before a loss was seen.
func (g *Grants) isSettled(r Record) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return r.Era == r.Stored.Era() || r.Era == 0 && g.losses == 0
}

// Outdated reports whether the known record was written before the store came back
// from a copy, so that the store confirms it no more; see Mover.Settle.
func (g *Grants) Outdated() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.record.Revision != 0 && !g.holdsIn(g.era)
}

// ConfirmRecord takes in a record that the store returned when asked at or
// after sent, and confirms it if no newer one is known.
func (g *Grants) ConfirmRecord(r Record, sent time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.observeStoreEra(r.Stored.Era())
	g.observe(r)
	if r.Revision == g.record.Revision && g.holdsIn(r.Stored.Era()) {
		g.confirmByStore(sent)
	}
}

// ConfirmedSinceStart reports whether the store has confirmed a record since
// this VM started. Before that, the VM may have yielded in an earlier run
// without knowing it.
func (g *Grants) ConfirmedSinceStart() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.everConfirmed && g.storeConfirmedAt >= g.Begun
}

// ConfirmRevision records that the store confirmed the record of this revision
// to another VM at or after the time at.
func (g *Grants) ConfirmRevision(revision store.Revision, at time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if revision == g.record.Revision {
		g.confirmByStore(at)
	}
}

// ConfirmByPeers records that at or after sent, enough VMs knew of no record
// newer than this revision and were not moving a leadership. It reports whether
// this confirms the known record, which it does only for a limited time after
// the last confirmation by the store.
func (g *Grants) ConfirmByPeers(revision store.Revision, sent time.Duration) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if revision != g.record.Revision || !g.everConfirmed || sent-g.storeConfirmedAt > OutageLength-g.Length {
		return false
	}
	g.extendValidity(sent)
	return true
}

// Extend records that another VM knew at or after the time at that the record of this
// revision was the latest, from the store or from enough VMs. Unlike ConfirmRevision,
// it is no base for confirmations among VMs.
func (g *Grants) Extend(revision store.Revision, at time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if revision == g.record.Revision {
		g.extendValidity(at)
	}
}

// ValidFrom returns when the known record was last confirmed by the store or by VMs;
// false if it never was, or if its revision is another one.
func (g *Grants) ValidFrom(revision store.Revision) (time.Duration, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.confirmedAt, g.everConfirmed && revision == g.record.Revision
}

// Confirmations returns how often the record was confirmed, by the store or by VMs.
func (g *Grants) Confirmations() uint64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.confirmations
}

// ConfirmedAfter returns a channel that is closed at the next confirmation or change
// of the record; nil if it was confirmed more often than the given number already.
func (g *Grants) ConfirmedAfter(confirmations uint64) <-chan struct{} {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.confirmations > confirmations {
		return nil
	}
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

func (g *Grants) confirmByStore(sent time.Duration) {
	if !g.everConfirmed || sent > g.storeConfirmedAt {
		g.storeConfirmedAt = sent
	}
	g.extendValidity(sent)
}

func (g *Grants) extendValidity(sent time.Duration) {
	if g.everConfirmed && sent <= g.confirmedAt {
		return
	}
	g.everConfirmed = true
	g.confirmedAt = sent
	g.confirmations++
	g.notifyWaiters()
}

// notifyWaiters wakes the goroutines that wait in AwaitLeadership. The caller holds
// the lock.
func (g *Grants) notifyWaiters() {
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

// StoreConfirmation returns the revision of the newest known record and when
// the store last confirmed it. The last result is false if no record was ever
// confirmed.
func (g *Grants) StoreConfirmation() (store.Revision, time.Duration, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.record.Revision, g.storeConfirmedAt, g.everConfirmed
}

// Lead returns the leadership of a group in the newest known record.
func (g *Grants) Lead(group string) Lead {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.record.Leads[group]
}

// IsLeader reports whether the target certainly leads its group now.
func (g *Grants) IsLeader(group, target string) bool {
	_, certain := g.Leadership(group, target)
	return certain
}

// Leadership returns a target's present leadership of its group; zero if the newest known
// record does not name the target as the leader, or if it was deposed. It is certain
// while the VM may rely on the record. If the same leadership is certain again later, no
// other target has led the group in between.
func (g *Grants) Leadership(group, target string) (l pool.Leadership, certain bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.record.Leads[group].Target == target && !g.isDeposed(group) {
		l = g.leaderships[group]
	}
	return l, l != 0 && g.valid()
}

// leads reports whether a leadership goes on. The caller holds the lock.
func (g *Grants) leads(group string, l pool.Leadership) bool {
	return l != 0 && g.leaderships[group] == l && !g.isDeposed(group)
}

func (g *Grants) valid() bool {
	return g.everConfirmed && g.Now()-g.confirmedAt < g.Length && g.admitted()
}

// ExpiredFor returns the time since the last confirmation expired, or since this VM may
// not rely on it any more; zero while it is valid, and if there was none yet.
func (g *Grants) ExpiredFor() time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	if !g.everConfirmed || g.Counted && g.countedUntil == 0 {
		return 0
	}
	end := g.confirmedAt + g.Length
	if g.Counted {
		end = min(end, g.countedUntil)
	}
	return max(g.Now()-end, 0)
}

// AwaitLeadership waits until a leadership of a group is certain, at most until a time on
// the clock of Now. Its error wraps ErrNotLeader or ErrUnconfirmed.
func (g *Grants) AwaitLeadership(ctx context.Context, group string, l pool.Leadership, until time.Duration) error {
	for {
		g.lock.Lock()
		leads, valid, changed := g.leads(group, l), g.valid(), g.changed
		if changed == nil {
			g.changed = make(chan struct{})
			changed = g.changed
		}
		g.lock.Unlock()
		if !leads {
			return fmt.Errorf("await leadership of %s: %w", group, ErrNotLeader)
		}
		if valid {
			return nil
		}
		if g.ExpiredFor() > expiryTolerance {
			return fmt.Errorf("await leadership of %s: %w", group, ErrUnconfirmed)
		}
		if err := g.waitForChange(ctx, changed, until); err != nil {
			return fmt.Errorf("await leadership of %s: %w", group, err)
		}
	}
}

func (g *Grants) waitForChange(ctx context.Context, changed <-chan struct{}, until time.Duration) error {
	remaining := until - g.Now()
	if remaining <= 0 {
		return ErrUnconfirmed
	}
	t := time.NewTimer(remaining)
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
