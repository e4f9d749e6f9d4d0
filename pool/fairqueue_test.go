package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthsill/customer"
)

// fairModel serves statements of a fairQueue as a Group does.
type fairModel struct {
	fairQueue
	queue []*ticket
}

func (m *fairModel) add(c *customer.Customer) {
	t := newTicket(&Need{Customer: c})
	m.enter(t)
	m.queue = append(m.queue, t)
}

func (m *fairModel) sort() {
	slices.SortStableFunc(m.queue, func(a, b *ticket) int { return a.compare(b) })
}

func (m *fairModel) take(i int) *ticket {
	t := m.queue[i]
	m.queue = slices.Delete(m.queue, i, i+1)
	return t
}

// TestFairQueueServesInProportion guards against a customer that delays another beyond
// its share. It checks the published bound: while two customers wait without pause,
// their service, divided by their weights, differs by at most 1/a + 1/b. Statements are
// withdrawn at random, which must not count as service.
func TestFairQueueServesInProportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fairModel{}
		customers := make([]*customer.Customer, rapid.IntRange(2, 6).Draw(t, "customers"))
		served := map[string]float64{}
		for i := range customers {
			customers[i] = &customer.Customer{Name: fmt.Sprint(i), Rate: float64(rapid.IntRange(0, 20).Draw(t, "rate"))}
			// Enough for the whole test, so that each of them always waits.
			for range 300 {
				m.add(customers[i])
			}
		}
		m.sort()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "withdraws") == 0 {
				m.withdraw(m.take(rapid.IntRange(0, len(m.queue)-1).Draw(t, "which")))
				m.sort()
				continue
			}
			next := m.take(0)
			m.serve(next)
			served[next.name]++
			for _, a := range customers {
				for _, b := range customers {
					difference := served[a.Name]/weight(a) - served[b.Name]/weight(b)
					if difference > 1/weight(a)+1/weight(b)+1e-9 {
						t.Fatalf("%s of weight %g got %g, %s of weight %g got %g", a.Name, weight(a), served[a.Name], b.Name, weight(b), served[b.Name])
					}
				}
			}
		}
	})
}

// TestFairQueueOrder guards against a customer of lower priority, or one with many
// statements, that is served before the others; and against a changed order without
// customers.
func TestFairQueueOrder(t *testing.T) {
	low, high, other := &customer.Customer{Name: "low", Priority: 1}, &customer.Customer{Name: "high"}, &customer.Customer{Name: "other"}
	cases := map[string]struct {
		needs []Need
		want  []int
	}{
		"by arrival without customers":                           {needs: []Need{{}, {}, {}}, want: []int{0, 1, 2}},
		"by route before customer":                               {needs: []Need{{Priority: 1, Customer: high}, {Customer: low}}, want: []int{1, 0}},
		"by the customer's priority":                             {needs: []Need{{Customer: low}, {Customer: low}, {Customer: high}}, want: []int{2, 0, 1}},
		"in turn by customer":                                    {needs: []Need{{Customer: high}, {Customer: high}, {Customer: high}, {Customer: other}}, want: []int{0, 3, 1, 2}},
		"by arrival without customers, with a position question": {needs: []Need{{}, {}, {Locate: true}, {}}, want: []int{0, 1, 2, 3}},
		"a position question is not queued":                      {needs: []Need{{Customer: high}, {Customer: high}, {Locate: true}}, want: []int{0, 2, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := fairModel{}
			index := map[*ticket]int{}
			for i := range c.needs {
				k := newTicket(&c.needs[i])
				m.enter(k)
				index[k] = i
				m.queue = append(m.queue, k)
				m.sort()
			}
			got := []int{}
			for len(m.queue) > 0 {
				k := m.take(0)
				m.serve(k)
				got = append(got, index[k])
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("served in the order %v, want %v", got, c.want)
			}
			if len(m.classes) > 0 {
				t.Errorf("%d classes are kept though nothing waits", len(m.classes))
			}
		})
	}
}

// TestDisplaced guards against a statement that waits although those before it leave too
// little time, and against one that is refused although it moves up.
func TestDisplaced(t *testing.T) {
	long, short := queued{left: time.Second}, queued{left: 45 * time.Millisecond}
	cases := map[string]struct {
		queue []queued
		want  []int
	}{
		"none":                          {},
		"few":                           {queue: []queued{short, short, short, {}}},
		"too late by the fifth":         {queue: []queued{long, long, long, long, long, short}, want: []int{5}},
		"the next one moves up":         {queue: []queued{long, long, long, long, {}, short, short}, want: []int{4, 6}},
		"one that is not to be refused": {queue: []queued{long, long, long, long, {kept: true}, short}, want: []int{5}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := displaced(c.queue, func(ahead int) time.Duration { return time.Duration(ahead) * 10 * time.Millisecond })
			if !slices.Equal(got, c.want) {
				t.Errorf("displaced %v, want %v", got, c.want)
			}
		})
	}
}

// TestQueueShare guards against a customer whose share leaves it no place, or that fills
// the queue while others wait.
func TestQueueShare(t *testing.T) {
	if got := queueShare(100, 1, 4); got != 25 {
		t.Errorf("a quarter of 100 is %d", got)
	}
	if got := queueShare(100, 1, 1000); got != minQueueShare {
		t.Errorf("a thousandth of 100 is %d", got)
	}
}
