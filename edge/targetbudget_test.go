package edge

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/customer"
	"amaranthsill/peer/peerpb"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/relay"
)

// budgetFixture is a VM of a zone, and its pool of a group with the
// target choir-b in this zone.
type budgetFixture struct {
	*supervisor
	pool *pool.Group
	now  time.Duration
}

func newBudgetFixture(t *testing.T, vm string) *budgetFixture {
	t.Helper()
	set, err := customer.NewSet([]customer.Entry{{Customer: customer.Customer{Name: "bell"}}})
	if err != nil {
		t.Fatal(err)
	}
	f := &budgetFixture{now: time.Hour}
	peers := peersIn(20, "b")
	for i := range peers {
		// Nobody listens there, so that holders are unreachable once one is tried.
		peers[i].Relay = "127.0.0.1:1"
	}
	v, _ := placementOf(vm, peers, set)
	v.Now = func() time.Duration { return f.now }
	v.dialer = &relay.Dialer{Holders: v.wayTo, Now: v.Now, Log: logr.Discard()}
	f.pool = &pool.Group{Name: "choir", Zone: "b", Dialer: v.dialer, Now: v.Now, Log: logr.Discard()}
	f.supervisor = &supervisor{VM: v, fallbacks: map[string]bool{}}
	return f
}

// expect configures the pool and expects a budget for the target.
func (f *budgetFixture) expect(t *testing.T, when string, budget int) {
	t.Helper()
	target := pool.Target{ID: "choir-b", Group: "choir", Zone: "b"}
	f.configurePool("choir", 70, f.pool, []pool.Target{target})
	if got := f.pool.Describe(false); !strings.Contains(got, fmt.Sprintf("budget=%d,", budget)) {
		t.Errorf("%s: %s, want a budget of %d", when, got, budget)
	}
}

// holderAndOther returns a VM that holds choir-b, and one that does not.
func holderAndOther() (holder, other string) {
	peers := peersIn(20, "b")
	holders := newMembership(peers).targetHolders(pool.Target{ID: "choir-b", Zone: "b"}, 68)
	for _, p := range peers {
		if !containsVM(holders, p.Name) {
			other = p.Name
		}
	}
	return holders[0].Name, other
}

// TestGrantedBudgetIsNotReplacedByTheBaseShare guards against a holder that closes
// connections 20 times a second because the supervisor passes on its base share.
func TestGrantedBudgetIsNotReplacedByTheBaseShare(t *testing.T) {
	holder, _ := holderAndOther()
	f := newBudgetFixture(t, holder)
	f.expect(t, "without a grant", 17)
	(&claimer{fleet: &fleet{VM: f.VM}}).setBudget(f.pool, "choir", "choir-b", 30)
	f.expect(t, "with a grant", 30)
	f.now += grantTTL - time.Millisecond
	f.expect(t, "before the grant ends", 30)
	f.now += time.Millisecond
	f.expect(t, "after the grant", 17)
}

func TestBudgetOfAVMThatIsNoHolder(t *testing.T) {
	_, other := holderAndOther()
	f := newBudgetFixture(t, other)
	f.expect(t, "while holders answer", 2*maxRelayedLinks)
	(&claimer{fleet: &fleet{VM: f.VM}}).setBudget(f.pool, "choir", "choir-b", 30)
	f.expect(t, "after a late answer to a claim", 2*maxRelayedLinks)
	f.dialer.Direct = refusingDialer{}
	if _, _, err := f.dialer.Dial(context.Background(), pool.Target{ID: "choir-b", Group: "choir"}, "bell"); err == nil {
		t.Fatal("a link was opened although nobody listens")
	}
	f.expect(t, "while no holder answers", 1)
}

// refusingDialer opens no connections.
type refusingDialer struct{ pool.Dialer }

func (refusingDialer) Dial(context.Context, pool.Target, string) (pool.Link, query.Position, error) {
	return nil, query.Position{}, context.DeadlineExceeded
}

// TestHolderClaimsEachTarget guards against a VM for which the allocator reserves a base
// share although it needs none, and against connections of customers that are closed
// because no statement is using them.
func TestHolderClaimsEachTarget(t *testing.T) {
	holder, other := holderAndOther()
	cases := map[string]struct {
		vm     string
		claims []pool.Claim
		want   string
	}{
		"one without connections":       {holder, nil, "choir-b open 0 wanted 0"},
		"one that keeps connections":    {holder, []pool.Claim{{Target: "choir-b", Open: 12, Wanted: 2}}, "choir-b open 12 wanted 12"},
		"one that keeps more than most": {holder, []pool.Claim{{Target: "choir-b", Open: 40, Wanted: 2}}, "choir-b open 40 wanted 34"},
		"one that needs more than most": {holder, []pool.Claim{{Target: "choir-b", Open: 40, Wanted: 36}}, "choir-b open 40 wanted 36"},
		"one that is no holder":         {other, []pool.Claim{{Target: "choir-b", Open: 30, Wanted: 25}}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newBudgetFixture(t, c.vm)
			requests := map[Peer]*peerpb.DivideRequest{}
			targets := map[string]*targetHolders{"choir-b": f.holdersOf("choir").targets["choir-b"]}
			if err := (&claimer{fleet: &fleet{VM: f.VM}}).addTargetClaims(requests, "choir", targets, c.claims); err != nil {
				t.Fatal(err)
			}
			got := ""
			for p, q := range requests {
				if p.Name != holder {
					t.Errorf("claims go to %s, want the first holder %s", p.Name, holder)
				}
				for _, n := range q.GetClaims() {
					got += fmt.Sprintf("%s open %d wanted %d", n.GetTarget(), n.GetOpen(), n.GetWanted())
				}
			}
			if got != c.want {
				t.Errorf("claims %q, want %q", got, c.want)
			}
		})
	}
}
