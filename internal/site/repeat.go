package site

import "time"

// maxRepeatDelay bounds how much later than the first time an answer is sent again.
const maxRepeatDelay = 400 * time.Millisecond

// SetRepeats makes the server send a share of all its answers, those to STARTUP included, a
// second time on the same connection, 1 to 400 ms later and not inside another answer.
func (s *Server) SetRepeats(share float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.repeatShare = share
}

// Repeats returns how many answers were sent a second time, or are to be.
func (s *Server) Repeats() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.repeatCount
}

// repeatDelay returns after what time the next answer is sent again; zero if it is not.
func (s *Server) repeatDelay() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.random.Float64() >= s.repeatShare {
		return 0
	}
	s.repeatCount++
	return time.Millisecond + time.Duration(s.random.Int64N(int64(maxRepeatDelay-time.Millisecond)))
}
