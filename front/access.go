package front

import (
	"context"
	"fmt"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/customer"
	"amaranthsill/query"
)

// Times of ending a session whose key was revoked.
const (
	// revokedAnswerTime is how long a session stays open after its transaction was
	// rolled back for this reason, so that a commit on its way is answered.
	revokedAnswerTime = time.Second
)

// Texts for callers whose key does not admit them.
const (
	keyUnknown            = "the key is unknown"
	keyRevoked            = "the key was revoked"
	configurationOutdated = "this VM may not have the newest configuration"
	overLimit             = "the customer is over its limit"
)

// access is what the key of a session admits it to. The session's lock guards the
// fields; only the session's goroutine changes those before revoked, so that it
// reads them without the lock.
type access struct {
	// key is the digest of what the caller sent as its key, also where none is needed:
	// a later configuration may need one.
	key customer.Digest
	// checked is the configuration in which the key was last looked up; nil before the
	// session has started.
	checked *catalog.Configuration
	// customer holds the key; nil if the route is public or there are no customers.
	customer *customer.Customer
	// revoked is true once the key was found to be revoked. It
	// stays true whatever later configurations say. An open transaction may go on until
	// revokedUntil.
	revoked      bool
	revokedUntil time.Duration
	// expired is true once the time for an open transaction is over.
	expired bool
}

// needsKey reports whether a configuration has customers and the route is not public.
// A route that is missing counts as not public.
func needsKey(c *catalog.Configuration, r *catalog.Route) bool {
	return c.Customers != nil && (r == nil || !r.Public)
}

// isCurrent reports whether the configuration in force is known to be the newest.
func (srv *Server) isCurrent() bool { return srv.Current == nil || srv.Current() }

