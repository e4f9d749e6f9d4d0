// Package clock provides a monotonic clock that keeps counting while the
// machine is suspended, and the backoff between retries.
//
// # Usage
//
//	start := clock.SinceBoot()
//	elapsed := clock.SinceBoot() - start
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was booted, including the time it
// was suspended. It reads CLOCK_BOOTTIME, which Linux has had since 2.6.39, and
// panics if the kernel does not have it.
func SinceBoot() time.Duration {
	t := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
