package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the time since the machine was started.
type Clock struct{}

// Now returns the time since the machine was started; should the kernel lack that clock, the steady one serves.
func (Clock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
			return 0
		}
	}
	return time.Duration(t.Nano())
}
