// Package fleetclock is the time that a fleet's members go by among themselves. A member's own
// clock may be wrong, or be set while it runs, and facts are weighed by their times: so a
// member's time runs on by a steady clock, and is put right by what a majority of those that
// it hears agree on. The package is pure: no I/O, no clock.
package fleetclock

import (
	"slices"
	"time"
)

const (
	// Bound is by how much a member may be off without being put right, which exchanges with
	// others are exact enough for.
	Bound = 2 * time.Second
	// agree is how near to each other members count as of one mind.
	agree = time.Second
	// remembered is how many members' times are kept; the others are passed over.
	remembered = 400
)

// Clock is a member's. Begin makes it.
type Clock struct {
	wall, steady time.Duration // at the start
	off          time.Duration // added to what runs on from there
	heard        map[string]time.Duration
}

// Begin makes a clock from the machine's own, since 1970, and a steady one.
func Begin(wall, steady time.Duration) *Clock {
	return &Clock{wall: wall, steady: steady, heard: map[string]time.Duration{}}
}

// Now returns the time since 1970.
func (c *Clock) Now(steady time.Duration) time.Duration { return c.wall + steady - c.steady + c.off }

// Heard takes in a member's time, and between which of this one's steady times it was asked
// and answered. It returns by how much this clock has been put right, 0 for not: only where a
// majority of all that are heard of, this one among them, agree on a time that it is far from.
func (c *Clock) Heard(member string, theirs, asked, answered time.Duration) time.Duration {
	if _, ok := c.heard[member]; !ok && len(c.heard) >= remembered {
		return 0
	}
	middle := asked + (answered-asked)/2
	c.heard[member] = theirs - (c.wall + middle - c.steady) // against the clock that is never put right
	all := []time.Duration{0}
	for _, d := range c.heard {
		all = append(all, d)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	near := 0
	for _, d := range all {
		if d-median <= agree && median-d <= agree {
			near++
		}
	}
	if by := median - c.off; near*2 > len(all) && (by >= Bound || by <= -Bound) {
		c.off = median
		return by
	}
	return 0
}

// Gone forgets a member that is away.
func (c *Clock) Gone(member string) { delete(c.heard, member) }
