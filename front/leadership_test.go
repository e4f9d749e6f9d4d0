package front_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// logs are targets of one group that answer with their ID and the position of their log.
type logs struct {
	lock      sync.Mutex
	positions map[string]query.Position
	// answerTime is how long answers are on their way.
	answerTime time.Duration
	// sendErrors and receiveErrors hold the error of the next statement with a text.
	sendErrors, receiveErrors map[string]error
}

func (l *logs) Affinity(pool.Target, string) string { return "" }

func (l *logs) Dial(_ context.Context, t pool.Target, _ string) (pool.Link, query.Position, error) {
	return &logLink{logs: l, id: t.ID}, query.Position{}, nil
}

func (l *logs) ParseStatus(query.Reply) (pool.Report, error) {
	return pool.Report{}, errors.ErrUnsupported
}

func (l *logs) commit(id string, p query.Position) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.positions[id] = p
}

func (l *logs) delayAnswers(d time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.answerTime = d
}

type logLink struct {
	*logs
	id    string
	sent  []pool.Order
	state query.State
}

func (l *logLink) Send(orders ...pool.Order) error {
	if err := l.fails(orders[len(orders)-1], l.sendErrors); err != nil {
		return err
	}
	l.sent = append(l.sent, orders...)
	return nil
}

func (l *logLink) Receive() (query.Reply, error) {
	o := l.sent[0]
	l.sent = l.sent[1:]
	l.lock.Lock()
	r, delay := l.answer(o), l.answerTime
	l.lock.Unlock()
	time.Sleep(delay)
	return r, l.fails(o, l.receiveErrors)
}

// fails returns the error of a statement on the link, once.
func (l *logLink) fails(o pool.Order, errors map[string]error) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	f, ok := o.(pool.Forward)
	if !ok {
		return nil
	}
	err := errors[f.Query.Text]
	delete(errors, f.Query.Text)
	return err
}

func (l *logLink) answer(o pool.Order) query.Reply {
	r := query.Reply{Position: l.positions[l.id]}
	after := query.Position{}
	switch o := o.(type) {
	case pool.Begin:
		l.state, after = query.StateOpen, o.After
	case pool.Forward:
		if o.Query.Text == "COMMIT" {
			l.state = query.StateIdle
		}
		r.Rows, r.Receipt, after = []string{l.id + " " + r.Position.String()}, "mac", o.After
	}
	r.State = l.state
	if !r.Position.Reaches(after) {
		return query.Reply{Failure: &query.Failure{Code: query.CodeLagging}, State: r.State}
	}
	return r
}

func (l *logLink) SetDeadline(time.Time) error { return nil }
func (l *logLink) Close()                      {}

// row returns the first line of the answer to a query: its row, or the failure.
func (c *caller) row(text string) string {
	c.b.t.Helper()
	c.send("QUERY 1 " + text)
	first, last := "", ""
	for !strings.HasPrefix(last, "READY") {
		last = c.line()
		if last == "" {
			c.b.t.Fatalf("%s: the session was closed", text)
		}
		if first == "" {
			first = last
		}
	}
	return first
}

// reign is a leadership in a leader record. It began with the write that replaced the
// record of a revision; zero if the writer does not tell.
type reign struct {
	target, mover string
	since         int
}

