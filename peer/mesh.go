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

// The times and bounds of calls between VMs.
const (
	callLimit  = 2 * time.Second
	fetchLimit = 5 * time.Second
	maxMessage = 8 << 20
	eventRing  = 256
)

// Mesh carries out what a roster.Machine decides, over connect. Set the
// exported fields before Start.
type Mesh struct {
	// Self is this VM.
	Self roster.Member
	// Limits are the roster's times and bounds.
	Limits roster.Limits
	// Log receives what an operator may want to know.
	Log logr.Logger
	// Document returns the stored form of a document that this VM holds.
	Document func(name string) ([]byte, bool)
	// Adopt takes over a document that another VM holds.
	Adopt func(ctx context.Context, name string, value []byte)
	// Hears reports whether this VM hears a target of a group.
	Hears func(group, target string) bool
	// Changed is called after members changed.
	Changed func(ctx context.Context)
	// Metrics registers the mesh's metrics.
	Metrics prometheus.Registerer

	begun   time.Time
	machine *roster.Machine
	events  chan asked
	// changed reports that members changed since Changed was last called.
	changed bool
	dropped prometheus.Counter
	server  *http.Server
	http    *http.Client

	lock    sync.Mutex
	view    View
	clients map[string]peerpbconnect.PeersClient
}

// asked is an event for the machine, and where a reply to it goes.
type asked struct {
	event roster.Event
	reply chan roster.Knowledge
}

// View is what the mesh's goroutine last knew.
type View struct {
	// VMs are the VMs that are alive.
	VMs []roster.Member
	// Leaving names the machines that are leaving or gone.
	Leaving map[string]bool
	// Spreader reports whether this VM waits on the platform for its zone.
	Spreader bool
	// Blind reports whether the manifest's version went unconfirmed for too
	// long.
	Blind bool
	// Age is how long ago it was confirmed; negative if never.
	Age time.Duration
}

// View returns what the mesh's goroutine last knew.
func (m *Mesh) View() View {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.view
}

// Start listens for other VMs and begins to exchange with them, until the
// context ends.
func (m *Mesh) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", m.Self.Address())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	m.begun = time.Now()
	m.machine = &roster.Machine{Self: m.Self, Limits: m.Limits, Seed: m.Self.Incarnation()}
	m.events = make(chan asked, eventRing)
	m.clients = map[string]peerpbconnect.PeersClient{}
	m.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "amaranthsill_peer_messages_dropped_total",
		Help: "Messages from VMs that were malformed, too large or of another version.",
	})
	m.Metrics.MustRegister(m.dropped)
	m.serve(ctx, l)
	go m.run(ctx)
	return nil
}

func (m *Mesh) serve(ctx context.Context, l net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeersHandler(m, connect.WithReadMaxBytes(maxMessage)))
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	m.server = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: callLimit}
	only := &http.Protocols{}
	only.SetUnencryptedHTTP2(true)
	m.http = &http.Client{Transport: &http.Transport{Protocols: only, IdleConnTimeout: time.Minute}}
	go func() {
		// Serve returns when the server is closed.
		_ = m.server.Serve(l)
	}()
	context.AfterFunc(ctx, func() { _ = m.server.Close() })
}

// run is the mesh's goroutine: it steps the machine.
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
			m.step(ctx, asked{event: roster.Ticked{}})
		}
		timer.Reset(m.machine.Next() - time.Since(m.begun))
	}
}

func (m *Mesh) step(ctx context.Context, a asked) {
	for _, action := range m.machine.Step(time.Since(m.begun), a.event) {
		switch n := action.(type) {
		case roster.Send:
			go m.send(ctx, n)
		case roster.Fetch:
			go m.fetch(ctx, n)
		case roster.Reply:
			a.reply <- n.Knowledge
		case roster.Changed:
			m.changed = true
			m.Log.Info("member changed", "name", n.Member.Name(), "state", n.Member.State().String())
		default:
			panic(fmt.Sprintf("peer: unknown action %T", n))
		}
	}
	m.look()
	if m.changed && m.machine.Settled() {
		m.changed = false
		m.Changed(ctx)
	}
}

