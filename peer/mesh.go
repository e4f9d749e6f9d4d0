package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/peer/peerpb"
	"amaranthsill/peer/peerpb/peerpbconnect"
	"amaranthsill/roster"
)

// Timeouts and bounds of calls between VMs.
const (
	// callTimeout limits one Exchange or Hear call, and the reading of an
	// incoming request's headers.
	callTimeout = 2 * time.Second
	// fetchTimeout limits one Fetch call.
	fetchTimeout = 5 * time.Second
	// maxMessageBytes limits a message that is received.
	maxMessageBytes = 8 << 20
	// eventQueueSize is the capacity of the channel of events waiting for the
	// mesh's goroutine.
	eventQueueSize = 256
)

// Mesh runs a roster.Machine and performs its actions through connect calls to
// other VMs. Set the exported fields before Start.
type Mesh struct {
	// Self is this VM's member record. Its address is where Start listens.
	Self roster.Member
	// Limits are the roster's timeouts and bounds.
	Limits roster.Limits
	// Log receives the changes of members.
	Log logr.Logger
	// Document returns the encoded form of a document that this VM holds, and
	// whether it holds one of that name.
	Document func(name string) ([]byte, bool)
	// Adopt takes the encoded form of a document that was fetched from another
	// VM because its version is newer.
	Adopt func(ctx context.Context, name string, value []byte)
	// TargetResponsive reports whether this VM has a recent answer from a
	// target of the group.
	TargetResponsive func(group, target string) bool
	// OnMembersChanged is called on the mesh's goroutine after members have
	// changed and View shows the change.
	OnMembersChanged func(ctx context.Context)
	// Registerer is where Start registers the mesh's metrics.
	Registerer prometheus.Registerer

	startedAt time.Time
	machine   *roster.Machine
	events    chan queuedEvent
	// membersChanged reports that members have changed since the last call of
	// OnMembersChanged.
	membersChanged bool
	// dropped counts messages from other VMs that were rejected.
	dropped prometheus.Counter
	server  *http.Server
	http    *http.Client

	// lock guards the fields below.
	lock    sync.Mutex
	view    View
	clients map[string]peerpbconnect.PeersClient
}

// queuedEvent is an event for the roster's machine. The channel receives the
// machine's reply to a roster.Received and is nil for other events.
type queuedEvent struct {
	event roster.Event
	reply chan roster.Knowledge
}

// View is a snapshot of the roster, published for readers outside the mesh's
// goroutine.
type View struct {
	// VMs are the VMs that are alive, this one included, sorted by name.
	VMs []roster.Member
	// Leaving holds the names of the machines that are leaving or dead.
	Leaving map[string]bool
	// WatchesPlatform reports whether this VM is one of the few in its zone that
	// watch the platform and pass changes on to the others.
	WatchesPlatform bool
	// Unconfirmed reports that the platform has not been known to hold the
	// manifest's version for longer than roster.Limits.MaxUnconfirmed, or never.
	Unconfirmed bool
	// SinceConfirmed is the time since the platform was last known to hold the
	// manifest's version as the latest; negative if that was never known.
	SinceConfirmed time.Duration
}

// View returns the latest published snapshot of the roster.
func (m *Mesh) View() View {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.view
}

// Start listens for other VMs and starts exchanging rosters with them. Both stop
// when ctx ends. Its error is that of opening the listener. It panics if the
// metrics are already registered.
func (m *Mesh) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", m.Self.Address())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	m.startedAt = time.Now()
	m.machine = &roster.Machine{Self: m.Self, Limits: m.Limits, Seed: m.Self.Incarnation()}
	m.events = make(chan queuedEvent, eventQueueSize)
	m.clients = map[string]peerpbconnect.PeersClient{}
	m.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "amaranthsill_peer_messages_dropped_total",
		Help: "Messages from VMs that were malformed, too large or of another version.",
	})
	m.Registerer.MustRegister(m.dropped)
	m.serve(ctx, l)
	go m.run(ctx)
	return nil
}

