package front

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/catalog"
	"amaranthsill/customer"
	"amaranthsill/pool"
)

// TestNeedNamesTheCustomer guards against statements that run on another customer's
// connection, or on one without a customer, since their need does not name theirs.
func TestNeedNamesTheCustomer(t *testing.T) {
	routes := map[string]*catalog.Route{"kept": {Database: "kept"}, "open": {Database: "open", Public: true}}
	set, err := customer.NewSet([]customer.Entry{{Customer: customer.Customer{Name: "miny"}, Keys: []customer.Digest{customer.DigestOf("key")}}})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		customers *customer.Set
		database  string
		want      string
	}{
		"a route that needs a key": {set, "kept", "miny"},
		"a public route":           {set, "open", ""},
		"no customers":             {nil, "kept", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := func() time.Duration { return time.Hour }
			g := &pool.Group{Now: now, Log: logr.Discard()}
			srv := &Server{
				Catalog: &catalog.Catalog{}, Now: now, Metrics: NewMetrics(prometheus.NewRegistry(), logr.Discard()),
				Group: func(string) (*pool.Group, bool) { return g, true },
			}
			srv.Catalog.Update(&catalog.Configuration{Version: 1, Routes: routes, Customers: c.customers})
			s := &session{server: srv}
			if f := s.admitStart(c.database, customer.DigestOf("key")); f != nil {
				t.Fatal(f)
			}
			r, refusal := s.startOperation()
			if refusal != nil {
				t.Fatal(refusal.Failure)
			}
			for _, leader := range []bool{true, false} {
				a, refusal := s.newAttempt("id", r, leader)
				if refusal != nil {
					t.Fatal(refusal.Failure)
				}
				got := ""
				if m := a.need(context.Background()).Customer; m != nil {
					got = m.Name
				}
				if got != c.want {
					t.Errorf("need names customer %q, want %q", got, c.want)
				}
			}
		})
	}
}
