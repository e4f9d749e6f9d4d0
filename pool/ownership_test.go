package pool_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthsill/pool"
)

// TestConnectionsStayWithTheirCustomers guards against a statement that runs on a
// connection opened for another customer, and against more connections or openings
// than allowed, while customers come and go at random.
func TestConnectionsStayWithTheirCustomers(t *testing.T) {
	cases := map[string]func(string) (string, bool){
		"direct":                nil,
		"through two other VMs": func(name string) (string, bool) { return fmt.Sprintf("vm-%d", len(name)%2), true },
		"some through another VM": func(name string) (string, bool) {
			return fmt.Sprintf("vm-%d", len(name)%2), len(name)%2 == 0
		},
	}
	for name, route := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newStandIn(4, 6)
				d.route = route
				v := newCustomerVM(d, 6)
				names := []string{"", "choir", "organ", "bell", "lectern", "steeple", "nave", "apse", "crypt", "altar"}
				wait := sync.WaitGroup{}
				served, refused := 0, 0
				lock := sync.Mutex{}
				r := rand.New(rand.NewPCG(1, 2))
				for range 400 {
					time.Sleep(time.Duration(r.IntN(12)) * time.Millisecond)
					name, work := names[r.IntN(len(names))], time.Duration(3+r.IntN(12))*time.Millisecond
					wait.Go(func() {
						s, err := v.acquire(name, time.Second)
						if err == nil {
							_, err = s.Run(order(name, work), v.now()+time.Second)
							s.Release()
						}
						lock.Lock()
						defer lock.Unlock()
						served++
						if err != nil {
							served--
							refused++
						}
					})
				}
				wait.Wait()
				if d.foreign > 0 || d.maxOpen > 6 || served < 390 {
					t.Errorf("%d served, %d refused, %d on another customer's connection, %d open at once", served, refused, d.foreign, d.maxOpen)
				}
				if name == "direct" && d.maxOpening > 2 {
					t.Errorf("%d connections were being opened at once on 4 slots", d.maxOpening)
				}
			})
		})
	}
}

// TestEviction guards against closing the connection of a busy customer, which by idle
// time alone is as good as any, in place of one that is rarely used.
func TestEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newStandIn(4, 3)
		v := newCustomerVM(d, 3)
		for range 40 {
			v.serve(t, "busy", 3*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			v.configure(3)
		}
		// The connection of the busy customer has been idle for longest.
		v.serve(t, "rare", time.Millisecond)
		v.serve(t, "seldom", time.Millisecond)
		time.Sleep(30 * time.Millisecond)
		v.serve(t, "new", time.Millisecond)
		v.serve(t, "busy", time.Millisecond)
		if d.opened["busy"] != 1 || v.Evictions() != 1 || v.Opens() != 4 {
			t.Errorf("opened %v, %d evictions, %d opens", d.opened, v.Evictions(), v.Opens())
		}
	})
}

// TestTurns guards against a customer that is never served, since others need each
// connection all the time, and against connections that change hands at each statement.
func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newStandIn(4, 1)
		v := newCustomerVM(d, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		served := map[string]*int{"a": new(int), "b": new(int), "c": new(int)}
		wait := sync.WaitGroup{}
		for name, n := range served {
			for range 2 {
				lock := &sync.Mutex{}
				wait.Go(func() {
					for ctx.Err() == nil {
						if s, err := v.acquire(name, time.Second); err == nil {
							if _, err := s.Run(order(name, 5*time.Millisecond), v.now()+time.Second); err == nil {
								lock.Lock()
								*n++
								lock.Unlock()
							}
							s.Release()
						}
					}
				})
			}
		}
		wait.Wait()
		for name, n := range served {
			if *n < 150 {
				t.Errorf("customer %s got %d statements of about 300 in its third of the time", name, *n)
			}
		}
		if d.opens > 120 {
			t.Errorf("%d connections were opened in 5 s", d.opens)
		}
	})
}

// TestOpeningsBelongToTheirCustomers guards against a statement that counts on a
// connection that is being opened for another customer, and against openings that
// take more than half of the target's slots.
func TestOpeningsBelongToTheirCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newStandIn(4, 20)
		v := newCustomerVM(d, 20)
		begun := v.now()
		wait := sync.WaitGroup{}
		for i := range 12 {
			wait.Go(func() { v.serve(t, fmt.Sprintf("c-%d", i), time.Millisecond) })
		}
		wait.Wait()
		if d.opens != 12 || d.maxOpening != 2 {
			t.Errorf("%d connections opened, %d at once", d.opens, d.maxOpening)
		}
		// The first is opened alone, and the others two at a time.
		if took := v.now() - begun; took > 90*time.Millisecond {
			t.Errorf("twelve openings took %s", took)
		}
	})
}

// TestLocateUsesAnyConnection guards against opening a connection for a question that
// runs no statement, and against a statement that slips through with it.
func TestLocateUsesAnyConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newStandIn(4, 1)
		v := newCustomerVM(d, 1)
		v.serve(t, "choir", time.Millisecond)
		s, err := v.Acquire(t.Context(), pool.Need{Leader: true, Until: v.now() + time.Second, Locate: true})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Run(order("", 0), v.now()+time.Second); !errors.Is(err, pool.ErrNotLocate) {
			t.Errorf("a statement on the connection ends with %v", err)
		}
		if _, err := s.Run(pool.Locate{}, v.now()+time.Second); err != nil {
			t.Errorf("the question ends with %v", err)
		}
		s.Release()
		v.serve(t, "choir", time.Millisecond)
		if d.opens != 1 {
			t.Errorf("%d connections opened", d.opens)
		}
	})
}

// TestReservedConnectionChangesCustomers guards against a VM whose only direct connection
// stays idle with one customer while another waits.
func TestReservedConnectionChangesCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newStandIn(4, 1)
		d.dialError = func(string) error {
			if d.open > 0 {
				return fmt.Errorf("dial: %w", pool.ErrReserved)
			}
			return nil
		}
		v := newCustomerVM(d, 8)
		for range 3 {
			v.serve(t, "choir", time.Millisecond)
			v.serve(t, "organ", time.Millisecond)
		}
		if d.foreign > 0 || d.opened["choir"] != 3 || d.opened["organ"] != 3 {
			t.Errorf("opened %v, %d on another customer's connection", d.opened, d.foreign)
		}
	})
}
