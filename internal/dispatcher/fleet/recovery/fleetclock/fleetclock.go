// Package fleetclock provides the time that a fleet's members use among themselves. A member's
// wall clock may be wrong or may be set while the process runs, and replicated facts are compared
// by their times. A member's fleet time therefore advances with a monotonic clock, and is
// corrected to the time that a majority of the members it exchanges messages with agree on.
//
// Package cluster owns the clock and feeds it the readings of other members. Invariant: a minority
// of wrong clocks never moves a correct one by more than MaxSkew.
//
// The package is pure: it does no I/O and reads no clock. A Clock is not safe for concurrent use.
package fleetclock

import (
	"slices"
	"time"
)

const (
	// MaxSkew is the error that is tolerated without a correction; exchanges with other members
	// measure more exactly than that.
	MaxSkew = 2 * time.Second
	// tolerance is the largest difference from the median at which a member counts as agreeing
	// with it.
	tolerance = time.Second
	// maxMembers bounds the members whose readings are kept; those of others are ignored.
	maxMembers = 400
)

// Clock is one member's fleet clock; New creates it.
type Clock struct {
	wall, steady time.Duration // both at the start
	correction   time.Duration // added to the uncorrected time
	offsets      map[string]time.Duration
}

// New returns a clock that starts at wall, the machine's time since 1970, when the monotonic clock
// reads steady.
func New(wall, steady time.Duration) *Clock {
	return &Clock{wall: wall, steady: steady, offsets: map[string]time.Duration{}}
}

// Now returns the fleet time since 1970 when the monotonic clock reads steady.
func (c *Clock) Now(steady time.Duration) time.Duration {
	return c.wall + steady - c.steady + c.correction
}

// Observe records another member's time, read between the own monotonic times sentAt and
// receivedAt. It returns the correction that it made to the clock, 0 for none: the clock is
// corrected only if it is at least MaxSkew away from a time that a majority of all known members,
// this one included, agree on.
func (c *Clock) Observe(member string, theirs, sentAt, receivedAt time.Duration) time.Duration {
	if _, ok := c.offsets[member]; !ok && len(c.offsets) >= maxMembers {
		return 0
	}
	middle := sentAt + (receivedAt-sentAt)/2
	c.offsets[member] = theirs - (c.wall + middle - c.steady) // relative to the uncorrected clock
	all := []time.Duration{0}
	for _, d := range c.offsets {
		all = append(all, d)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	near := 0
	for _, d := range all {
		if d-median <= tolerance && median-d <= tolerance {
			near++
		}
	}
	if change := median - c.correction; near*2 > len(all) && (change >= MaxSkew || change <= -MaxSkew) {
		c.correction = median
		return change
	}
	return 0
}

// Forget drops the reading of a member that has departed.
func (c *Clock) Forget(member string) { delete(c.offsets, member) }
