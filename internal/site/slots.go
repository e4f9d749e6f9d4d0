package site

import "sync"

// slots limits what a server works on at a time. A nil *slots is without a limit.
type slots struct {
	free chan struct{}

	lock    sync.Mutex
	waiting int
	limit   int
}

// newSlots returns n slots, for which twice as many may wait; nil if n is zero.
func newSlots(n int) *slots {
	if n == 0 {
		return nil
	}
	s := &slots{free: make(chan struct{}, n), limit: 3 * n}
	for range n {
		s.free <- struct{}{}
	}
	return s
}

// acquire waits for a slot. It returns false at once if too many wait already.
func (s *slots) acquire() bool {
	if s == nil {
		return true
	}
	s.lock.Lock()
	if s.waiting >= s.limit {
		s.lock.Unlock()
		return false
	}
	s.waiting++
	s.lock.Unlock()
	<-s.free
	return true
}

// release gives a slot back.
func (s *slots) release() {
	if s == nil {
		return
	}
	s.free <- struct{}{}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.waiting--
}
