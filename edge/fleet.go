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

// The times of calls between VMs.
const (
	// yieldLimit bounds the wait for one VM's answer to a yield: two round
	// trips between zones and a frozen moment.
	yieldLimit = 400 * time.Millisecond
	// recallLimit bounds one call for what another VM knows.
	recallLimit = 400 * time.Millisecond
	// recallPause is the time between two rounds of such calls.
	recallPause = 200 * time.Millisecond
	// recallAfter is how long the store may go without confirming the record
	// before peers are asked.
	recallAfter = 600 * time.Millisecond
	// peerConnect bounds the opening of a connection to a VM.
	peerConnect = 400 * time.Millisecond
	// peerIdle is how long an unused connection to a VM is kept.
	peerIdle = 10 * time.Second
	// maxPeerMessage holds a configuration of a megabyte with room.
	maxPeerMessage = 8 << 20
	// compressFrom is the size in bytes from which an answer is compressed; most
	// are a few hundred bytes, for which it costs more than it spares.
	compressFrom = 8 << 10
	// knownAfter is how long a VM must have been registered before all others
	// are taken to know it: OutageLength and the time in which a change in
	// the store is noticed, with room.
	knownAfter = 11 * time.Second
)

// fleet reaches the other VMs and answers them.
type fleet struct {
	*VM
	http *http.Client

	lock   sync.Mutex
	shares pool.Shares
}

func newFleet(v *VM) *fleet {
	d := &net.Dialer{Timeout: peerConnect}
	return &fleet{VM: v, http: &http.Client{Transport: &http.Transport{
		DialContext:        d.DialContext,
		IdleConnTimeout:    peerIdle,
		DisableCompression: true,
	}}}
}

func (f *fleet) client(address string) peerpbconnect.FleetClient {
	return peerpbconnect.NewFleetClient(f.http, "http://"+address, connect.WithReadMaxBytes(maxPeerMessage))
}

// handler returns what answers other VMs.
func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewFleetHandler(server{f}, connect.WithReadMaxBytes(maxPeerMessage), connect.WithCompressMinBytes(compressFrom)))
	return mux
}

// Yield implements succession.Fleet. A VM that does not answer at once is
// asked again until the context ends.
func (f *fleet) Yield(ctx context.Context, r succession.Record) ([]succession.Member, <-chan succession.Member) {
	others := f.directory.remembered()
	yields := make(chan succession.Member, len(others))
	members := []succession.Member{}
	for _, p := range others {
		members = append(members, f.member(p))
	}
	text, err := r.Encode()
	if err != nil {
		f.Log.Error(err, "other VMs are not asked to yield")
		return members, yields
	}
	q := &peerpb.YieldRequest{Record: &peerpb.Item{Key: succession.RecordKey, Value: text, Revision: r.Revision}}
	for _, p := range others {
		go f.yieldOne(ctx, p, q, yields)
	}
	return members, yields
}

// member tells whether a VM counts among those that have to vouch. When the
// whole system starts for the first time, all start together.
func (f *fleet) member(p formerPeer) succession.Member {
	return succession.Member{
		Name:        p.Name,
		Established: f.Settings.First() && f.Now()-f.begun < knownAfter || f.Now()-p.joined > knownAfter,
	}
}

func (f *fleet) yieldOne(ctx context.Context, p formerPeer, q *peerpb.YieldRequest, yields chan<- succession.Member) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, yieldLimit)
		_, err := f.client(p.Address).Yield(limited, connect.NewRequest(q))
		cancel()
		if err == nil {
			yields <- f.member(p)
			return
		}
		f.Log.V(1).Info("VM has not yielded yet", "peer", p.Name, "reason", err.Error())
		pauseFor(ctx, yieldLimit/8)
	}
}

// takeRecord takes in a record that another VM shows.
func (f *fleet) takeRecord(i *peerpb.Item) error {
	r, err := succession.DecodeRecord(itemOf(i))
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	f.grants.Observe(r)
	f.poke()
	return nil
}

// server answers other VMs.
type server struct{ *fleet }

var _ peerpbconnect.FleetHandler = server{}

// Yield implements peerpbconnect.FleetHandler.
func (s server) Yield(_ context.Context, q *connect.Request[peerpb.YieldRequest]) (*connect.Response[peerpb.YieldResponse], error) {
	if err := s.takeRecord(q.Msg.GetRecord()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.YieldResponse{}), nil
}

