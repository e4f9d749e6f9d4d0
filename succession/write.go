package succession

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"amaranthsill/store"
)

// dutyRead is the duty's key as the store held it.
type dutyRead struct {
	item store.Item
	err  error
}

func (m *Mover) readDuty(ctx context.Context) dutyRead {
	i, _, err := m.Ledger.Read(ctx, DutyKey)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return dutyRead{err: fmt.Errorf("read holder of the duty: %w", err)}
	}
	return dutyRead{item: i}
}

func (m *Mover) holder() string { return m.VM + "/" + m.Incarnation }

// writer returns an identity for one write.
func (m *Mover) writer() string {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.writes++
	return fmt.Sprintf("%s/%d", m.holder(), m.writes)
}

// read returns the record that the store holds now.
func (m *Mover) read(ctx context.Context) (Record, error) {
	sent := m.Now()
	i, _, err := m.Ledger.Read(ctx, RecordKey)
	if err != nil {
		return Record{}, fmt.Errorf("read record of leaders: %w", err)
	}
	r, err := DecodeRecord(i)
	if err != nil {
		return Record{}, err
	}
	m.Grants.ConfirmRecord(r, sent)
	return r, nil
}

// write replaces the record under a new lease and ends the old lease, so that
// VMs with the old record notice. With the duty's key as it was, the VM also
// becomes the one that may promote.
func (m *Mover) write(ctx context.Context, old, next Record, duty *store.Item) (Record, error) {
	l, err := m.Ledger.Grant(ctx, leaseLife)
	if err != nil {
		return Record{}, fmt.Errorf("open lease for record: %w", err)
	}
	next.Lease = l
	next.Former = m.former(old)
	next.VMs = m.VMs()
	next.Writer = m.writer()
	text, err := next.Encode()
	if err != nil {
		return Record{}, err
	}
	t := store.Transaction{
		Conditions: []store.Condition{{Key: RecordKey, Revision: old.Revision}},
		Puts:       []store.Put{{Key: RecordKey, Value: text}},
	}
	if duty != nil {
		m.addDuty(&t, *duty)
	}
	sent := m.Now()
	next.Revision, err = m.Ledger.Apply(ctx, t)
	if err != nil {
		next, err = m.settle(ctx, next, err)
	}
	if err != nil {
		// The lease of a record that was not written ends on its own.
		return Record{}, err
	}
	m.Grants.ConfirmRecord(next, sent)
	for _, f := range next.Former {
		go m.endLease(f)
	}
	return next, nil
}

// former returns the leases of a record and its predecessors that are not
// known to have ended.
func (m *Mover) former(old Record) []store.Lease {
	m.lock.Lock()
	defer m.lock.Unlock()
	list := []store.Lease{}
	for _, l := range append(slices.Clone(old.Former), old.Lease) {
		if l != 0 && !m.ended[l] {
			list = append(list, l)
		}
	}
	return list
}

// end ends a lease and remembers it.
func (m *Mover) end(ctx context.Context, l store.Lease) error {
	if err := m.Ledger.End(ctx, l); err != nil {
		return fmt.Errorf("end lease of an old record: %w", err)
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.ended == nil {
		m.ended = map[store.Lease]bool{}
	}
	m.ended[l] = true
	return nil
}

// addDuty makes this VM the holder of the duty, unless it is already.
func (m *Mover) addDuty(t *store.Transaction, i store.Item) {
	t.Conditions = append(t.Conditions, store.Condition{Key: DutyKey, Revision: i.Revision})
	if string(i.Value) != m.holder() {
		t.Puts = append(t.Puts, store.Put{Key: DutyKey, Value: []byte(m.holder())})
	}
}

// settle finds out whether a write took effect whose answer was not a
// success.
func (m *Mover) settle(ctx context.Context, next Record, cause error) (Record, error) {
	if errors.Is(cause, store.ErrRefused) || errors.Is(cause, store.ErrNoLease) {
		return Record{}, cause
	}
	for range 3 {
		r, err := m.read(ctx)
		switch {
		case err == nil && r.Writer == next.Writer:
			return r, nil
		case err == nil && r.Revision > 0 && errors.Is(cause, store.ErrConflict):
			return Record{}, fmt.Errorf("write record of leaders: %w", ErrOvertaken)
		}
		if err := sleep(ctx, retryPause); err != nil {
			return Record{}, err
		}
	}
	return Record{}, cause
}

// endLease tells VMs with an older record that it no longer stands. It is
// only needed to make them notice early.
func (m *Mover) endLease(l store.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), writeLimit)
	defer cancel()
	for ctx.Err() == nil {
		err := m.end(ctx, l)
		if err == nil {
			return
		}
		m.Log.V(1).Info("lease of an old record is not ended yet", "reason", err.Error())
		if sleep(ctx, 10*retryPause) != nil {
			return
		}
	}
}

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
