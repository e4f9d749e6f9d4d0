package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
	"amaranthsill/succession"
)

// Timeouts of gathering the states of VMs along the overlay.
const (
	// gatherTimeout bounds the gathering within one zone, over the levels of its
	// overlay, and zoneCallTimeout the call of another zone for it, with a round
	// trip between regions and a new connection.
	gatherTimeout   = 200 * time.Millisecond
	zoneCallTimeout = 300 * time.Millisecond
	// gatherHop is the part of a VM's timeout that is left for the way back, so
	// that the answers of others arrive although one VM does not answer.
	gatherHop = 25 * time.Millisecond
	// minGatherTimeout is the least timeout with which a VM is asked.
	minGatherTimeout = 30 * time.Millisecond
	// contactDelay is how long one VM of a zone may take to answer for it before the
	// next one is asked as well. It covers a round trip between regions and the
	// gathering in a zone whose VMs all answer.
	contactDelay = 90 * time.Millisecond
	// maxContacts is how many VMs of a zone are asked to answer for it.
	maxContacts = 4
)

// status returns this VM's own state, and what it has acknowledged of a group if that is
// not empty.
func (f *fleet) status(group string) *peerpb.Status {
	// The mover and the grants are read before the revision: a move that begins in
	// between then began after the request arrived.
	resting := f.mayConfirm() && !f.left.Load()
	revision, _, _ := f.grants.StoreConfirmation()
	era, _, _ := f.grants.Era()
	s := &peerpb.Status{Name: f.Settings.VM(), Record: revision.Number(), RecordEra: revision.Era(), Resting: resting, Era: era}
	if group != "" {
		s.Acknowledged = f.acknowledged(group)
	}
	return s
}

// Gather implements peerpbconnect.FleetHandler.
func (s fleetServer) Gather(ctx context.Context, q *connect.Request[peerpb.GatherRequest]) (*connect.Response[peerpb.GatherResponse], error) {
	s.observePeerEra(q.Msg.GetEra())
	if q.Msg.GetRecord() != nil {
		if err := s.observeRecord(q.Msg.GetRecord()); err != nil {
			return nil, err
		}
	}
	if q.Msg.GetSettling() {
		s.settledByOther.Store(int64(s.Now()))
	}
	members := []*peerpb.Status{s.status(q.Msg.GetGroup())}
	left := time.Duration(q.Msg.GetTimeout())*time.Millisecond - gatherHop
	members = append(members, s.gatherBelow(ctx, q.Msg, left)...)
	return connect.NewResponse(&peerpb.GatherResponse{Members: members, Record: s.recordMessage()}), nil
}

// gatherBelow returns the states of the VMs below this one in the overlay of its
// zone; if the request says that it stands in for the root, of all others in the
// zone.
func (f *fleet) gatherBelow(ctx context.Context, q *peerpb.GatherRequest, timeout time.Duration) []*peerpb.Status {
	z := f.ownZone()
	below := z.children(f.Settings.VM())
	if q.GetRoot() && len(z.order) > 0 && z.order[0].Name != f.Settings.VM() {
		below = append(slices.Clone(z.children(z.order[0].Name)), below...)
	}
	return f.gatherFrom(ctx, z, below, q, timeout)
}

// gatherFrom returns the states of VMs of a zone, and of those below them. The
// children of a VM that does not answer in six tenths of the time are asked in its
// place.
func (f *fleet) gatherFrom(ctx context.Context, z *zoneMembership, peers []Peer, q *peerpb.GatherRequest, timeout time.Duration) []*peerpb.Status {
	if timeout < minGatherTimeout {
		return nil
	}
	lock := sync.Mutex{}
	members := []*peerpb.Status{}
	wait := sync.WaitGroup{}
	for _, p := range peers {
		if p.Name == f.Settings.VM() {
			continue
		}
		wait.Go(func() {
			below := z.children(p.Name)
			limit := timeout
			if len(below) > 0 {
				limit = timeout * 6 / 10
			}
			answers, ok := f.requestGather(ctx, p, q, limit)
			if !ok {
				answers = f.gatherFrom(ctx, z, below, q, timeout-limit)
			}
			lock.Lock()
			defer lock.Unlock()
			members = append(members, answers...)
		})
	}
	wait.Wait()
	return members
}

// requestGather passes a request on to one VM and those below it; false if the VM does
// not answer.
func (f *fleet) requestGather(ctx context.Context, p Peer, q *peerpb.GatherRequest, timeout time.Duration) ([]*peerpb.Status, bool) {
	passed := &peerpb.GatherRequest{Record: q.GetRecord(), Timeout: uint32(timeout.Milliseconds()), Settling: q.GetSettling(), Group: q.GetGroup()}
	return f.callGather(ctx, p, passed, timeout)
}

