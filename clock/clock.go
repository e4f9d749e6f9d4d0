// Package clock reads the time since the machine's boot, which counts the
// time that the machine was suspended.
//
// # Usage
//
//	begun := clock.Boot()
//	took := clock.Boot() - begun
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine's boot. It panics if the kernel has
// no such clock, which Linux has had since 2.6.39.
func Boot() time.Duration {
	t := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
