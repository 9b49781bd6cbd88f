package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock implements the root package's Clock with CLOCK_BOOTTIME.
type Clock struct{}

// Now returns the time since the VM was booted. If CLOCK_BOOTTIME fails, it falls back to CLOCK_MONOTONIC, which stands
// still while the VM is suspended; if that fails too, it returns 0.
func (Clock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
			return 0
		}
	}
	return time.Duration(t.Nano())
}