// callGather calls Gather on one VM, with the store's era, and takes in the newest
// record that it returns; false if the VM does not answer.
func (f *fleet) callGather(ctx context.Context, p Peer, q *peerpb.GatherRequest, timeout time.Duration) ([]*peerpb.Status, bool) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q.Era, _, _ = f.grants.Era()
	a, err := f.client(p.Address).Gather(limited, connect.NewRequest(q))
	if err != nil {
		f.Log.V(1).Info("VM did not answer a request to gather the states of its zone", "peer", p.Name, "reason", err.Error())
		return nil, false
	}
	if a.Msg.GetRecord() != nil {
		if err := f.observeRecord(a.Msg.GetRecord()); err != nil {
			f.Log.Info("VM returned a leader record that cannot be decoded; ignoring it", "peer", p.Name, "reason", err.Error())
		}
	}
	return a.Msg.GetMembers(), true
}

// gathered is what one VM of a zone answered for it; ok is false if it did not.
type gathered struct {
	members []*peerpb.Status
	ok      bool
}

// gatherZone returns the states of the VMs of a zone that answer within
// gatherTimeout, without this VM's own. One VM of the zone answers for it.
func (f *fleet) gatherZone(ctx context.Context, zone string, q *peerpb.GatherRequest) []*peerpb.Status {
	z := f.directory.members().zone(zone)
	contacts := f.sources.answering(z.order, f.Now())
	contacts = contacts[:min(len(contacts), maxContacts)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := func(i int) time.Duration { return f.sources.patience(contacts[i].Name, contactDelay) }
	return gatherFirst(len(contacts), patience, func(i int) gathered { return f.gatherThrough(ctx, z, contacts[i], q) })
}

// gatherFirst asks one of several contacts after the other and returns the first answer.
// The next one is asked when those before have failed, or when the patience with the last
// one has ended.
func gatherFirst(contacts int, patience func(contact int) time.Duration, ask func(contact int) gathered) []*peerpb.Status {
	answers := make(chan gathered, contacts)
	waiting := 0
	for i := range contacts {
		waiting++
		go func() { answers <- ask(i) }()
		if a := firstGathered(answers, &waiting, patience(i)); a.ok {
			return a.members
		}
	}
	return firstGathered(answers, &waiting, zoneCallTimeout).members
}

// firstGathered returns the first answer that is one; none once as many as are waited
// for have failed, or when the limit has passed.
func firstGathered(answers <-chan gathered, waiting *int, limit time.Duration) gathered {
	found := gathered{}
	receiveWithin(answers, waiting, limit, func(a gathered) bool {
		if a.ok {
			found = a
		}
		return a.ok
	})
	return found
}

// receiveWithin passes to take the outcomes that arrive within a limit, until take
// returns true or none is waited for. Without a limit above zero it takes what is there.
func receiveWithin[T any](outcomes <-chan T, waiting *int, limit time.Duration, take func(outcome T) bool) {
	var passed <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit)
		defer t.Stop()
		passed = t.C
	}
	for *waiting > 0 {
		o, ok := receiveOr(outcomes, passed)
		if !ok {
			return
		}
		*waiting--
		if take(o) {
			return
		}
	}
}

// receiveOr returns the next outcome; false once the limit has passed, or if there is no
// limit and no outcome.
func receiveOr[T any](outcomes <-chan T, passed <-chan time.Time) (T, bool) {
	select {
	case o := <-outcomes:
		return o, true
	default:
	}
	var none T
	if passed == nil {
		return none, false
	}
	select {
	case o := <-outcomes:
		return o, true
	case <-passed:
		return none, false
	}
}

// gatherThrough has one VM, which may be this one, answer for its zone.
func (f *fleet) gatherThrough(ctx context.Context, z *zoneMembership, p Peer, q *peerpb.GatherRequest) gathered {
	passed := &peerpb.GatherRequest{
		Record: q.GetRecord(), Settling: q.GetSettling(), Group: q.GetGroup(),
		Root: p.Name != z.order[0].Name, Timeout: uint32(gatherTimeout.Milliseconds()),
	}
	if p.Name == f.Settings.VM() {
		return gathered{f.gatherBelow(ctx, passed, gatherTimeout), true}
	}
	members, ok := f.callGather(ctx, p, passed, zoneCallTimeout)
	if !ok && ctx.Err() == nil {
		f.sources.recordAnswer(p.Name, f.Now(), false, 0)
	}
	return gathered{members, ok}
}

// recordMessage returns the newest known leader record as a message; nil if there is
// none.
func (f *fleet) recordMessage() *peerpb.Item {
	r := f.grants.Record()
	if r.Revision == 0 {
		return nil
	}
	encoded, err := r.Encode()
	if err != nil {
		f.Log.Error(err, "leader record cannot be encoded; it is not passed on")
		return nil
	}
	return recordItem(r, encoded)
}

// recordItem returns the message for an encoded leader record.
func recordItem(r succession.Record, encoded []byte) *peerpb.Item {
	return &peerpb.Item{Key: succession.RecordKey, Value: encoded, Revision: r.Revision.Number(), Era: r.Revision.Era()}
}
