package edge

import (
	"context"
	"errors"
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
// others.
func newFleet(v *VM) *fleet {
	return &fleet{VM: v, http: &http.Client{Transport: newPeerTransport()}}
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

// Yield implements succession.Fleet. It asks the VMs that this one knows at once, and
// those of which only the store knows as soon as that has told them.
func (f *fleet) Yield(ctx context.Context, r succession.Record) ([]succession.Member, <-chan string) {
	yields := make(chan string)
	known := f.directory.recentPeers()
	f.requestYields(ctx, r, known, yields)
	f.refreshPeers(ctx)
	asked := map[string]bool{}
	for _, p := range known {
		asked[p.Name] = true
	}
	members := []succession.Member{}
	added := []recentPeer{}
	for _, p := range f.directory.recentPeers() {
		members = append(members, f.member(p))
		if !asked[p.Name] {
			added = append(added, p)
		}
	}
	f.requestYields(ctx, r, added, yields)
	return members, yields
}

// Announce implements succession.Fleet.
func (f *fleet) Announce(ctx context.Context, r succession.Record) {
	f.requestYields(ctx, r, f.directory.recentPeers(), make(chan string))
}

// refreshPeers reads the entries of all VMs from the store, and tries again until the
// context ends.
func (f *fleet) refreshPeers(ctx context.Context) {
	for ctx.Err() == nil {
		items, revision, err := f.Adapter.Store.List(ctx, vmPrefix)
		if err == nil {
			f.directory.ResetPeers(items, revision)
			return
		}
		f.storeFailed("reading the VMs", err)
		sleep(ctx, refreshInterval)
	}
}

// refreshInterval is the time between two attempts to read the VMs from the store.
const refreshInterval = 50 * time.Millisecond

// requestYields passes a record on to VMs, in the background and until the context
// ends, and sends the name of each that has taken it in to yields. The record travels
// along the overlay of each zone; VMs that do not confirm it that way within
// gatherTimeout are asked one by one.
func (f *fleet) requestYields(ctx context.Context, r succession.Record, peers []recentPeer, yields chan<- string) {
	encoded, err := r.Encode()
	if err != nil {
		f.Log.Error(err, "leader record cannot be encoded; other VMs are not asked to yield")
		return
	}
	zones := map[string][]recentPeer{}
	for _, p := range peers {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	record := recordItem(r, encoded)
	for zone, inZone := range zones {
		go f.yieldInZone(ctx, zone, inZone, record, yields)
	}
}

// yieldInZone passes a record on to the VMs of one zone and sends the name of each that
// has taken it in to yields.
func (f *fleet) yieldInZone(ctx context.Context, zone string, inZone []recentPeer, record *peerpb.Item, yields chan<- string) {
	yielded := map[string]bool{}
	for _, s := range f.gatherZone(ctx, zone, &peerpb.GatherRequest{Record: record}) {
		yielded[s.GetName()] = store.At(s.GetRecordEra(), s.GetRecord()) >= store.At(record.GetEra(), record.GetRevision())
	}
	q := &peerpb.YieldRequest{Record: record}
	for _, p := range inZone {
		if yielded[p.Name] {
			sendName(ctx, yields, p.Name)
			continue
		}
		go f.requestYield(ctx, p, q, yields)
	}
}

// sendName sends a VM's name unless the context ends first.
func sendName(ctx context.Context, names chan<- string, name string) {
	select {
	case names <- name:
	case <-ctx.Done():
	}
}

// member returns a VM as a member of the succession. It is established, and so
// counted in quorums, once it has been registered for establishedAfter. On the
// first start of the whole system all VMs that are part of it are established from the
// beginning. Others may have dropped a VM whose entry is gone, so that its yield is no vote.
func (f *fleet) member(p recentPeer) succession.Member {
	return succession.Member{
		Name:        p.Name,
		Silent:      p.Silent || p.dropped,
		Established: f.isFromStart(p) || f.Now()-p.firstSeen > establishedAfter,
	}
}

// isFromStart reports whether a VM started with the whole system, as this one did lately.
func (f *fleet) isFromStart(p recentPeer) bool {
	return f.Settings.FirstStart() && p.First && !p.returned && f.Now()-f.startedAt < establishedAfter
}

// requestYield calls Yield on a VM until it succeeds, and then sends the VM's name to
// yields.
func (f *fleet) requestYield(ctx context.Context, p recentPeer, q *peerpb.YieldRequest, yields chan<- string) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, yieldTimeout)
		_, err := f.client(p.Address).Yield(limited, connect.NewRequest(q))
		cancel()
		if err == nil {
			sendName(ctx, yields, p.Name)
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
	if name := q.Msg.GetVm(); name != "" {
		return connect.NewResponse(&peerpb.WitnessResponse{Reaches: s.reachesVM(ctx, name)}), nil
	}
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
	if name := q.Msg.GetName(); name != "" {
		s.followers.record(name, arrived)
	}
	since := store.At(q.Msg.GetSinceEra(), q.Msg.GetSince())
	s.awaitNews(ctx, since, q.Msg.GetSeen(), time.Duration(q.Msg.GetWait())*time.Millisecond)
	waited := s.Now() - arrived
	// The mover and the grants are read before the revision: a move that begins
	// in between then began after the request arrived.
	idle := s.mayConfirm()
	revision, confirmedAt, confirmed := s.grants.StoreConfirmation()
	age := int64(-1)
	if confirmed {
		age = (s.Now() - confirmedAt).Milliseconds() + 1
	}
	complete := s.directory.CompleteRevision()
	r := &peerpb.RecallResponse{
		Complete: complete.Number(), CompleteEra: complete.Era(), Record: revision.Number(), RecordEra: revision.Era(),
		Age: age, Resting: idle, Incarnation: s.incarnation, Waited: uint32(waited.Milliseconds()),
	}
	r.ConfigurationAge = s.configurationAgeMessage()
	r.Era, _, _ = s.grants.Era()
	r.Confirmations = s.grants.Confirmations()
	if validAt, ever := s.grants.ValidFrom(revision); ever {
		r.Valid = uint64((s.Now() - validAt).Milliseconds()) + 2
	}
	for _, i := range s.directory.ItemsSince(since) {
		r.Items = append(r.Items, &peerpb.Item{Key: i.Key, Value: i.Value, Revision: i.Revision.Number(), Era: i.Revision.Era(), Deleted: i.Deleted})
	}
	return connect.NewResponse(r), nil
}

// awaitNews returns once every change up to a later revision is known, once the leader
// record was confirmed after the given number of confirmations, after the given wait,
// or when the context ends.
func (f *fleet) awaitNews(ctx context.Context, revision store.Revision, confirmations uint64, wait time.Duration) {
	advanced := f.directory.Advanced(revision)
	confirmed := f.grants.ConfirmedAfter(confirmations)
	if advanced == nil || confirmed == nil || wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-advanced:
	case <-confirmed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// itemFromMessage returns the store's item from a message.
func itemFromMessage(i *peerpb.Item) store.Item {
	return store.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: store.At(i.GetEra(), i.GetRevision()), Deleted: i.GetDeleted()}
}

// follow asks a VM to wait for something newer, and applies it as recall does.
func (f *fleet) follow(ctx context.Context, p Peer, wait time.Duration) *peerpb.RecallResponse {
	a := f.recall(ctx, p.Address, &peerpb.RecallRequest{Wait: uint32(wait.Milliseconds()), Seen: f.sources.lastSeen(p.Name)})
	if a == nil && errors.Is(ctx.Err(), context.Canceled) {
		// Another VM answered first.
		return nil
	}
	f.sources.recordAnswer(p.Name, f.Now(), a != nil, a.GetConfirmations())
	if len(a.GetItems()) > 0 {
		f.wakeSupervisor()
	}
	return a
}

// maxFollowedAge is how old the configuration of a VM may be for others to follow it. It
// covers a wait for changes of followTimeout, and peerFollowTimeout for each hop.
const maxFollowedAge = 2500 * time.Millisecond

// isCurrent reports whether a response is from a VM that had the leader record confirmed
// by the store at most storeStaleAfter ago, directly or through others, and that follows
// the store's changes. Otherwise VMs that renew their leases could follow one that is cut
// off from the store, and nobody would learn of a new configuration.
func isCurrent(a *peerpb.RecallResponse) bool {
	if age, known := configurationAgeOf(a); !known || age > maxFollowedAge {
		return false
	}
	return a.GetAge() >= 0 && toldTime(a.GetAge()) <= storeStaleAfter
}

// answerTime returns a time at or before which a VM answered, given when the call was sent,
// the milliseconds that the VM says it waited, and the time now.
func answerTime(sent time.Duration, waited uint32, now time.Duration) time.Duration {
	return min(sent+time.Duration(waited)*time.Millisecond, now)
}

// maxToldTime is the longest time that is taken in from another VM. A number of
// milliseconds that is larger overflows a duration.
const maxToldTime = 365 * 24 * time.Hour

// toldTime returns the time for a number of milliseconds that another VM told.
func toldTime[N int64 | uint64](n N) time.Duration {
	return time.Duration(min(n, N(maxToldTime.Milliseconds()))) * time.Millisecond
}

// isFresh reports whether a response confirms the leader record as of at most
// storeStaleAfter ago.
func (f *fleet) isFresh(a *peerpb.RecallResponse) bool {
	age := a.GetAge()
	if a.GetValid() > 0 && (age < 0 || int64(a.GetValid()) < age) {
		age = int64(a.GetValid())
	}
	return age >= 0 && toldTime(age) <= storeStaleAfter
}

// recall calls Recall on one VM and applies the changes and the confirmations in its
// response. It returns nil if the VM does not answer.
func (f *fleet) recall(ctx context.Context, address string, q *peerpb.RecallRequest) *peerpb.RecallResponse {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout+time.Duration(q.GetWait())*time.Millisecond)
	defer cancel()
	sent := f.Now()
	since := f.directory.CompleteRevision()
	q.Since, q.SinceEra, q.Name = since.Number(), since.Era(), f.Settings.VM()
	r, err := f.client(address).Recall(ctx, connect.NewRequest(q))
	if err != nil {
		f.Log.V(1).Info("VM did not answer a request for changes", "address", address, "reason", err.Error())
		return nil
	}
	a := r.Msg
	for _, i := range a.GetItems() {
		f.directory.Apply(itemFromMessage(i))
	}
	f.directory.MarkComplete(store.At(a.GetCompleteEra(), a.GetComplete()))
	f.observePeerEra(a.GetEra())
	record := store.At(a.GetRecordEra(), a.GetRecord())
	answeredAt := answerTime(sent, a.GetWaited(), f.Now())
	if age, known := configurationAgeOf(a); known {
		f.confirmConfiguration(answeredAt - age)
	}
	if a.GetAge() >= 0 {
		f.grants.ConfirmRevision(record, answeredAt-toldTime(a.GetAge()))
	}
	if a.GetValid() > 0 {
		f.grants.Extend(record, answeredAt-toldTime(a.GetValid()))
	}
	return a
}