// recordOf returns a leader record in which the reign is that of the group.
func recordOf(t *testing.T, revision store.Revision, r reign) succession.Record {
	lead := fmt.Sprintf(`{"target":%q,"mover":%q,"since":%d}`, r.target, r.mover, r.since)
	value := fmt.Sprintf(`{"lease":%d,"leads":{"choir":%s,"guild":{"target":"z"}}}`, revision, lead)
	n, err := succession.DecodeRecord(store.Item{Key: succession.RecordKey, Value: []byte(value), Revision: revision})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// leaderBench is a bench with a leader a, known and confirmed from the store.
type leaderBench struct {
	*bench
	*logs
	grants *succession.Grants
}

// runWithLeader starts a server of the given targets. The leader record has the
// revision 1.
func runWithLeader(t *testing.T, zones map[string]string, test func(*leaderBench)) {
	c := configuration(1, nil)
	c.Routes["current"] = &catalog.Route{Name: "current", Database: "current", Group: "choir", Timeout: 12 * time.Second, LatencyObjective: 5 * time.Second}
	c.Routes["bounded"] = &catalog.Route{
		Name: "bounded", Database: "bounded", Group: "choir", Timeout: 12 * time.Second, LatencyObjective: 5 * time.Second,
		Consistency: catalog.ConsistencyBounded, MaxStaleness: 1500 * time.Millisecond,
	}
	l := &logs{positions: map[string]query.Position{}}
	runOn(t, c, l, func(b *bench) {
		n := &leaderBench{bench: b, logs: l, grants: &succession.Grants{Length: succession.GrantLength, Now: b.Now}}
		b.Leaders = n.grants
		n.register(zones)
		b.group.SetLeader("a")
		n.confirm(recordOf(t, 1, reign{target: "a", since: 1}))
		test(n)
	})
}

func (n *leaderBench) register(zones map[string]string) {
	targets := []pool.Target{}
	for id, zone := range zones {
		n.commit(id, group.At(1, 95))
		targets = append(targets, pool.Target{ID: id, Group: "choir", Zone: zone, Slots: 4})
	}
	n.group.Configure(targets, 9)
}

// confirm takes in a record that the store returns now.
func (n *leaderBench) confirm(r succession.Record) { n.grants.ConfirmRecord(r, n.Now()) }

// TestAnswerOfAnEarlierLeadership guards against acknowledging what a target executed
// while it did not know that another one led, because it leads again when the answer is
// looked at.
func TestAnswerOfAnEarlierLeadership(t *testing.T) {
	cut, connected := 1500*time.Millisecond, 100*time.Millisecond
	cases := map[string]struct {
		// after is how long after the write was sent the records were taken in.
		after   time.Duration
		records []reign
		want    string
	}{
		"the VM saw both moves": {connected, []reign{{"a", "x", 0}, {"b", "", 2}, {"b", "y", 0}, {"a", "", 4}}, "ERROR INDOUBT"},
		"the VM saw no move":    {cut, []reign{{"a", "", 4}}, "ERROR INDOUBT"},
		"the VM saw no move, and the writer does not tell when a leadership began": {cut, []reign{{"a", "", 0}}, "ERROR INDOUBT"},

		"the record is unchanged":                                           {cut, nil, "DATAROW a 1.95"},
		"the record was written for another group":                          {connected, []reign{{"a", "", 1}}, "DATAROW a 1.95"},
		"the record was written for another group while the VM was cut off": {cut, []reign{{"a", "", 1}}, "DATAROW a 1.95"},
		"the record was written by a former build":                          {connected, []reign{{"a", "", 0}}, "DATAROW a 1.95"},
		"the record was written by a former build, then by a present one":   {connected, []reign{{"a", "", 0}, {"a", "", 3}}, "DATAROW a 1.95"},
	}
	for name, c := range cases {
		for _, statements := range [][]string{{"WRITE 1 x"}, {"BEGIN", "WRITE 1 x", "COMMIT"}} {
			t.Run(name+", "+statements[len(statements)-1], func(t *testing.T) {
				runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
					s := n.session("STARTUP current u")
					for _, text := range statements[:len(statements)-1] {
						s.row(text)
					}
					n.delayAnswers(2 * time.Second)
					answer := make(chan string, 1)
					go func() { answer <- s.row(statements[len(statements)-1]) }()
					time.Sleep(c.after)
					for i, r := range c.records {
						n.confirm(recordOf(t, store.Revision(i+2), r))
					}
					time.Sleep(1900*time.Millisecond - c.after)
					n.confirm(n.grants.Record())
					if got := <-answer; !strings.HasPrefix(got, c.want) {
						t.Errorf("the caller got %q, want %q", got, c.want)
					}
				})
			})
		}
	}
}

// TestAnswerOfADeposedLeader guards against acknowledging what a deposed target executed,
// because it counts as the leader again when the time for which it did not is over.
func TestAnswerOfADeposedLeader(t *testing.T) {
	runWithLeader(t, map[string]string{"a": "coban"}, func(n *leaderBench) {
		s := n.session("STARTUP current u")
		s.row("READ 1")
		n.delayAnswers(2 * time.Second)
		answer := make(chan string, 1)
		go func() { answer <- s.row("WRITE 1 x") }()
		time.Sleep(100 * time.Millisecond)
		n.grants.Depose("choir", "a", n.Now()+time.Second)
		time.Sleep(1800 * time.Millisecond)
		n.confirm(n.grants.Record())
		if got := <-answer; !strings.HasPrefix(got, "ERROR INDOUBT") {
			t.Errorf("the caller got %q, want that the write is in doubt", got)
		}
	})
}

// TestPositionOfAnEarlierLeadership guards against reads on a replica that lacks
// acknowledged commits, because a position counted as the leader's that a target had
// answered while another one led, and leads again when the answer is looked at.
func TestPositionOfAnEarlierLeadership(t *testing.T) {
	without := func(zone string) map[string]string { return map[string]string{"a": zone} }
	with := func(zone string) map[string]string { return map[string]string{"a": zone, "r": "coban"} }
	cases := map[string]struct {
		route string
		zone  string
		// during and after are the targets that are registered when the position is
		// answered, and when it is used.
		during, after map[string]string
		staleness     time.Duration
	}{
		"in the answer to an earlier read":         {"bounded", "coban", without("coban"), with("coban"), 1500 * time.Millisecond},
		"in the answer to a question for it alone": {"current", "antigua", with("antigua"), with("antigua"), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithLeader(t, without(c.zone), func(n *leaderBench) {
				time.Sleep(50 * time.Millisecond)
				s := n.session("STARTUP " + c.route + " u")
				s.row("READ 1")
				// The VM reaches only a from here on. Another target is promoted, of which
				// neither a nor the replica r knows, and other VMs acknowledge its commit 2.96.
				time.Sleep(1350 * time.Millisecond)
				acknowledged := n.Now()
				time.Sleep(100 * time.Millisecond)
				n.register(c.during)
				n.delayAnswers(300 * time.Millisecond)
				answer := make(chan string, 1)
				go func() { answer <- s.row("READ 1") }()
				time.Sleep(100 * time.Millisecond)
				// Then a leads again, with the log of the other target.
				n.commit("a", group.At(2, 96))
				n.confirm(recordOf(t, 5, reign{target: "a", since: 4}))
				got := <-answer
				if c.staleness > 0 {
					n.delayAnswers(0)
					n.register(c.after)
					n.commit("a", group.At(2, 96))
					time.Sleep(acknowledged + c.staleness + 50*time.Millisecond - n.Now())
					n.confirm(n.grants.Record())
					got = s.row("READ 1")
				}
				if got != "DATAROW a 2.96" {
					t.Errorf("the read ran on %q, want the log of a with 2.96", got)
				}
			})
		})
	}
}