// serve answers other VMs on the listener until ctx ends, and creates the HTTP
// client for calls to them.
func (m *Mesh) serve(ctx context.Context, l net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeersHandler(m, connect.WithReadMaxBytes(maxMessageBytes)))
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	m.server = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: callTimeout}
	http2Only := &http.Protocols{}
	http2Only.SetUnencryptedHTTP2(true)
	m.http = &http.Client{Transport: &http.Transport{Protocols: http2Only, IdleConnTimeout: time.Minute}}
	go func() {
		// Serve only returns when the server is closed.
		_ = m.server.Serve(l)
	}()
	context.AfterFunc(ctx, func() { _ = m.server.Close() })
}

// run is the mesh's goroutine. It steps the roster's machine for each event and
// at the times that the machine asks for, until ctx ends.
func (m *Mesh) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-m.events:
			m.step(ctx, a)
		case <-timer.C:
			m.step(ctx, queuedEvent{event: roster.Ticked{}})
		}
		timer.Reset(m.machine.Next() - time.Since(m.startedAt))
	}
}

// step passes one event to the machine, performs the resulting actions and
// publishes the View. If members have changed but the machine has not yet
// recomputed its lists, step leaves the call of OnMembersChanged to a later step
// and does not wait: a large roster recomputes its lists at most twice per
// exchange interval.
func (m *Mesh) step(ctx context.Context, e queuedEvent) {
	for _, action := range m.machine.Step(time.Since(m.startedAt), e.event) {
		switch n := action.(type) {
		case roster.Send:
			go m.send(ctx, n)
		case roster.Fetch:
			go m.fetch(ctx, n)
		case roster.Reply:
			e.reply <- n.Knowledge
		case roster.Changed:
			m.membersChanged = true
			m.Log.Info("member changed", "name", n.Member.Name(), "state", n.Member.State().String())
		default:
			panic(fmt.Sprintf("peer: unknown action %T", n))
		}
	}
	m.publishView()
	if m.membersChanged && m.machine.UpToDate() {
		m.membersChanged = false
		m.OnMembersChanged(ctx)
	}
}

// publishView replaces the View with the machine's present state.
func (m *Mesh) publishView() {
	v := View{VMs: m.machine.VMs(), Leaving: m.machine.LeavingNames(), WatchesPlatform: m.machine.WatchesPlatform(), Unconfirmed: m.machine.Unconfirmed(ManifestDocument), SinceConfirmed: -1}
	if age, ok := m.machine.SinceConfirmed(ManifestDocument); ok {
		v.SinceConfirmed = age
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.view = v
}

// ManifestDocument is the document name under which VMs exchange the manifest.
const ManifestDocument = "manifest"

// Post queues an event for the mesh's goroutine. It blocks while the queue is
// full; if ctx ends first, the event is dropped.
func (m *Mesh) Post(ctx context.Context, e roster.Event) {
	select {
	case m.events <- queuedEvent{event: e}:
	case <-ctx.Done():
	}
}

// client returns the connect client for a VM's address. Clients are kept for
// later calls.
func (m *Mesh) client(v roster.Member) peerpbconnect.PeersClient {
	m.lock.Lock()
	defer m.lock.Unlock()
	c := m.clients[v.Address()]
	if c == nil {
		c = peerpbconnect.NewPeersClient(m.http, "http://"+v.Address(), connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendGzip())
		m.clients[v.Address()] = c
	}
	return c
}

// send calls Exchange on another VM and posts the reply, or a failure. A reply
// that fails its checks is counted and dropped.
func (m *Mesh) send(ctx context.Context, s roster.Send) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := m.client(s.To).Exchange(callCtx, connect.NewRequest(&peerpb.ExchangeRequest{Protocol: protocolVersion, Knowledge: EncodeKnowledge(s.Knowledge)}))
	if err != nil {
		m.Post(ctx, roster.Failed{To: s.To.Name()})
		return
	}
	k, err := DecodeKnowledge(a.Msg.Knowledge)
	if err != nil {
		m.dropped.Inc()
		return
	}
	m.Post(ctx, roster.Answered{From: s.To.Name(), Knowledge: k})
}

