// Package shedding decides what fraction of new requests is rejected while requests start late, for workers that do
// not report their load. Package decision asks it for each new request and records each start.
//
// The package is pure: it does no I/O and reads no clock. A Shedder is not safe for concurrent use.
package shedding

const (
	toleratedFraction = 0.2        // fraction of requests that may start late before any are rejected
	gain              = 0.2        // how fast the level follows starts
	maxFraction       = 0.8        // largest fraction of a class that is rejected; the rest shows when to stop
	meanGain          = 1.0 / 16.0 // weight of a new request in the means
)

// Start says whether a request started on time.
type Start int

// The kinds of starts.
const (
	OnTime  Start = iota // it started on time
	Overdue              // it did not, or its worker's queue was full
)

// Shedder follows the fraction of late starts. The zero value rejects nothing.
type Shedder struct {
	meanValue, meanWork float64 // of recent requests; work in seconds
	// level is, up to 1, the fraction of less valuable work that is rejected; above 1, all of that is rejected and the
	// fraction level-1 of the rest.
	level float64
}

// RejectFraction records a new request, by its value and its seconds of work, and returns the fraction of such requests
// that is rejected. Work of less than the mean value per second is rejected first. Without rejections all queues of an
// overloaded fleet would stay full: every request would be served, and none on time.
func (s *Shedder) RejectFraction(value, work float64) float64 {
	s.meanValue += (value - s.meanValue) * meanGain
	s.meanWork += (work - s.meanWork) * meanGain
	fraction := s.level
	if value*s.meanWork > s.meanValue*work {
		fraction--
	}
	return min(fraction, maxFraction)
}

// RecordStart records whether a request started on time. The fewer requests are let in, the more a start on time counts,
// so that the level falls as fast in time with fewer samples.
func (s *Shedder) RecordStart(start Start) {
	step := -toleratedFraction / max(1-s.level, 1-maxFraction)
	if start == Overdue {
		step = 1 - toleratedFraction
	}
	s.level = min(max(s.level+step*gain, 0), 1+maxFraction)
}
