// Package shedding decides which fraction of new requests to reject while requests start late, for workers that do not
// report their load. Package decision asks it for each new request and records each start.
//
// The package is pure: it does no I/O and reads no clock. A Shedder is not safe for concurrent use.
package shedding

const (
	toleratedFraction = 0.2        // fraction of requests that may start late before any are rejected
	gain              = 0.2        // step size of the level per recorded start
	maxFraction       = 0.8        // largest fraction that is rejected of any requests; the admitted rest shows when to stop
	meanGain          = 1.0 / 16.0 // weight of a new request in the moving averages
)

// Start is whether a request started on time.
type Start int

const (
	OnTime  Start = iota // the request started on time
	Overdue              // the request started late, or its worker's queue was full
)

// Shedder adapts the fraction of rejected requests to the fraction of late starts. The zero value rejects nothing.
type Shedder struct {
	meanValue, meanWork float64 // of recent requests; work in seconds
	// level up to 1 is the rejected fraction of the less valuable work. Above 1, all less valuable work is rejected, and
	// the fraction level-1 of the rest.
	level float64
}

// RejectFraction records the value and the seconds of work of a new request, and returns the fraction of such requests to
// reject. Requests with less than the mean value per second of work are rejected first. Without rejections all queues of
// an overloaded fleet would stay full: every request would be served, and none on time.
func (s *Shedder) RejectFraction(value, work float64) float64 {
	s.meanValue += (value - s.meanValue) * meanGain
	s.meanWork += (work - s.meanWork) * meanGain
	fraction := s.level
	if value*s.meanWork > s.meanValue*work {
		fraction--
	}
	return min(fraction, maxFraction)
}

// RecordStart records whether a request started on time. The fewer requests are admitted, the more a start on time
// counts, so that the level falls just as fast with fewer samples.
func (s *Shedder) RecordStart(start Start) {
	step := -toleratedFraction / max(1-s.level, 1-maxFraction)
	if start == Overdue {
		step = 1 - toleratedFraction
	}
	s.level = min(max(s.level+step*gain, 0), 1+maxFraction)
}
