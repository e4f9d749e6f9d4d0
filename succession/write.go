package succession

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"amaranthsill/store"
)

// dutyResult is the result of reading the duty key.
type dutyResult struct {
	item store.Item
	err  error
}

func (m *Mover) readDuty(ctx context.Context) dutyResult {
	i, _, err := m.Store.Read(ctx, DutyKey)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return dutyResult{err: fmt.Errorf("read holder of the promotion duty: %w", err)}
	}
	return dutyResult{item: i}
}

// holderID returns the identity of this VM's current run, as stored in the
// duty key.
func (m *Mover) holderID() string { return m.VM + "/" + m.Incarnation }

// nextWriterID returns a unique identity for one write of the record.
func (m *Mover) nextWriterID() string {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.writes++
	return fmt.Sprintf("%s/%d", m.holderID(), m.writes)
}

// readRecord reads the record from the store and confirms it to Grants.
func (m *Mover) readRecord(ctx context.Context) (Record, error) {
	sent := m.Now()
	i, _, err := m.Store.Read(ctx, RecordKey)
	if err != nil {
		return Record{}, fmt.Errorf("read leader record: %w", err)
	}
	r, err := DecodeRecord(i)
	if err != nil {
		return Record{}, err
	}
	m.Grants.ConfirmRecord(r, sent)
	return r, nil
}

// writeRecord replaces the record under a new lease and ends the old leases in
// the background, so that VMs with an older record notice early. If duty is
// given, the same transaction makes this VM the holder of the duty to promote,
// on the condition that the duty key is unchanged.
func (m *Mover) writeRecord(ctx context.Context, old, next Record, duty *store.Item) (Record, error) {
	l, err := m.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return Record{}, fmt.Errorf("grant lease for leader record: %w", err)
	}
	next.Lease = l
	next.Era = m.Store.Era()
	next.Former = m.unendedLeases(old, next.Era)
	next.VMs = m.VMs()
	next.Writer = m.nextWriterID()
	next = next.withBeginnings(store.At(next.Era, old.Stored.Number()+1))
	text, err := next.Encode()
	if err != nil {
		return Record{}, err
	}
	t := store.Transaction{
		Conditions: []store.Condition{{Key: RecordKey, Revision: old.Stored}},
		Puts:       []store.Put{{Key: RecordKey, Value: text}},
	}
	if duty != nil {
		m.addDuty(&t, *duty)
	}
	sent := m.Now()
	next.Stored, err = m.Store.Apply(ctx, t)
	next.Revision = next.Stored
	if err == nil && next.Stored.Era() != next.Era {
		// The store was replaced by its copy while the write was under way.
		err = store.ErrUnavailable
	}
	if err != nil {
		next, err = m.resolveWrite(ctx, next, err)
	}
	if err != nil {
		// The lease of a record that was not written expires by itself.
		return Record{}, err
	}
	m.Grants.ConfirmRecord(next, sent)
	for _, f := range next.Former {
		go m.endLeaseWithRetry(f, next.Era)
	}
	return next, nil
}

// unendedLeases returns the leases of a record and its predecessors, without
// those that this VM has ended. Those of an earlier era are left alone: they confirm
// no record any more, and may have been given out again.
func (m *Mover) unendedLeases(old Record, era uint64) []store.LeaseID {
	m.lock.Lock()
	defer m.lock.Unlock()
	list := []store.LeaseID{}
	if old.Era != era {
		return list
	}
	for _, l := range append(slices.Clone(old.Former), old.Lease) {
		if l != 0 && !m.endedLeases[l] {
			list = append(list, l)
		}
	}
	return list
}

// endLease ends a lease of an era in the store and remembers that it has ended. It
// does nothing if the store is in a later era.
func (m *Mover) endLease(ctx context.Context, l store.LeaseID, era uint64) error {
	if m.Store.Era() != era {
		return nil
	}
	if err := m.Store.End(ctx, l); err != nil {
		return fmt.Errorf("end lease of an older leader record: %w", err)
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.endedLeases == nil {
		m.endedLeases = map[store.LeaseID]bool{}
	}
	m.endedLeases[l] = true
	return nil
}

// addDuty extends a transaction so that this VM becomes the holder of the
// duty, unless it already is. The transaction fails if the duty key has
// changed.
func (m *Mover) addDuty(t *store.Transaction, i store.Item) {
	t.Conditions = append(t.Conditions, store.Condition{Key: DutyKey, Revision: i.Revision})
	if string(i.Value) != m.holderID() {
		t.Puts = append(t.Puts, store.Put{Key: DutyKey, Value: []byte(m.holderID())})
	}
}

// resolveWrite reads the record back to find out whether a write without a
// successful answer took effect, and returns the record if so. Record.Writer
// is unique to each write, not to a VM, so a record with this Writer was stored
// by this write. If the store reported a conflict and holds another record (its
// revision is above zero), another VM has written. After ErrRefused or
// ErrNoLease nothing was written. In all other cases the read failed or the
// write may still be on its way, so it reads again, three times in all. After
// that it returns the cause, although the write may still take effect.
func (m *Mover) resolveWrite(ctx context.Context, next Record, cause error) (Record, error) {
	if errors.Is(cause, store.ErrRefused) || errors.Is(cause, store.ErrNoLease) {
		return Record{}, cause
	}
	for range 3 {
		r, err := m.readRecord(ctx)
		switch {
		case err == nil && r.Writer == next.Writer && m.Grants.isSettled(r):
			return r, nil
		case err == nil && r.Revision > 0 && errors.Is(cause, store.ErrConflict):
			return Record{}, fmt.Errorf("write leader record: %w", ErrConcurrentUpdate)
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return Record{}, err
		}
	}
	return Record{}, cause
}

// endLeaseWithRetry ends the lease of an older record, and retries for up to
// writeTimeout. VMs with that record then notice early that it is no longer
// current; safety does not depend on it.
func (m *Mover) endLeaseWithRetry(l store.LeaseID, era uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := m.endLease(ctx, l, era)
		if err == nil {
			return
		}
		m.Log.V(1).Info("ending the lease of an older leader record failed; retrying", "reason", err.Error())
		if sleep(ctx, 10*retryInterval) != nil {
			return
		}
	}
}

// sleep waits for a duration. It returns an error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	}
}
