// Package fleetclock provides the time that a fleet's members use among themselves. Replicated
// facts are compared by their times, but a member's wall clock may be wrong or may be set while the
// process runs. A member's fleet time therefore advances with a monotonic clock, and is corrected
// to the time that a majority of the members with which it exchanges messages agree on.
//
// Package cluster owns the clock and passes it the readings of other members. Invariant: a minority
// of wrong clocks never moves a correct one by more than MaxSkew.
//
// The package is pure: it does no I/O and reads no clock. A Clock is not safe for concurrent use.
package fleetclock

import (
	"slices"
	"time"
)

const (
	// MaxSkew is the error that is tolerated without a correction. Exchanges with other members
	// measure the difference of two clocks with a smaller error.
	MaxSkew = 2 * time.Second
	// tolerance is the largest difference from the median time at which a member counts as
	// agreeing with it.
	tolerance = time.Second
	// maxMembers bounds the members whose offsets are stored; the readings of further ones are
	// ignored.
	maxMembers = 400
)

// Clock is one member's fleet clock; New creates it.
type Clock struct {
	wall, monotonic time.Duration            // readings of both clocks at the start
	correction      time.Duration            // added to the uncorrected time
	offsets         map[string]time.Duration // by member: its time minus the uncorrected time
}

// New returns a clock from readings of both clocks at the same moment: wall is the host's time
// since 1970, and monotonic that of the monotonic clock.
func New(wall, monotonic time.Duration) *Clock {
	return &Clock{wall: wall, monotonic: monotonic, offsets: map[string]time.Duration{}}
}

// Now returns the fleet time since 1970 at a reading of the monotonic clock.
func (c *Clock) Now(monotonic time.Duration) time.Duration {
	return c.wall + monotonic - c.monotonic + c.correction
}

// Observe records another member's fleet time, which that member read between the monotonic times
// sentAt and receivedAt of this one. It returns the change that it made to the clock, or 0. The
// clock is corrected only if it is at least MaxSkew away from a time that a majority of all known
// members, this one included, agree on.
func (c *Clock) Observe(member string, memberTime, sentAt, receivedAt time.Duration) time.Duration {
	if _, ok := c.offsets[member]; !ok && len(c.offsets) >= maxMembers {
		return 0
	}
	midpoint := sentAt + (receivedAt-sentAt)/2
	c.offsets[member] = memberTime - (c.wall + midpoint - c.monotonic) // relative to the uncorrected time
	// The 0 is this member's own offset.
	all := []time.Duration{0}
	for _, offset := range c.offsets {
		all = append(all, offset)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	agreeing := 0
	for _, offset := range all {
		if offset-median <= tolerance && median-offset <= tolerance {
			agreeing++
		}
	}
	if change := median - c.correction; agreeing*2 > len(all) && (change >= MaxSkew || change <= -MaxSkew) {
		c.correction = median
		return change
	}
	return 0
}

// Forget removes the offset of a member that has departed.
func (c *Clock) Forget(member string) { delete(c.offsets, member) }
