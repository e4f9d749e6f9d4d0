package pool_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"amaranthsill/pool"
)

// TestBusiest guards against a metric with as many time series as there are customers,
// and against statements that it does not count.
func TestBusiest(t *testing.T) {
	counts := map[string]int{}
	for i := range 100 {
		counts[fmt.Sprintf("c-%d", i)] = i
	}
	got := pool.Busiest(counts, 20)
	sum := 0
	for _, n := range got {
		sum += n
	}
	if len(got) != 21 || got["c-80"] != 80 || got[pool.OtherCustomers] != 79*80/2 || sum != 99*100/2 {
		t.Errorf("%d names, c-80 has %d, others %d, sum %d", len(got), got["c-80"], got[pool.OtherCustomers], sum)
	}
	if got := pool.Busiest(map[string]int{"b": 1, "a": 1}, 1); !maps.Equal(got, map[string]int{"a": 1, pool.OtherCustomers: 1}) {
		t.Errorf("of two equals %v", got)
	}
}

// TestWaitingByCustomer guards against waiting statements that are not reported, or
// reported after they ended.
func TestWaitingByCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newCustomerVM(newStandIn(4, 1), 1)
		held, err := v.acquire("choir", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, name := range []string{"choir", "organ", "organ", ""} {
			go func() {
				n := v.need(name, time.Second)
				if s, err := v.Acquire(ctx, n); err == nil {
					s.Release()
				}
			}()
		}
		synctest.Wait()
		if got := v.WaitingByCustomer(); !maps.Equal(got, map[string]int{"choir": 1, "organ": 2}) {
			t.Errorf("%v wait", got)
		}
		cancel()
		synctest.Wait()
		if got := v.WaitingByCustomer(); len(got) > 0 || v.Waiting() > 0 {
			t.Errorf("%v wait after their callers left", got)
		}
		held.Release()
	})
}
