package pool_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthsill/customer"
	"amaranthsill/pool"
)

// queueWait is how long each statement may wait while the target is busy.
const queueWait = 500 * time.Millisecond

// queueVM is a VM with a few connections to a target on which one statement runs at a
// time for 10 ms, so that it serves a hundred in a second.
type queueVM struct {
	*customerVM
	wait sync.WaitGroup

	lock sync.Mutex
	// refused counts the statements that were refused; refusedAt is when the last was.
	refused   int
	refusedAt time.Duration
}

func newQueueVM(connections int) *queueVM {
	return &queueVM{customerVM: newCustomerVM(newStandIn(1, connections), connections)}
}

// send sends a number of statements of a customer at once, on a route of some priority.
func (v *queueVM) send(name string, priority, number int) {
	c := &customer.Customer{Name: name}
	for range number {
		v.wait.Go(func() {
			s, err := v.Acquire(context.Background(), pool.Need{Leader: true, Customer: c, Priority: priority, Until: v.now() + 2*queueWait, QueueDeadline: v.now() + queueWait})
			if err == nil {
				_, err = s.Run(order(name, 10*time.Millisecond), v.now()+time.Second)
				s.Release()
			}
			if errors.Is(err, pool.ErrOverloaded) {
				v.lock.Lock()
				defer v.lock.Unlock()
				v.refused++
				v.refusedAt = v.now()
			}
		})
	}
}

// refusals returns how many statements were refused, and when the last was.
func (v *queueVM) refusals() (int, time.Duration) {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.refused, v.refusedAt
}

// TestDisplacement guards against a statement that waits until its deadline although
// statements of higher priority that arrived later leave it no time.
func TestDisplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newQueueVM(1)
		v.send("choir", 1, 30)
		time.Sleep(200 * time.Millisecond)
		// Some 12 of 30 still wait, and need 120 of the 300 ms that they have left.
		if refused, _ := v.refusals(); refused > 0 {
			t.Fatalf("%d refused at first", refused)
		}
		arrived := v.now()
		v.send("choir", 0, 25)
		synctest.Wait()
		displaced, at := v.refusals()
		if displaced < 4 || displaced > 12 || at != arrived {
			t.Errorf("%d statements were displaced, the last after %s", displaced, at-arrived)
		}
		v.wait.Wait()
		if refused, _ := v.refusals(); refused-displaced > 2 {
			t.Errorf("%d statements were refused later", refused-displaced)
		}
	})
}

// TestShareOfTheQueue guards against a customer that fills the queue while another waits,
// and against statements that are refused too late for a retry.
func TestShareOfTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newQueueVM(2)
		v.send("few", 0, 30)
		v.send("many", 0, 30)
		time.Sleep(150 * time.Millisecond)
		arrived := v.now()
		v.send("many", 0, 100)
		synctest.Wait()
		if waiting := v.WaitingByCustomer()["many"]; waiting < 20 || waiting > 30 {
			t.Errorf("%d statements of one of two customers wait in a queue for 50", waiting)
		}
		if refused, at := v.refusals(); refused < 90 || at != arrived {
			t.Errorf("%d refused, the last after %s", refused, at-arrived)
		}
		v.wait.Wait()
	})
}
