// Package monotime tells moments that the processes of one machine agree on, whatever becomes of its
// wall clock: the time since the machine's start. time.Time carries such a reading too, but not past
// a process's end.
package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Wall reads the machine's wall clock, since 1970, which may be set at any time. In tests it is another.
var Wall = func() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Now returns the time since the machine's start.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return Wall() // can't be on Linux; the wall clock is the best there is
	}
	return time.Duration(t.Nano())
}

// Of returns the moment of a time of this process.
func Of(t time.Time) time.Duration { return Now() + time.Until(t) }

// Time returns the time of a moment that another process may have told.
func Time(at time.Duration) time.Time { return time.Now().Add(at - Now()) }
