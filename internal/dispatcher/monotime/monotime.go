// Package monotime returns times that the processes of one machine agree on whatever becomes of its wall clock: the time
// since the machine's start. A time.Time has a monotonic reading too, but one that ends with its process. The hand-over
// between processes and the clocks of members use it. Its functions are safe for concurrent use.
package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Wall returns the machine's wall clock as the time since 1970. The clock may be set at any time. Tests replace it.
var Wall = func() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Now returns the time since the machine's start.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return Wall() // impossible on Linux; the wall clock is the best there is
	}
	return time.Duration(t.Nano())
}

// Of returns a time of this process as the time since the machine's start.
func Of(t time.Time) time.Duration { return Now() + time.Until(t) }

// Time returns a time since the machine's start, which may be from another process, as a time of this process.
func Time(at time.Duration) time.Time { return time.Now().Add(at - Now()) }
