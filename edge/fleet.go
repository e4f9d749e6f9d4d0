package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
	"amaranthsill/peer/peerpb/peerpbconnect"
	"amaranthsill/pool"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// Limits of calls between VMs, and the times after which they are made.
const (
	// yieldTimeout bounds one Yield call. It covers two round trips between
	// zones and a short freeze of the VM.
	yieldTimeout = 400 * time.Millisecond
	// recallTimeout bounds one Recall call, without the time it is asked to wait.
	recallTimeout = 400 * time.Millisecond
	// recallInterval is the time between two rounds of Recall calls.
	recallInterval = 200 * time.Millisecond
	// storeStaleAfter is the age of the store's last confirmation of the leader
	// record from which on other VMs are asked for theirs.
	storeStaleAfter = 600 * time.Millisecond
	// peerDialTimeout bounds the dialling of a connection to another VM.
	peerDialTimeout = 400 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to a VM is kept open.
	peerIdleTimeout = 10 * time.Second
	// maxPeerMessageBytes leaves ample room for a configuration of 1 MiB.
	maxPeerMessageBytes = 8 << 20
	// compressMinBytes is the size from which a response is compressed. Most
	// responses have a few hundred bytes, for which compression costs more than
	// it saves.
	compressMinBytes = 8 << 10
	// establishedAfter is how long a VM must have been registered before all
	// others are assumed to know it: succession.OutageLength, the time in which
	// a change in the store is noticed, and a margin.
	establishedAfter = 11 * time.Second
)

// fleet calls the other VMs and serves their calls.
type fleet struct {
	*VM
	// http pools the connections to other VMs.
	http *http.Client

	lock sync.Mutex
	// shares holds the VMs' connection budgets while this VM is the allocator.
	shares pool.Shares
}

// newFleet returns the client and server of the calls between this VM and the
// others. The HTTP transport requests no compression, because Connect negotiates
// its own; see compressMinBytes.
func newFleet(v *VM) *fleet {
	d := &net.Dialer{Timeout: peerDialTimeout}
	return &fleet{VM: v, http: &http.Client{Transport: &http.Transport{
		DialContext:        d.DialContext,
		IdleConnTimeout:    peerIdleTimeout,
		DisableCompression: true,
	}}}
}

// client returns a client for the VM at an address.
func (f *fleet) client(address string) peerpbconnect.FleetClient {
	return peerpbconnect.NewFleetClient(f.http, "http://"+address, connect.WithReadMaxBytes(maxPeerMessageBytes))
}

// handler returns the HTTP handler for calls from other VMs.
func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewFleetHandler(fleetServer{f}, connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithCompressMinBytes(compressMinBytes)))
	return mux
}

// Yield implements succession.Fleet. A VM that does not answer is asked again
// until the context ends.
func (f *fleet) Yield(ctx context.Context, r succession.Record) ([]succession.Member, <-chan succession.Member) {
	others := f.directory.recentPeers()
	yields := make(chan succession.Member, len(others))
	members := []succession.Member{}
	for _, p := range others {
		members = append(members, f.member(p))
	}
	encoded, err := r.Encode()
	if err != nil {
		f.Log.Error(err, "leader record cannot be encoded; other VMs are not asked to yield")
		return members, yields
	}
	q := &peerpb.YieldRequest{Record: &peerpb.Item{Key: succession.RecordKey, Value: encoded, Revision: r.Revision}}
	for _, p := range others {
		go f.requestYield(ctx, p, q, yields)
	}
	return members, yields
}

// member returns a VM as a member of the succession. It is established, and so
// counted in quorums, once it has been registered for establishedAfter. On the
// first start of the whole system all VMs are established from the beginning.
func (f *fleet) member(p recentPeer) succession.Member {
	return succession.Member{
		Name:        p.Name,
		Established: f.Settings.FirstStart() && f.Now()-f.startedAt < establishedAfter || f.Now()-p.firstSeen > establishedAfter,
	}
}

// requestYield calls Yield on a VM until it succeeds, and then sends the VM to
// yields.
func (f *fleet) requestYield(ctx context.Context, p recentPeer, q *peerpb.YieldRequest, yields chan<- succession.Member) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, yieldTimeout)
		_, err := f.client(p.Address).Yield(limited, connect.NewRequest(q))
		cancel()
		if err == nil {
			yields <- f.member(p)
			return
		}
		f.Log.V(1).Info("VM did not answer the request to yield; trying again", "peer", p.Name, "reason", err.Error())
		sleep(ctx, yieldTimeout/8)
	}
}

// observeRecord passes a leader record that another VM sent to the grants.
func (f *fleet) observeRecord(i *peerpb.Item) error {
	r, err := succession.DecodeRecord(itemFromMessage(i))
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	f.grants.Observe(r)
	f.wakeSupervisor()
	return nil
}

// fleetServer serves the calls of other VMs.
type fleetServer struct{ *fleet }

var _ peerpbconnect.FleetHandler = fleetServer{}

// Yield implements peerpbconnect.FleetHandler.
func (s fleetServer) Yield(_ context.Context, q *connect.Request[peerpb.YieldRequest]) (*connect.Response[peerpb.YieldResponse], error) {
	if err := s.observeRecord(q.Msg.GetRecord()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.YieldResponse{}), nil
}