// look publishes what the machine knows.
func (m *Mesh) look() {
	v := View{VMs: m.machine.VMs(), Leaving: m.machine.LeavingNames(), Spreader: m.machine.Spreader(), Blind: m.machine.Blind(ManifestDocument), Age: -1}
	if age, ok := m.machine.Confirmed(ManifestDocument); ok {
		v.Age = age
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.view = v
}

// ManifestDocument is the name under which VMs exchange the manifest.
const ManifestDocument = "manifest"

// Post hands an event to the mesh's goroutine.
func (m *Mesh) Post(ctx context.Context, e roster.Event) {
	select {
	case m.events <- asked{event: e}:
	case <-ctx.Done():
	}
}

func (m *Mesh) client(v roster.Member) peerpbconnect.PeersClient {
	m.lock.Lock()
	defer m.lock.Unlock()
	c := m.clients[v.Address()]
	if c == nil {
		c = peerpbconnect.NewPeersClient(m.http, "http://"+v.Address(), connect.WithReadMaxBytes(maxMessage), connect.WithSendGzip())
		m.clients[v.Address()] = c
	}
	return c
}

func (m *Mesh) send(ctx context.Context, s roster.Send) {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	a, err := m.client(s.To).Exchange(limited, connect.NewRequest(&peerpb.ExchangeRequest{Protocol: protocol, Knowledge: ToKnowledge(s.Knowledge)}))
	if err != nil {
		m.Post(ctx, roster.Failed{To: s.To.Name()})
		return
	}
	k, err := FromKnowledge(a.Msg.Knowledge)
	if err != nil {
		m.dropped.Inc()
		return
	}
	m.Post(ctx, roster.Answered{From: s.To.Name(), Knowledge: k})
}

func (m *Mesh) fetch(ctx context.Context, f roster.Fetch) {
	limited, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	a, err := m.client(f.From).Fetch(limited, connect.NewRequest(&peerpb.FetchRequest{Protocol: protocol, Document: f.Document}))
	if err != nil {
		m.Post(ctx, roster.Failed{To: f.From.Name()})
		return
	}
	m.Adopt(ctx, f.Document, a.Msg.Value)
}

// errStopping reports a call that came while the VM stops.
var errStopping = errors.New("the VM is stopping")

// Exchange implements the service for other VMs.
func (m *Mesh) Exchange(ctx context.Context, q *connect.Request[peerpb.ExchangeRequest]) (*connect.Response[peerpb.ExchangeResponse], error) {
	k, err := FromKnowledge(q.Msg.Knowledge)
	if err != nil || q.Msg.Protocol != protocol {
		m.dropped.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Join(ErrMessage, err))
	}
	reply := make(chan roster.Knowledge, 1)
	select {
	case m.events <- asked{event: roster.Received{Knowledge: k}, reply: reply}:
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, errStopping)
	}
	select {
	case r := <-reply:
		return connect.NewResponse(&peerpb.ExchangeResponse{Knowledge: ToKnowledge(r)}), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, errStopping)
	}
}

// Fetch implements the service for other VMs.
func (m *Mesh) Fetch(_ context.Context, q *connect.Request[peerpb.FetchRequest]) (*connect.Response[peerpb.FetchResponse], error) {
	value, ok := m.Document(q.Msg.Document)
	if !ok || q.Msg.Protocol != protocol {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("document %q: %w", q.Msg.Document, ErrMessage))
	}
	return connect.NewResponse(&peerpb.FetchResponse{Value: bytes.Clone(value)}), nil
}

// Hear implements the service for other VMs.
func (m *Mesh) Hear(_ context.Context, q *connect.Request[peerpb.HearRequest]) (*connect.Response[peerpb.HearResponse], error) {
	if q.Msg.Protocol != protocol {
		m.dropped.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrMessage)
	}
	return connect.NewResponse(&peerpb.HearResponse{Hears: m.Hears(q.Msg.Group, q.Msg.Target)}), nil
}

// AskTarget implements kernel.Peers: it asks one VM of each other zone.
func (m *Mesh) AskTarget(ctx context.Context, group, target string, saw func(zone string, hears bool)) {
	others := []roster.Member{}
	for _, v := range m.View().VMs {
		if v.Zone() != m.Self.Zone() {
			others = append(others, v)
		}
	}
	for _, v := range roster.PerZone(group, others, 1) {
		go func() {
			limited, cancel := context.WithTimeout(ctx, callLimit)
			defer cancel()
			a, err := m.client(v).Hear(limited, connect.NewRequest(&peerpb.HearRequest{Protocol: protocol, Group: group, Target: target}))
			if err == nil {
				saw(v.Zone(), a.Msg.Hears)
			}
		}()
	}
}