// admitStart looks up the key of a session that starts on a route. It returns nil, or the
// failure with which the session is rejected.
func (s *session) admitStart(database string, key customer.Digest) *query.Failure {
	srv := s.server
	c := srv.Catalog.Current()
	if c == nil {
		return srv.refuseStart(query.CodeBusy, "no-configuration", retryLater("this VM has no configuration yet", retryAfter()))
	}
	r := c.Routes[database]
	keyed := needsKey(c, r)
	if keyed && !srv.isCurrent() {
		return srv.refuseStart(query.CodeBusy, "outdated-configuration", retryLater(configurationOutdated, retryAfter()))
	}
	if r == nil {
		srv.Metrics.unknownDatabases.Inc()
		return &query.Failure{Code: query.CodeUnknownDatabase, Detail: "no route has this database name"}
	}
	var holder *customer.Customer
	if keyed {
		var known bool
		if holder, known = c.Customers.Lookup(key); !known {
			return srv.refuseStart(query.CodeAuthenticationFailed, "unknown-key", keyUnknown)
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.database, s.key, s.checked, s.customer = database, key, c, holder
	return nil
}

// refuseStart counts a refused start by its reason and returns the failure.
func (srv *Server) refuseStart(code query.Code, reason, detail string) *query.Failure {
	srv.Metrics.refusedStarts.WithLabelValues(reason).Inc()
	return &query.Failure{Code: code, Detail: detail}
}

// startOperation returns the route of an operation that starts, or the reply that
// refuses it because of the route or the key.
func (s *session) startOperation() (*catalog.Route, *query.Reply) {
	c := s.server.Catalog.Current()
	r := c.Routes[s.database]
	if r == nil {
		f := s.failure(query.CodeUnknownDatabase, "the route was removed")
		return nil, &f
	}
	if needsKey(c, r) && !s.server.isCurrent() {
		f := s.refuse(configurationOutdated)
		s.server.Metrics.recordOutcome(r, f, 0)
		return nil, &f
	}
	if !s.checkKey(c) {
		f := s.failure(query.CodeAuthenticationFailed, keyRevoked)
		s.server.Metrics.recordOutcome(r, f, 0)
		return nil, &f
	}
	return r, nil
}

// checkKey looks the key up again if the configuration is another one than before. It
// returns false if the key is revoked. It is called between operations only, so that the
// customer stays the same during a transaction.
func (s *session) checkKey(c *catalog.Configuration) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.revoked || c == s.checked {
		return !s.revoked
	}
	holder, valid := s.lookUp(c)
	if !valid {
		s.revoke(0)
		return false
	}
	s.checked, s.customer = c, holder
	return true
}

// lookUp returns who holds the key, nil if none is needed, and whether the session may
// go on. A session whose route is missing keeps what it had: its next operation is
// refused for that. The caller holds the lock.
func (s *session) lookUp(c *catalog.Configuration) (*customer.Customer, bool) {
	r := c.Routes[s.database]
	if !needsKey(c, r) || r == nil && s.customer == nil {
		return nil, true
	}
	return c.Customers.Lookup(s.key)
}

// revoke marks the session as one whose key was revoked, and whose open transaction may
// go on for a time. The caller holds the lock.
func (s *session) revoke(left time.Duration) {
	s.revoked = true
	s.revokedUntil = s.server.Now() + left
	s.server.Metrics.revokedSessions.Inc()
}

// admitOperation takes one operation of the session's customer from its limit. It
// returns nil, or the reply that refuses the operation.
func (s *session) admitOperation(ctx context.Context, r *catalog.Route) *query.Reply {
	if s.server.Limits == nil || s.customer == nil {
		return nil
	}
	retry, ok := s.server.Limits.Admit(ctx, s.customer)
	if ok {
		return nil
	}
	f := s.failure(query.CodeBusy, retryLater(overLimit, retry))
	s.server.Metrics.recordOutcome(r, f, 0)
	return &f
}

// retryLater returns a refusal's text for the caller, with the time after which to
// retry, rounded up to at least 1 ms.
func retryLater(reason string, after time.Duration) string {
	ms := max((after+time.Millisecond-1)/time.Millisecond, 1)
	return fmt.Sprintf("%s; retry after %d ms", reason, ms)
}

// ConfigurationChanged ends the sessions whose key is not valid in the configuration in
// force: idle ones at once, others after their statement, and those with an open
// transaction when that ends, or after the time left by rolling it back. It is to be
// called after each change of the catalog, and may be called from any goroutine.
func (srv *Server) ConfigurationChanged(left time.Duration) {
	c := srv.Catalog.Current()
	if c == nil {
		return
	}
	revoked := []*session{}
	srv.lock.Lock()
	for s := range srv.sessions {
		if s.revokeUnder(c, left) {
			revoked = append(revoked, s)
		}
	}
	srv.lock.Unlock()
	if len(revoked) == 0 {
		return
	}
	srv.Log.Info("ending sessions whose key was revoked", "sessions", len(revoked), "version", c.Version)
	time.AfterFunc(left, func() {
		for _, s := range revoked {
			s.expire()
		}
	})
}

// revokeUnder ends the session as far as that can be done at once, if its key is not
// valid in a configuration, and reports whether it was newly revoked. A session that
// has not started yet looks its key up later.
func (s *session) revokeUnder(c *catalog.Configuration, left time.Duration) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.checked == nil || s.revoked || c.Version <= s.checked.Version {
		return false
	}
	if _, valid := s.lookUp(c); valid {
		return false
	}
	s.revoke(left)
	if s.idle {
		// The session's goroutine reports a lost connection.
		_ = s.conn.SetReadDeadline(time.Now().Add(closeGrace))
	}
	return true
}

// expire has the session's goroutine roll back a transaction that is still open, and
// interrupts it if it waits for the caller.
func (s *session) expire() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.expired {
		return
	}
	s.expired = true
	_ = s.conn.SetReadDeadline(expiredDeadline)
}

func (s *session) isRevoked() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.revoked
}

// isExpired reports whether the time for an open transaction is over. It also goes by
// the clock, since the timer does not run while the VM is suspended.
func (s *session) isExpired() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.expired || s.revoked && s.server.Now() >= s.revokedUntil
}

// endedReason returns why an open transaction may not go on; empty if it may.
func (s *session) endedReason() string {
	switch {
	case s.isAborted():
		return "the VM stops"
	case s.isExpired():
		return keyRevoked
	case s.customer != nil && !s.server.isCurrent():
		return configurationOutdated
	default:
		return ""
	}
}

// awaitAfterRevocation rolls back a transaction whose time is over, and waits for the
// caller's next message so that it can be answered. It returns false if none arrives
// within revokedAnswerTime.
func (s *session) awaitAfterRevocation() bool {
	s.tx.fail(keyRevoked)
	s.lock.Lock()
	s.expired = true
	left := s.revokedUntil + revokedAnswerTime - s.server.Now()
	err := s.conn.SetReadDeadline(time.Now().Add(left))
	s.lock.Unlock()
	if err != nil || s.conn.Wait() != nil {
		return false
	}
	return s.conn.SetReadDeadline(time.Time{}) == nil
}