// Witness implements peerpbconnect.FleetHandler.
func (s fleetServer) Witness(ctx context.Context, q *connect.Request[peerpb.WitnessRequest]) (*connect.Response[peerpb.WitnessResponse], error) {
	g, ok := s.existingPool(q.Msg.GetGroup())
	reaches := ok && g.Reaches(ctx, q.Msg.GetTarget())
	return connect.NewResponse(&peerpb.WitnessResponse{Reaches: reaches}), nil
}

// Order implements peerpbconnect.FleetHandler.
func (s fleetServer) Order(ctx context.Context, q *connect.Request[peerpb.OrderRequest]) (*connect.Response[peerpb.OrderResponse], error) {
	r, err := s.control.runDirect(ctx, q.Msg.GetGroup(), q.Msg.GetTarget(), orderFromRequest(q.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerpb.OrderResponse{
		Primary:        r.Role == pool.RolePrimary,
		Term:           r.Term,
		ReceivedTerm:   uint64(r.Received.Term()),
		ReceivedOffset: r.Received.Offset(),
	}), nil
}

// Recall implements peerpbconnect.FleetHandler.
func (s fleetServer) Recall(ctx context.Context, q *connect.Request[peerpb.RecallRequest]) (*connect.Response[peerpb.RecallResponse], error) {
	arrived := s.Now()
	s.directory.AwaitNewer(ctx, q.Msg.GetSince(), time.Duration(q.Msg.GetWait())*time.Millisecond)
	waited := s.Now() - arrived
	// The mover and the grants are read before the revision: a move that begins
	// in between then began after the request arrived.
	idle := s.mover.Idle() && s.grants.ConfirmedSinceStart()
	revision, confirmedAt, confirmed := s.grants.StoreConfirmation()
	age := int64(-1)
	if confirmed {
		age = (s.Now() - confirmedAt).Milliseconds() + 1
	}
	r := &peerpb.RecallResponse{Complete: s.directory.CompleteRevision(), Record: revision, Age: age, Resting: idle, Incarnation: s.incarnation, Waited: uint32(waited.Milliseconds())}
	for _, i := range s.directory.ItemsSince(q.Msg.GetSince()) {
		r.Items = append(r.Items, &peerpb.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	return connect.NewResponse(r), nil
}

// itemFromMessage returns the store's item from a message.
func itemFromMessage(i *peerpb.Item) store.Item {
	return store.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: i.GetRevision(), Deleted: i.GetDeleted()}
}

// peerPoller asks the other VMs for changes and confirmations while this VM's
// last confirmation by the store is older than storeStaleAfter.
type peerPoller struct{ *fleet }

// run polls the other VMs when needed, until the context ends.
func (r *peerPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, recallInterval+rand.N(recallInterval/4))
		_, confirmedAt, confirmed := r.grants.StoreConfirmation()
		if confirmed && r.Now()-confirmedAt < storeStaleAfter {
			continue
		}
		r.poll(ctx)
	}
}

// poll asks all other VMs once and applies what they know, including
// confirmations that they got from the store. Independently of the store, the
// leader record counts as confirmed if more than two thirds of all VMs, this one
// included, are moving no leadership and none that answered knows a newer record.
func (r *peerPoller) poll(ctx context.Context) {
	sent := r.Now()
	others := r.directory.recentPeers()
	answers := make([]*peerpb.RecallResponse, len(others))
	wait := sync.WaitGroup{}
	for i, p := range others {
		wait.Go(func() { answers[i] = r.recall(ctx, p.Address, sent, 0) })
	}
	if len(others) == 0 {
		for _, address := range r.settings().Seeds() {
			wait.Go(func() { r.recall(ctx, address, sent, 0) })
		}
	}
	wait.Wait()
	r.wakeSupervisor()
	revision, _, _ := r.grants.StoreConfirmation()
	confirming := 1
	for _, a := range answers {
		if a == nil {
			continue
		}
		if a.GetRecord() > revision {
			return
		}
		if a.GetResting() {
			confirming++
		}
	}
	if 3*confirming > 2*(len(others)+1) && r.mover.Idle() && r.grants.ConfirmedSinceStart() {
		r.grants.ConfirmByPeers(revision, sent)
	}
}

// recall calls Recall on one VM and applies the changes and the confirmation in
// its response. The given times are when the round began and how long the VM may
// wait for something newer. It returns nil if the VM does not answer.
func (f *fleet) recall(ctx context.Context, address string, sent, wait time.Duration) *peerpb.RecallResponse {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout+wait)
	defer cancel()
	q := &peerpb.RecallRequest{Since: f.directory.CompleteRevision(), Wait: uint32(wait.Milliseconds())}
	a, err := f.client(address).Recall(ctx, connect.NewRequest(q))
	if err != nil {
		f.Log.V(1).Info("VM did not answer a request for changes", "address", address, "reason", err.Error())
		return nil
	}
	for _, i := range a.Msg.GetItems() {
		f.directory.Apply(itemFromMessage(i))
	}
	f.directory.MarkComplete(a.Msg.GetComplete())
	if a.Msg.GetAge() >= 0 {
		answeredAt := sent + time.Duration(a.Msg.GetWaited())*time.Millisecond
		f.grants.ConfirmRevision(a.Msg.GetRecord(), answeredAt-time.Duration(a.Msg.GetAge())*time.Millisecond)
	}
	return a.Msg
}
