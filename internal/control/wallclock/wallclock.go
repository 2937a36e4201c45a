// Package wallclock is the time of day that the members of the control plane agree on.
//
// Each member (internal/control/member) owns one Clock, passes it the clock readings in the other members' heartbeats and
// gives the agreed time to its scheduler, which starts timed work by it. Time is counted on a member's own steady clock;
// what is agreed on is the offset between that and the time of day, as the lower median of the voters' clocks. It is a pure
// state machine with neither a clock nor a goroutine, and not safe for concurrent use.
//
// # Invariants
//
//   - A minority's clocks do not move the agreed time, however far they are set.
//   - The agreed time never jumps where a majority's clocks are set for a short while: it follows a small difference at
//     driftSlewRate and a step at stepSlewRate, and adopts a step at once only after the majority has held it for
//     stepAfter. The terms are those of the Network Time Protocol (RFC 5905, section 11.3), the rates are this system's.
//   - A member that restarts adopts the time that others have agreed on, so that restarts do not move it.
//   - Where all members restart at once, times before the newest one in the replicated state are ruled out. Nothing else
//     tells which clocks are right: a majority of wrong ones wins.
//
// All offsets and times are durations on the steady clock of the member that holds them; times of day are in ms since 1970.
package wallclock

import (
	"slices"
	"time"
)

const (
	// readingTTL is how long a member's readings count after its last one.
	readingTTL = 30 * time.Second
	// maxSamples is how many of a member's newest readings are kept. The one with the largest offset counts, as it was on
	// its way for the shortest time.
	maxSamples = 8
	// initialAgreementWindow is how long after the first agreement the time is chosen again when more members have been
	// read: the first two of five may be those whose clocks are wrong.
	initialAgreementWindow = 5 * time.Second
	// stepThreshold is the difference above which a clock counts as set rather than as drifting.
	stepThreshold = time.Second
	// driftSlewRate and stepSlewRate are the parts of the elapsed time by which a difference is reduced. A step that is
	// taken back within a minute moves the time by less than the 250 ms that timed work may be early.
	driftSlewRate = 0.005
	stepSlewRate  = 0.001
	// candidateTolerance is how far the median may move and still count as the same step.
	candidateTolerance = 500 * time.Millisecond
	// stepAfter is how long a majority has to hold a step until it is adopted at once.
	stepAfter = 10 * time.Minute
)

// Clock is one member's account of the time of day. The zero value is ready to use and knows none.
type Clock struct {
	readings  map[uint64]*reading // by member, this one included
	updatedAt time.Duration

	hasAgreed       bool
	agreedAt        time.Duration // when the first agreement was made, where this member took part in it
	initialReadings int           // members whose clocks counted in the first agreement, 0 where it was adopted from others
	offset          time.Duration // agreed time of day less the steady clock
	steppedAt       time.Duration // when the agreed time last jumped, 0 for never

	candidateOffset time.Duration // of a step that the median shows
	candidateSince  time.Duration // since when it has shown it, 0 where it shows none
}

// reading is what is known of a member's clocks.
type reading struct {
	lastContact   time.Duration
	firstOffset   time.Duration   // of its own time of day, at the first reading
	offsets       []time.Duration // of its own time of day, the newest last
	agreedOffsets []time.Duration // of the time that it reports as agreed, the newest last; empty where it knows none
}

// Observe records a member's own time of day and the one that it reports as agreed, in ms since 1970; 0 stands for none.
func (c *Clock) Observe(now time.Duration, member uint64, wallMs, agreedMs int64) {
	if wallMs <= 0 {
		return
	}
	if c.readings == nil {
		c.readings = make(map[uint64]*reading)
	}
	r := c.readings[member]
	if r == nil {
		r = &reading{firstOffset: offsetOf(now, wallMs)}
		c.readings[member] = r
	}
	r.lastContact = now
	r.offsets = appendSample(r.offsets, offsetOf(now, wallMs))
	if agreedMs > 0 {
		r.agreedOffsets = appendSample(r.agreedOffsets, offsetOf(now, agreedMs))
	} else {
		r.agreedOffsets = nil
	}
}

// offsetOf returns the offset of a time of day to the steady clock.
func offsetOf(now time.Duration, ms int64) time.Duration {
	return time.Duration(ms)*time.Millisecond - now
}

// appendSample appends an offset and drops those beyond maxSamples.
func appendSample(offsets []time.Duration, offset time.Duration) []time.Duration {
	offsets = append(offsets, offset)
	return offsets[max(0, len(offsets)-maxSamples):]
}

