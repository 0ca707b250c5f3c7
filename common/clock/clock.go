// Package clock reads a steady clock that counts the time in which the VM was
// suspended. The clock of package time stops meanwhile, so that deadlines, leases
// and timeouts that passed during a suspension would still seem to lie ahead.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin ties the clock to the time of day at the start of the process. Later
// changes of the time of day don't affect it.
var (
	originTime = time.Now().Round(0)
	originBoot = sinceBoot()
)

// Now returns the current time. It is comparable only with other times of this
// package, and has no monotonic reading.
func Now() time.Time { return originTime.Add(sinceBoot() - originBoot) }

// Since returns the time elapsed since a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// sinceBoot returns the time since the boot of the VM, with suspensions.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the kernel has no CLOCK_BOOTTIME: " + err.Error()) // Linux has it since 2.6.39.
	}
	return time.Duration(ts.Nano())
}
