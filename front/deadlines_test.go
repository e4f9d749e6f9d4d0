package front

import (
	"testing"
	"time"

	"amaranthsill/catalog"
)

// TestDispatchTimeWithLongTimeouts guards against statements that wait for most of a
// timeout of 12 or 20 s while the leader is away and the store with it: nobody has
// anything to wait for, and the caller could try another VM.
func TestDispatchTimeWithLongTimeouts(t *testing.T) {
	cases := map[string]struct{ timeout, want time.Duration }{
		"one second":     {time.Second, 700 * time.Millisecond},
		"two seconds":    {2 * time.Second, 1400 * time.Millisecond},
		"twelve seconds": {12 * time.Second, 3 * time.Second},
		"two minutes":    {2 * time.Minute, 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := dispatchTime(&catalog.Route{Timeout: c.timeout}); got != c.want {
				t.Errorf("waits for %s, want %s", got, c.want)
			}
		})
	}
}

// TestRetryAfterSpreadsCallers guards against callers who were refused together and
// come back together.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	const callers, slots = 10_000, 10
	count := [slots]int{}
	for range callers {
		d := retryAfter()
		if d < minRetryAfter || d >= maxRetryAfter {
			t.Fatalf("told to come back after %s", d)
		}
		count[int(d-minRetryAfter)*slots/int(maxRetryAfter-minRetryAfter)]++
	}
	for i, n := range count {
		if n > 2*callers/slots {
			t.Errorf("%d of %d callers come back in tenth %d", n, callers, i)
		}
	}
}
