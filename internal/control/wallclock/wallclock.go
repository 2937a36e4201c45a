// Package wallclock is the time of day that the members of the control plane agree on. Each member counts it on
// its own steady clock, beside the offset that the median of the voters' clocks gives. A clock that is set moves a
// median only where a majority is set, and even then the time follows slowly, until the majority has held
// the new time for long. It is a pure state machine.
package wallclock

import (
	"slices"
	"time"
)

const (
	// readingTTL is for how long a member's reading counts after it was last heard of.
	readingTTL = 30 * time.Second
	// maxSamples is how many of a member's newest readings are looked at: the one that was on its way for the shortest
	// time is taken.
	maxSamples = 8
	// initialAgreementWindow is how long after a first time was agreed on it is taken anew when further members are heard of: the
	// first two of five may be those whose clocks are wrong.
	initialAgreementWindow = 5 * time.Second
	// stepThreshold is up to which difference clocks are taken to differ as clocks do; what is larger is a step.
	stepThreshold = time.Second
	// driftSlewRate and slewLarge are the shares of the time that passes by which a difference is made up for: a step that
	// is taken back within a minute has moved the time by less than the 250 ms that timed work may be early.
	driftSlewRate = 0.005
	stepSlewRate  = 0.001
	// candidateTolerance is by how much a median may move and still count as held.
	candidateTolerance = 500 * time.Millisecond
	// stepAfter is how long a majority has to hold a time until it is taken at once.
	stepAfter = 10 * time.Minute
)

// Clock is a member's account of the time of day. The zero value knows none.
type Clock struct {
	readings        map[uint64]*reading
	hasAgreed       bool
	agreedAt        time.Duration
	initialReadings int           // members whose clocks were looked at for the first time, 0 where it was taken from others
	offset          time.Duration // agreed time of day, from 1970, less the steady clock
	updatedAt       time.Duration
	candidateOffset time.Duration // offset that the median shows in place of the agreed one
	candidateSince  time.Duration
	steppedAt       time.Duration // when the time last jumped, 0 for never
}

// reading is what is known of a member's clocks. Offsets are against this member's steady clock.
type reading struct {
	lastContact   time.Duration
	firstOffset   time.Duration   // the first offset of its own time of day
	offsets       []time.Duration // of its own time of day, the newest last
	agreedOffsets []time.Duration // of the time that it takes for agreed on; empty where it knows none
}

// Observe notes what a member says: its own time of day and the agreed one, in ms from 1970, 0 for none.
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

func offsetOf(now time.Duration, ms int64) time.Duration {
	return time.Duration(ms)*time.Millisecond - now
}

func appendSample(offsets []time.Duration, offset time.Duration) []time.Duration {
	offsets = append(offsets, offset)
	return offsets[max(0, len(offsets)-maxSamples):]
}

// Tick lets time pass. self is this member and wallMs its own time of day, voters are those whose clocks count,
// floorMs is the newest time that the state is known to have gone by.
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

// adoptInitialTime takes up the time that others have agreed on, or the median of what is heard.
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

// initialMedian returns the lower median of the members' first offsets, so that clocks which are set meanwhile count
// as they were. Those that lie before a floor are left out, as time does not go back.
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

// median returns the lower median of the members' offsets.
func (c *Clock) median() time.Duration {
	var offsets []time.Duration
	for _, r := range c.readings {
		offsets = append(offsets, slices.Max(r.offsets))
	}
	return lowerMedian(offsets)
}

func lowerMedian(offsets []time.Duration) time.Duration {
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// followMedian moves the agreed time towards the median.
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

func (c *Clock) slew(difference, elapsed time.Duration, rate float64) {
	maxChange := time.Duration(rate * float64(elapsed))
	c.offset += max(-maxChange, min(maxChange, difference))
}

// NowMs returns the time of day in ms from 1970: the agreed one, and before there is one the best guess.
func (c *Clock) NowMs(now time.Duration) int64 {
	if c.hasAgreed {
		return (now + c.offset).Milliseconds()
	}
	if len(c.readings) == 0 {
		return 0
	}
	return (now + c.initialMedian(now, 0)).Milliseconds()
}

// AgreedMs returns the agreed time of day in ms from 1970 as others may take it up, 0 before it is settled.
func (c *Clock) AgreedMs(now time.Duration) int64 {
	if !c.hasAgreed || c.initialReadings > 0 && now-c.agreedAt < initialAgreementWindow {
		return 0
	}
	return (now + c.offset).Milliseconds()
}

// SteppedAt returns when the agreed time last jumped, on the steady clock, 0 for never.
func (c *Clock) SteppedAt() time.Duration { return c.steppedAt }
