package front_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amaranthsill/catalog"
)

// TestStartOfSession guards against callers who get in without a valid key, and against
// ones who are told that a valid key is unknown by a VM that cannot know it yet.
func TestStartOfSession(t *testing.T) {
	cases := map[string]struct {
		configuration *catalog.Configuration
		outdated      bool
		startup       string
		want          string
		reason        string
	}{
		"a known key":                                 {configuration(1, both), false, "STARTUP kept " + firstKey, "READY I", ""},
		"an unknown key":                              {configuration(1, both), false, "STARTUP kept nobody", "ERROR AUTHFAIL", "unknown-key"},
		"a key with another one's beginning":          {configuration(1, both), false, "STARTUP kept " + firstKey[:9], "ERROR AUTHFAIL", "unknown-key"},
		"a customer's name instead of a key":          {configuration(1, both), false, "STARTUP kept miny", "ERROR AUTHFAIL", "unknown-key"},
		"no key":                                      {configuration(1, both), false, "STARTUP kept", "ERROR AUTHFAIL", "unknown-key"},
		"an empty list of customers":                  {configuration(1, map[string][]string{}), false, "STARTUP kept " + firstKey, "ERROR AUTHFAIL", "unknown-key"},
		"a customer without keys":                     {configuration(1, map[string][]string{"miny": {}}), false, "STARTUP kept", "ERROR AUTHFAIL", "unknown-key"},
		"a VM without a configuration":                {nil, false, "STARTUP kept " + firstKey, "ERROR BUSY", "no-configuration"},
		"an outdated VM and a known key":              {configuration(1, both), true, "STARTUP kept " + firstKey, "ERROR BUSY", "outdated-configuration"},
		"an outdated VM and an unknown key":           {configuration(1, both), true, "STARTUP kept nobody", "ERROR BUSY", "outdated-configuration"},
		"an outdated VM and an unknown database":      {configuration(1, both), true, "STARTUP new " + firstKey, "ERROR BUSY", "outdated-configuration"},
		"a public route on an outdated VM":            {configuration(1, both), true, "STARTUP open nobody", "READY I", ""},
		"an unknown database":                         {configuration(1, both), false, "STARTUP new " + firstKey, "ERROR UNKNOWNDB", ""},
		"no customers":                                {configuration(1, nil), false, "STARTUP kept nobody", "READY I", ""},
		"no customers and an outdated VM":             {configuration(1, nil), true, "STARTUP kept", "READY I", ""},
		"no customers and a database without a route": {configuration(1, nil), true, "STARTUP new", "ERROR UNKNOWNDB", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, c.configuration, func(b *bench) {
				b.current.Store(!c.outdated)
				caller, line := b.connect(c.startup)
				if !strings.HasPrefix(line, c.want) {
					t.Errorf("got %q, want %q", line, c.want)
				}
				if c.want == "ERROR BUSY" && !strings.Contains(line, "; retry after ") {
					t.Errorf("%q does not say when to retry", line)
				}
				if c.want != "READY I" {
					caller.wantClosed(0)
				}
				if c.reason != "" && b.metric("amaranthsill_refused_starts_total", c.reason) != 1 {
					t.Errorf("refused start was not counted as %s", c.reason)
				}
				_ = caller.conn.Close()
			})
		})
	}
}

// TestRevokedKeyOfIdleSession guards against sessions that go on under a revoked key, and
// against ones of other keys that are ended with it.
func TestRevokedKeyOfIdleSession(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		revoked, unused := b.session("STARTUP kept "+firstKey), b.session("STARTUP kept "+firstKey)
		second, other, public := b.session("STARTUP kept "+secondKey), b.session("STARTUP kept "+otherKey), b.session("STARTUP open "+firstKey)
		revoked.want("WRITE bar 1", "done I")
		b.put(configuration(2, withoutFirst))
		revoked.wantClosed(20 * time.Millisecond)
		unused.wantClosed(0)
		for _, c := range []*caller{second, other, public} {
			c.want("WRITE bar 2", "done I")
			_ = c.conn.Close()
		}
		if n := b.metric("amaranthsill_revoked_sessions_total", ""); n != 2 {
			t.Errorf("%v sessions were counted as ended by a revoked key, want 2", n)
		}
	})
}

