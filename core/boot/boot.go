// Package boot reads a clock that counts the time during which the machine is suspended.
// The monotonic clock of package time does not, so an age that is measured with it can be
// too low by any amount.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, including suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every supported kernel, and its arguments are constant
	}
	return time.Duration(ts.Nano())
}