// Witness implements peerpbconnect.FleetHandler.
func (s server) Witness(ctx context.Context, q *connect.Request[peerpb.WitnessRequest]) (*connect.Response[peerpb.WitnessResponse], error) {
	g, ok := s.knownPool(q.Msg.GetGroup())
	reaches := ok && g.Reaches(ctx, q.Msg.GetTarget())
	return connect.NewResponse(&peerpb.WitnessResponse{Reaches: reaches}), nil
}

// Order implements peerpbconnect.FleetHandler.
func (s server) Order(ctx context.Context, q *connect.Request[peerpb.OrderRequest]) (*connect.Response[peerpb.OrderResponse], error) {
	r, err := s.controls.direct(ctx, q.Msg.GetGroup(), q.Msg.GetTarget(), orderOf(q.Msg))
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
func (s server) Recall(ctx context.Context, q *connect.Request[peerpb.RecallRequest]) (*connect.Response[peerpb.RecallResponse], error) {
	arrived := s.Now()
	s.directory.Await(ctx, q.Msg.GetSince(), time.Duration(q.Msg.GetWait())*time.Millisecond)
	waited := s.Now() - arrived
	// What promises that nothing moves is read first, so that a move that
	// begins meanwhile began after the question.
	resting := s.mover.Resting() && s.grants.Renewed()
	revision, stored, ever := s.grants.Stored()
	age := int64(-1)
	if ever {
		age = (s.Now() - stored).Milliseconds() + 1
	}
	r := &peerpb.RecallResponse{Complete: s.directory.Complete(), Record: revision, Age: age, Resting: resting, Incarnation: s.incarnation, Waited: uint32(waited.Milliseconds())}
	for _, i := range s.directory.Since(q.Msg.GetSince()) {
		r.Items = append(r.Items, &peerpb.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	return connect.NewResponse(r), nil
}

func itemOf(i *peerpb.Item) store.Item {
	return store.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: i.GetRevision(), Deleted: i.GetDeleted()}
}

// recaller asks other VMs while the store does not answer this one.
type recaller struct{ *fleet }

func (r *recaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		pauseFor(ctx, recallPause+rand.N(recallPause/4))
		_, stored, ever := r.grants.Stored()
		if ever && r.Now()-stored < recallAfter {
			continue
		}
		r.round(ctx)
	}
}

// round asks all other VMs once. A confirmation that one of them had from the
// store counts here as well; if none had one lately, more than two thirds of all
// VMs vouch for the record that move no leadership and know of no newer one.
func (r *recaller) round(ctx context.Context) {
	sent := r.Now()
	others := r.directory.remembered()
	answers := make([]*peerpb.RecallResponse, len(others))
	wait := sync.WaitGroup{}
	for i, p := range others {
		wait.Go(func() { answers[i] = r.ask(ctx, p.Address, sent, 0) })
	}
	if len(others) == 0 {
		for _, address := range r.settings().Seeds() {
			wait.Go(func() { r.ask(ctx, address, sent, 0) })
		}
	}
	wait.Wait()
	r.poke()
	revision, _, _ := r.grants.Stored()
	vouching := 1
	for _, a := range answers {
		if a == nil {
			continue
		}
		if a.GetRecord() > revision {
			return
		}
		if a.GetResting() {
			vouching++
		}
	}
	if 3*vouching > 2*(len(others)+1) && r.mover.Resting() && r.grants.Renewed() {
		r.grants.Vouch(revision, sent)
	}
}

// ask takes in what one VM knows; nil if it does not answer.
func (f *fleet) ask(ctx context.Context, address string, sent, wait time.Duration) *peerpb.RecallResponse {
	ctx, cancel := context.WithTimeout(ctx, recallLimit+wait)
	defer cancel()
	q := &peerpb.RecallRequest{Since: f.directory.Complete(), Wait: uint32(wait.Milliseconds())}
	a, err := f.client(address).Recall(ctx, connect.NewRequest(q))
	if err != nil {
		f.Log.V(1).Info("VM did not answer", "address", address, "reason", err.Error())
		return nil
	}
	for _, i := range a.Msg.GetItems() {
		f.directory.Take(itemOf(i))
	}
	f.directory.Completed(a.Msg.GetComplete())
	if a.Msg.GetAge() >= 0 {
		looked := sent + time.Duration(a.Msg.GetWaited())*time.Millisecond
		f.grants.ConfirmRevision(a.Msg.GetRecord(), looked-time.Duration(a.Msg.GetAge())*time.Millisecond)
	}
	return a.Msg
}