// TestRevokedKeyBeforeSessionsAreTold guards against an operation that a session starts
// between the new version and the call of ConfigurationChanged.
func TestRevokedKeyBeforeSessionsAreTold(t *testing.T) {
	for _, text := range []string{"WRITE bar 1", "BEGIN"} {
		t.Run(text, func(t *testing.T) {
			run(t, configuration(1, both), func(b *bench) {
				c := b.session("STARTUP kept " + firstKey)
				synctest.Wait()
				b.Catalog.Update(configuration(2, withoutFirst))
				c.want(text, "AUTHFAIL I")
				c.wantClosed(0)
				if ran := b.database.orders(); ran != "" {
					t.Errorf("target ran %s", ran)
				}
			})
		})
	}
}

// TestRevokedKeyDuringStart guards against a session that looked its key up in the older
// version, and that ConfigurationChanged did not know yet.
func TestRevokedKeyDuringStart(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		// The start asks for this after it has read the configuration.
		b.Current = func() bool {
			if b.Catalog.Update(configuration(2, withoutFirst)) {
				b.ConfigurationChanged(transactionTime)
			}
			return true
		}
		c := b.session("STARTUP kept " + firstKey)
		c.wantClosed(20 * time.Millisecond)
	})
}

// TestQueryOnItsWayWhenTheKeyIsRevoked guards against a query that is neither served nor
// answered, so that its caller cannot tell whether it was executed.
func TestQueryOnItsWayWhenTheKeyIsRevoked(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		c := b.session("STARTUP kept " + firstKey)
		b.put(configuration(2, withoutFirst))
		time.Sleep(10 * time.Millisecond)
		c.want("SET zone utc", "AUTHFAIL I")
		c.wantClosed(0)
	})
}

// TestRevokedKeyWithStatementUnderWay guards against an answer that is lost with its
// session.
func TestRevokedKeyWithStatementUnderWay(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		b.database.work = 2500 * time.Millisecond
		c := b.session("STARTUP kept " + firstKey)
		c.send("QUERY 1 WRITE bar 1")
		synctest.Wait()
		b.put(configuration(2, withoutFirst))
		if line := c.line(); line != "COMPLETE mac" {
			t.Errorf("got %q, want the answer", line)
		}
		c.line()
		c.wantClosed(20 * time.Millisecond)
	})
}

// TestRevokedKeyWithOpenTransaction guards against transactions that are cut off before
// their 2 s are over, or that go on afterwards.
func TestRevokedKeyWithOpenTransaction(t *testing.T) {
	begin := func(b *bench) *caller {
		c := b.session("STARTUP kept " + firstKey)
		c.want("BEGIN", "done T")
		c.want("WRITE bar 1", "done T")
		b.put(configuration(2, withoutFirst))
		return c
	}
	for _, end := range []string{"COMMIT", "ROLLBACK"} {
		t.Run(end+" in time", func(t *testing.T) {
			run(t, configuration(1, both), func(b *bench) {
				c := begin(b)
				time.Sleep(1900 * time.Millisecond)
				c.want("WRITE bar 2", "done T")
				c.want(end, "done I")
				c.wantClosed(20 * time.Millisecond)
				synctest.Wait()
				if ran := b.database.orders(); ran != "BEGIN,WRITE bar 1,WRITE bar 2,"+end {
					t.Errorf("target ran %s", ran)
				}
				// The timer of the transaction must not disturb others.
				c = b.session("STARTUP kept " + secondKey)
				c.want("BEGIN", "done T")
				time.Sleep(time.Second)
				c.want("COMMIT", "done I")
				_ = c.conn.Close()
			})
		})
	}
	const rolledBack = "BEGIN,WRITE bar 1,ROLLBACK"
	t.Run("idle until it is rolled back", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			c := begin(b)
			time.Sleep(1999 * time.Millisecond)
			synctest.Wait()
			if ran := b.database.orders(); ran == rolledBack {
				t.Error("transaction was rolled back too early")
			}
			time.Sleep(time.Millisecond)
			synctest.Wait()
			if ran := b.database.orders(); ran != rolledBack {
				t.Errorf("target ran %s, want %s", ran, rolledBack)
			}
			c.want("WRITE bar 2", "ABORTED E")
			c.want("COMMIT", "ABORTED I")
			c.wantClosed(20 * time.Millisecond)
			if ran := b.database.orders(); ran != rolledBack {
				t.Errorf("target ran %s, want %s", ran, rolledBack)
			}
		})
	})
	t.Run("idle for good", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			begin(b).wantClosed(3 * time.Second)
		})
	})
	t.Run("in use until it is rolled back", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			c := begin(b)
			for range 19 {
				time.Sleep(100 * time.Millisecond)
				c.want("READ bar", "done T")
			}
			time.Sleep(100 * time.Millisecond)
			c.want("READ bar", "ABORTED E")
			time.Sleep(900 * time.Millisecond)
			c.want("READ bar", "ABORTED E")
			c.wantClosed(200 * time.Millisecond)
		})
	})
	t.Run("with a statement under way", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			c := begin(b)
			b.database.work = time.Second
			time.Sleep(1500 * time.Millisecond)
			c.want("WRITE bar 2", "done T")
			c.want("COMMIT", "ABORTED I")
			c.wantClosed(20 * time.Millisecond)
		})
	})
	t.Run("without a statement", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			c := b.session("STARTUP kept " + firstKey)
			c.want("BEGIN", "done T")
			b.put(configuration(2, withoutFirst))
			time.Sleep(2 * time.Second)
			c.want("WRITE bar 1", "ABORTED E")
			c.want("ROLLBACK", "done I")
			c.wantClosed(20 * time.Millisecond)
			if ran := b.database.orders(); ran != "" {
				t.Errorf("target ran %s", ran)
			}
		})
	})
	t.Run("whose timer is late", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			suspended := time.Duration(0)
			now := b.Now
			b.Now = func() time.Duration { return now() + suspended }
			c := begin(b)
			time.Sleep(1500 * time.Millisecond)
			suspended = 900 * time.Millisecond
			c.want("READ bar", "ABORTED E")
			// The timer must not cut the time in which the caller is answered.
			time.Sleep(550 * time.Millisecond)
			c.want("COMMIT", "ABORTED I")
			c.wantClosed(20 * time.Millisecond)
		})
	})
	t.Run("on a VM that was suspended meanwhile", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			suspended := time.Duration(0)
			now := b.Now
			b.Now = func() time.Duration { return now() + suspended }
			c := begin(b)
			suspended = 4 * time.Second
			c.want("COMMIT", "ABORTED I")
			c.wantClosed(20 * time.Millisecond)
		})
	})
}

