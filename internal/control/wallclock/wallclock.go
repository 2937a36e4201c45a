// Package wallclock computes the time of day that the members of the control plane agree on.
//
// Each member (internal/control/member) owns one Clock. It feeds the Clock the readings from the other members' heartbeats
// and passes the agreed time to its scheduler, which uses it to start timed work. Elapsed time is measured on the member's
// own steady clock; the members agree on the offset from the steady clock to the time of day, which is the lower median of
// the voters' clocks. A Clock is a pure state machine: it reads no system clock and starts no goroutine. It is not safe for
// concurrent use.
//
// # Invariants
//
//   - Wrong clocks on a minority of the members do not change the agreed time, however large their error.
//   - The agreed time does not jump when a majority's clocks are changed briefly: it slews by small differences at
//     driftSlewRate and by steps at stepSlewRate, and jumps only after the majority has kept a step for stepAfter. The terms
//     are those of the Network Time Protocol (RFC 5905, section 11.3); the rates are specific to this system.
//   - A restarted member adopts the time that the others have agreed on, so that restarts do not change it.
//   - If all members restart at once, clocks behind the newest time in the replicated state are ignored. There is no other
//     check: if a majority of the clocks are wrong, the agreed time is wrong.
//
// All offsets and times are durations on the steady clock of the member that stores them; times of day are in milliseconds
// since the Unix epoch.
package wallclock

import (
	"slices"
	"time"
)

const (
	// readingTTL is how long a member's readings are used after its last reading.
	readingTTL = 30 * time.Second
	// maxSamples is the number of readings kept per member. The one with the largest offset is used, because it had the
	// shortest network delay.
	maxSamples = 8
	// initialAgreementWindow is the time after the first agreement during which readings from further members cause the
	// time to be chosen again: the first two of five members to be read may be the ones with wrong clocks.
	initialAgreementWindow = 5 * time.Second
	// stepThreshold is the difference above which a clock is considered to have been set rather than to drift.
	stepThreshold = time.Second
	// driftSlewRate and stepSlewRate are the fractions of the elapsed time by which a difference is reduced. A step that is
	// reverted within a minute changes the time by less than 250 ms, the amount by which timed work may start early.
	driftSlewRate = 0.005
	stepSlewRate  = 0.001
	// candidateTolerance is the maximum change of the median that still counts as the same step.
	candidateTolerance = 500 * time.Millisecond
	// stepAfter is how long a majority has to keep a step before the agreed time jumps by it.
	stepAfter = 10 * time.Minute
)

// Clock is one member's estimate of the agreed time of day. The zero value is ready to use and has no readings.
type Clock struct {
	readings  map[uint64]*reading // by member ID, including this member
	updatedAt time.Duration

	hasAgreed       bool
	agreedAt        time.Duration // when this member computed the first agreement, 0 if it adopted the others' time
	initialReadings int           // number of clocks used in the first agreement, 0 if the others' time was adopted
	offset          time.Duration // agreed time of day minus the steady clock
	steppedAt       time.Duration // when the agreed time last jumped, 0 for never

	candidateOffset time.Duration // median offset of a step that has not been adopted yet
	candidateSince  time.Duration // when the median first showed the step, 0 for no step
}

// reading holds the recent clock readings of a member.
type reading struct {
	lastContact   time.Duration
	firstOffset   time.Duration   // offset of its own time of day at the first reading
	offsets       []time.Duration // offsets of its own time of day, the newest last
	agreedOffsets []time.Duration // offsets of its agreed time, the newest last; empty if it reports none
}

// Observe records a member's own time of day and the agreed time that it reports, in milliseconds since the Unix epoch; 0
// means none.
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

// offsetOf returns the offset from the steady clock to a time of day.
func offsetOf(now time.Duration, ms int64) time.Duration {
	return time.Duration(ms)*time.Millisecond - now
}

// appendSample appends an offset and drops the oldest one beyond maxSamples.
func appendSample(offsets []time.Duration, offset time.Duration) []time.Duration {
	offsets = append(offsets, offset)
	return offsets[max(0, len(offsets)-maxSamples):]
}

// Tick advances the clock. self is this member's ID and wallMs its own time of day; voters are the IDs of the members whose
// clocks are used; floorMs is the newest time of day in the replicated state, 0 for none. The offset does not change unless
// there are readings from a majority of the voters.
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

// adoptInitialTime adopts the agreed time that other members report or, if none reports one, the median of the clocks.
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

// initialMedian returns the lower median of the members' first offsets, which ignores changes to the clocks since their
// first reading. Clocks more than stepThreshold behind the floor are left out, because time must not go backwards.
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

// lowerMedian returns the median or, for an even number of offsets, the lower of the two middle ones, because late timed
// work is preferable to early timed work. It sorts the offsets in place.
func lowerMedian(offsets []time.Duration) time.Duration {
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// followMedian slews the agreed time towards the median. It jumps to the median if a step has lasted for stepAfter.
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

// slew changes the offset by the difference, limited to rate times the elapsed time.
func (c *Clock) slew(difference, elapsed time.Duration, rate float64) {
	maxChange := time.Duration(rate * float64(elapsed))
	c.offset += max(-maxChange, min(maxChange, difference))
}

// NowMs returns the time of day in milliseconds since the Unix epoch: the agreed time, the median of the members' clocks
// before the first agreement, or 0 if there are no readings.
func (c *Clock) NowMs(now time.Duration) int64 {
	if c.hasAgreed {
		return (now + c.offset).Milliseconds()
	}
	if len(c.readings) == 0 {
		return 0
	}
	return (now + c.initialMedian(now, 0)).Milliseconds()
}

// AgreedMs returns the agreed time of day in milliseconds since the Unix epoch. It returns 0 before the first agreement
// and during the initial agreement window, so that other members do not adopt a time that may still be chosen again.
func (c *Clock) AgreedMs(now time.Duration) int64 {
	if !c.hasAgreed || c.initialReadings > 0 && now-c.agreedAt < initialAgreementWindow {
		return 0
	}
	return (now + c.offset).Milliseconds()
}

// SteppedAt returns the time on the steady clock of the last jump of the agreed time, 0 for never.
func (c *Clock) SteppedAt() time.Duration { return c.steppedAt }