// fetch retrieves a document from another VM and passes it to Adopt, or posts a
// failure.
func (m *Mesh) fetch(ctx context.Context, f roster.Fetch) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	a, err := m.client(f.From).Fetch(callCtx, connect.NewRequest(&peerpb.FetchRequest{Protocol: protocolVersion, Document: f.Document}))
	if err != nil {
		m.Post(ctx, roster.Failed{To: f.From.Name()})
		return
	}
	m.Adopt(ctx, f.Document, a.Msg.Value)
}

// errStopping means that a call's context ended before the mesh's goroutine
// could answer it, usually since the VM is stopping.
var errStopping = errors.New("the VM is stopping")

// Exchange implements peerpbconnect.PeersHandler: it merges the knowledge of the
// calling VM, which is its document versions and member records, and returns
// that of this VM. It fails with CodeInvalidArgument for a message that fails its
// checks, and with CodeUnavailable if ctx ends.
func (m *Mesh) Exchange(ctx context.Context, q *connect.Request[peerpb.ExchangeRequest]) (*connect.Response[peerpb.ExchangeResponse], error) {
	k, err := DecodeKnowledge(q.Msg.Knowledge)
	if err != nil || q.Msg.Protocol != protocolVersion {
		m.dropped.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Join(ErrInvalidMessage, err))
	}
	reply := make(chan roster.Knowledge, 1)
	select {
	case m.events <- queuedEvent{event: roster.Received{Knowledge: k}, reply: reply}:
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, errStopping)
	}
	select {
	case r := <-reply:
		return connect.NewResponse(&peerpb.ExchangeResponse{Knowledge: EncodeKnowledge(r)}), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, errStopping)
	}
}

// Fetch implements peerpbconnect.PeersHandler: it returns a document that this
// VM holds. It fails with CodeNotFound if there is none of that name, or if the
// request has another protocol version.
func (m *Mesh) Fetch(_ context.Context, q *connect.Request[peerpb.FetchRequest]) (*connect.Response[peerpb.FetchResponse], error) {
	value, ok := m.Document(q.Msg.Document)
	if !ok || q.Msg.Protocol != protocolVersion {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("document %q: %w", q.Msg.Document, ErrInvalidMessage))
	}
	return connect.NewResponse(&peerpb.FetchResponse{Value: bytes.Clone(value)}), nil
}

// Hear implements peerpbconnect.PeersHandler: it tells whether this VM has a
// recent answer from a target. It fails with CodeInvalidArgument if the request
// has another protocol version.
func (m *Mesh) Hear(_ context.Context, q *connect.Request[peerpb.HearRequest]) (*connect.Response[peerpb.HearResponse], error) {
	if q.Msg.Protocol != protocolVersion {
		m.dropped.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrInvalidMessage)
	}
	return connect.NewResponse(&peerpb.HearResponse{Hears: m.TargetResponsive(q.Msg.Group, q.Msg.Target)}), nil
}

// AskTarget implements kernel.Peers. It returns at once and calls report from
// other goroutines. The VMs are chosen per zone by rendezvous hashing of the
// group's name; a VM that fails or does not answer within callTimeout is not
// reported.
func (m *Mesh) AskTarget(ctx context.Context, group, target string, report func(zone string, responsive bool)) {
	others := []roster.Member{}
	for _, v := range m.View().VMs {
		if v.Zone() != m.Self.Zone() {
			others = append(others, v)
		}
	}
	for _, v := range roster.PerZone(group, others, 1) {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			a, err := m.client(v).Hear(callCtx, connect.NewRequest(&peerpb.HearRequest{Protocol: protocolVersion, Group: group, Target: target}))
			if err == nil {
				report(v.Zone(), a.Msg.Hears)
			}
		}()
	}
}