// TestTransactionTimeLeft guards against a transaction that goes on for the whole time
// although its VM learned late that the key was revoked.
func TestTransactionTimeLeft(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		c := b.session("STARTUP kept " + firstKey)
		c.want("BEGIN", "done T")
		b.Catalog.Update(configuration(2, withoutFirst))
		b.ConfigurationChanged(300 * time.Millisecond)
		time.Sleep(250 * time.Millisecond)
		c.want("READ bar", "done T")
		time.Sleep(60 * time.Millisecond)
		c.want("COMMIT", "ABORTED I")
	})
}

// TestOlderVersion guards against a revoked key that is valid again since a VM sees an
// older version, as from a store that came back from a copy.
func TestOlderVersion(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		c := b.session("STARTUP kept " + firstKey)
		c.want("BEGIN", "done T")
		b.put(configuration(2, withoutFirst))
		if b.Catalog.Update(configuration(1, both)) {
			t.Error("older version was put in force")
		}
		b.ConfigurationChanged(transactionTime)
		_, line := b.connect("STARTUP kept " + firstKey)
		if !strings.HasPrefix(line, "ERROR AUTHFAIL") {
			t.Errorf("session starts with %q under a revoked key", line)
		}
		// A newer version may have the key again, for new sessions.
		b.put(configuration(3, both))
		c.want("COMMIT", "done I")
		c.want("WRITE bar 1", "AUTHFAIL I")
		c.wantClosed(0)
		_ = b.session("STARTUP kept " + firstKey).conn.Close()
	})
}

// TestCustomersAddedLater guards against sessions that started before the deployment had
// customers, or on a route that was public, and that go on without a key.
func TestCustomersAddedLater(t *testing.T) {
	run(t, configuration(1, nil), func(b *bench) {
		keyed, keyless := b.session("STARTUP kept "+firstKey), b.session("STARTUP kept")
		public := b.session("STARTUP open")
		b.put(configuration(2, both))
		keyless.wantClosed(20 * time.Millisecond)
		keyed.want("WRITE bar 1", "done I")
		public.want("WRITE bar 1", "done I")
		if n := b.limits.asked.Load(); n != 1 {
			t.Errorf("limits were asked %d times, want once, for the session with a key", n)
		}
		closed := configuration(3, both)
		closed.Routes["open"].Public = false
		b.put(closed)
		public.wantClosed(20 * time.Millisecond)
		_ = keyed.conn.Close()
	})
}

