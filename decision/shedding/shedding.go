// Package shedding tells which arrivals are refused while requests start late, for workers
// that tell nothing of their load. The package is pure: no I/O, no clock.
package shedding

const (
	toleratedFraction = 0.2        // share of requests that may start late before arrivals are shed
	gain              = 0.2        // how fast shedding follows
	maxFraction       = 0.8        // share of any class that is shed at most: the rest shows when to stop
	meanGain          = 1.0 / 16.0 // weight of a new arrival in the means
)

// Shedder follows late starts. The zero value sheds nothing.
type Shedder struct {
	meanValue, meanWork float64 // means over recent arrivals
	level               float64 // up to 1: share of lesser work refused; up to 2: of all work
}

// RejectFraction takes in an arrival by its worth and its seconds of work and returns the share of
// its like that is refused: work of less than mean worth a second first. Guards against
// queues that all stand full, so that everything is served and nothing in time.
func (s *Shedder) RejectFraction(value, work float64) float64 {
	s.meanValue += (value - s.meanValue) * meanGain
	s.meanWork += (work - s.meanWork) * meanGain
	p := s.level
	if value*s.meanWork > s.meanValue*work {
		p--
	}
	return min(p, maxFraction)
}

// RecordStart takes in whether a request started late or met a full queue. Where few are let in
// few are seen, so the way back is longer by the sample but no longer by the clock.
func (s *Shedder) RecordStart(overdue bool) {
	step := -toleratedFraction / max(1-s.level, 1-maxFraction)
	if overdue {
		step = 1 - toleratedFraction
	}
	s.level = min(max(s.level+step*gain, 0), 1+maxFraction)
}
