package edge

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// echoDialer opens links that answer every order.
type echoDialer struct{}

func (echoDialer) Dial(context.Context, pool.Target, string) (pool.Link, query.Position, error) {
	return echoLink{}, query.Position{}, nil
}
func (echoDialer) Affinity(pool.Target, string) string          { return "" }
func (echoDialer) ParseStatus(query.Reply) (pool.Report, error) { return pool.Report{}, nil }

type echoLink struct{}

func (echoLink) Send(...pool.Order) error      { return nil }
func (echoLink) Receive() (query.Reply, error) { return query.Reply{Receipt: "mac"}, nil }
func (echoLink) SetDeadline(time.Time) error   { return nil }
func (echoLink) Close()                        {}

// Guards against groups that are reported one by one, and against bytes or zones that
// are mixed up.
func TestTrafficMetricsSumTheGroups(t *testing.T) {
	v := &VM{Settings: Settings{zone: "xela-a", traffic: trafficSettings{enabled: true}}, groups: map[string]*pool.Group{}}
	begin := time.Now()
	for _, name := range []string{"choir", "brass"} {
		g := &pool.Group{Name: name, Zone: "xela-a", Dialer: echoDialer{}, Now: func() time.Duration { return time.Since(begin) + time.Hour }, Log: logr.Discard(), Traffic: v.Settings.Traffic()}
		g.Configure([]pool.Target{{ID: name + "-1", Group: name, Zone: "xela-b", Slots: 3}}, 2)
		g.SetLeader(name + "-1")
		v.groups[name] = g
		s, err := g.Acquire(context.Background(), pool.Need{Leader: true, Until: g.Now() + time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Run(pool.Forward{Query: query.Query{Text: "read 1"}}, g.Now()+time.Minute); err != nil {
			t.Fatal(err)
		}
		s.Release()
	}
	r := prometheus.NewRegistry()
	r.MustRegister(newTrafficCollector(v))
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for _, f := range families {
		text += f.String() + "\n"
	}
	if strings.Count(text, `value:"xela-a"`) != 2 || strings.Count(text, `value:"xela-b"`) != 2 || strings.Count(text, `value:"leader"`) != 2 || !strings.Contains(text, "counter:{value:2}") {
		t.Errorf("metrics are %s", text)
	}
}