// Tick advances the time. self is this member and wallMs its own time of day; voters are the members whose clocks count;
// floorMs is the newest time of day in the replicated state, 0 for none. Nothing changes without readings of a majority.
func (c *Clock) Tick(now time.Duration, self uint64, wallMs int64, voters []uint64, floorMs int64) {
	c.Observe(now, self, wallMs, c.AgreedMs(now))
	for id, r := range c.readings {
		if now-r.lastContact > readingTTL || !slices.Contains(voters, id) {
			delete(c.readings, id)
		}
	}
	elapsed := now - c.updatedAt
	c.updatedAt = now
	majorityKnown := len(c.readings) >= len(voters)/2+1
	switch {
	case !majorityKnown:
	case !c.hasAgreed:
		c.adoptInitialTime(now, self, floorMs)
	case c.initialReadings > 0 && c.initialReadings < len(c.readings) && now-c.agreedAt < initialAgreementWindow:
		c.offset, c.initialReadings = c.initialMedian(now, floorMs), len(c.readings)
	default:
		c.followMedian(now, elapsed)
	}
}

// adoptInitialTime adopts the time that others report as agreed, or else the median of the members' clocks.
func (c *Clock) adoptInitialTime(now time.Duration, self uint64, floorMs int64) {
	var others []time.Duration
	for id, r := range c.readings {
		if id != self && len(r.agreedOffsets) > 0 {
			others = append(others, slices.Max(r.agreedOffsets))
		}
	}
	if len(others) > 0 {
		c.hasAgreed, c.offset = true, lowerMedian(others)
		return
	}
	c.hasAgreed, c.agreedAt, c.initialReadings = true, now, len(c.readings)
	c.offset = c.initialMedian(now, floorMs)
}

// initialMedian returns the lower median of the members' first offsets, so that clocks that have been set since count as
// they were. Clocks before the floor are left out, as time does not go back.
func (c *Clock) initialMedian(now time.Duration, floorMs int64) time.Duration {
	floor := offsetOf(now, floorMs)
	var offsets []time.Duration
	for _, r := range c.readings {
		if floorMs == 0 || r.firstOffset >= floor-stepThreshold {
			offsets = append(offsets, r.firstOffset)
		}
	}
	if len(offsets) == 0 {
		return floor
	}
	return lowerMedian(offsets)
}

// median returns the lower median of the members' current offsets.
func (c *Clock) median() time.Duration {
	var offsets []time.Duration
	for _, r := range c.readings {
		offsets = append(offsets, slices.Max(r.offsets))
	}
	return lowerMedian(offsets)
}

// lowerMedian returns the median, and of two middle offsets the lower one: timed work should rather be late than early. It
// sorts the offsets in place.
func lowerMedian(offsets []time.Duration) time.Duration {
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// followMedian moves the agreed time towards the median: slowly, or at once for a step held for stepAfter.
func (c *Clock) followMedian(now, elapsed time.Duration) {
	median := c.median()
	difference := median - c.offset
	if difference.Abs() <= stepThreshold {
		c.candidateSince = 0
		c.slew(difference, elapsed, driftSlewRate)
		return
	}
	if c.candidateSince == 0 || (median-c.candidateOffset).Abs() > candidateTolerance {
		c.candidateOffset, c.candidateSince = median, now
	}
	if now-c.candidateSince >= stepAfter {
		c.offset, c.steppedAt, c.candidateSince = median, now, 0
		return
	}
	c.slew(difference, elapsed, stepSlewRate)
}

// slew reduces a difference by at most a rate times the elapsed time.
func (c *Clock) slew(difference, elapsed time.Duration, rate float64) {
	maxChange := time.Duration(rate * float64(elapsed))
	c.offset += max(-maxChange, min(maxChange, difference))
}

// NowMs returns the time of day in ms since 1970: the agreed one, before there is one the median of the members' clocks,
// and 0 where nothing is known.
func (c *Clock) NowMs(now time.Duration) int64 {
	if c.hasAgreed {
		return (now + c.offset).Milliseconds()
	}
	if len(c.readings) == 0 {
		return 0
	}
	return (now + c.initialMedian(now, 0)).Milliseconds()
}

// AgreedMs returns the agreed time of day in ms since 1970, 0 before others may adopt it: within the initial window it may
// still be chosen again.
func (c *Clock) AgreedMs(now time.Duration) int64 {
	if !c.hasAgreed || c.initialReadings > 0 && now-c.agreedAt < initialAgreementWindow {
		return 0
	}
	return (now + c.offset).Milliseconds()
}

// SteppedAt returns when, on the steady clock, the agreed time last jumped, 0 for never.
func (c *Clock) SteppedAt() time.Duration { return c.steppedAt }
