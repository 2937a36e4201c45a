// Package monotime reads the machine's monotonic clock, so that the processes of one machine can
// exchange points in time that setting the wall clock does not affect. They are expressed as the
// time since the machine's start. The monotonic reading of a time.Time does not serve this purpose,
// because it has no meaning in another process. The hand-over between processes and the clocks of
// members use the package. Its functions are safe for concurrent use.
package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Wall returns the reading of the wall clock as the time since 1970. The clock may be set at any
// time. Tests replace the function.
var Wall = func() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Now returns the time since the machine's start.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return Wall() // can't happen on Linux; the wall clock is the closest substitute
	}
	return time.Duration(t.Nano())
}

// Of converts a time of this process to the time since the machine's start.
func Of(t time.Time) time.Duration { return Now() + time.Until(t) }

// Time converts a time since the machine's start, which may come from another process, to a time of
// this process.
func Time(at time.Duration) time.Time { return time.Now().Add(at - Now()) }