// TestOutdatedVM guards against operations under a key that may have been revoked without
// this VM's knowledge.
func TestOutdatedVM(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		c, open, public := b.session("STARTUP kept "+firstKey), b.session("STARTUP kept "+firstKey), b.session("STARTUP open")
		open.want("BEGIN", "done T")
		open.want("WRITE bar 1", "done T")
		b.current.Store(false)
		for _, text := range []string{"WRITE bar 1", "READ bar", "BEGIN"} {
			outcome, detail := c.askDetail(text)
			if outcome != "BUSY I" || !strings.Contains(detail, "; retry after ") {
				t.Errorf("%s: got %q %q, want BUSY with a time to retry", text, outcome, detail)
			}
		}
		open.want("COMMIT", "ABORTED I")
		public.want("WRITE bar 1", "done I")
		b.current.Store(true)
		c.want("WRITE bar 1", "done I")
		for _, s := range []*caller{c, open, public} {
			_ = s.conn.Close()
		}
	})
}

// TestLimits guards against operations that are counted twice, for retries or for the
// statements of a transaction, and against refusals that executed something or come late.
func TestLimits(t *testing.T) {
	limited := func(t *testing.T, test func(*bench)) {
		run(t, configuration(1, both), test)
	}
	wantAsked := func(b *bench, n int64) {
		b.t.Helper()
		if got := b.limits.asked.Load(); got != n {
			b.t.Errorf("limits were asked %d times, want %d", got, n)
		}
	}
	t.Run("a statement that the target refuses twice counts once", func(t *testing.T) {
		limited(t, func(b *bench) {
			b.database.refusals = 2
			c := b.session("STARTUP kept " + firstKey)
			c.want("WRITE bar 1", "done I")
			wantAsked(b, 1)
			_ = c.conn.Close()
		})
	})
	t.Run("a transaction counts once", func(t *testing.T) {
		limited(t, func(b *bench) {
			b.database.refusals = 2
			c := b.session("STARTUP kept " + firstKey)
			for _, text := range []string{"BEGIN", "WRITE bar 1", "READ bar", "SET zone utc"} {
				c.want(text, "done T")
			}
			c.want("COMMIT", "done I")
			wantAsked(b, 1)
			_ = c.conn.Close()
		})
	})
	t.Run("what needs no target does not count", func(t *testing.T) {
		limited(t, func(b *bench) {
			c, public := b.session("STARTUP kept "+firstKey), b.session("STARTUP open "+firstKey)
			c.want("SET zone utc", "done I")
			c.want("PREPARE s READ q1", "done I")
			c.want("EXECUTE unknown bar", "NOSTMT I")
			c.want("COMMIT", "MALFORMED I")
			public.want("WRITE bar 1", "done I")
			wantAsked(b, 0)
			_, _ = c.conn.Close(), public.conn.Close()
		})
	})
	for _, text := range []string{"WRITE bar 1", "BEGIN"} {
		t.Run("a refused "+text+" is not executed", func(t *testing.T) {
			limited(t, func(b *bench) {
				b.limits.retry = 36*time.Millisecond + 1
				c := b.session("STARTUP kept " + firstKey)
				begun := time.Now()
				outcome, detail := c.askDetail(text)
				if outcome != "BUSY I" || !strings.HasSuffix(detail, "; retry after 37 ms") {
					t.Errorf("got %q %q", outcome, detail)
				}
				if took := time.Since(begun); took != 0 {
					t.Errorf("refusal took %s", took)
				}
				wantAsked(b, 1)
				if ran := b.database.orders(); ran != "" {
					t.Errorf("target ran %s", ran)
				}
				_ = c.conn.Close()
			})
		})
	}
}

// TestKeysStaySecret guards against keys in logs and metrics.
func TestKeysStaySecret(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		_ = b.session("STARTUP kept " + otherKey).conn.Close()
		for _, startup := range []string{"STARTUP kept " + firstKey + "x", "STARTUP  " + firstKey, "startup kept " + firstKey, "STARTUP " + firstKey, "STARTUP new " + firstKey} {
			c, _ := b.connect(startup)
			_ = c.conn.Close()
		}
		c := b.session("STARTUP kept " + firstKey)
		c.want("WRITE bar 1", "done I")
		b.put(configuration(2, withoutFirst))
		c.wantClosed(time.Second)
		synctest.Wait()
		families, err := b.registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		b.lock.Lock()
		defer b.lock.Unlock()
		text := b.log.String() + fmt.Sprint(families)
		for _, key := range []string{firstKey, otherKey} {
			if strings.Contains(text, key) {
				t.Errorf("key %s is in the log or the metrics", key)
			}
		}
		if !strings.Contains(b.log.String(), "key was revoked") {
			t.Error("end of the sessions was not logged")
		}
	})
}
