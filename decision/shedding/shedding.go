// Package shedding tells which arrivals are refused while requests start late, for workers
// that tell nothing of their load. The package is pure: no I/O, no clock.
package shedding

const (
	lateShare = 0.2        // share of requests that may start late before arrivals are shed
	gain      = 0.2        // how fast shedding follows
	most      = 0.8        // share of any class that is shed at most: the rest shows when to stop
	meanGain  = 1.0 / 16.0 // weight of a new arrival in the means
)

// Shedder follows late starts. The zero value sheds nothing.
type Shedder struct {
	worth, work float64 // means over recent arrivals
	shed        float64 // up to 1: share of lesser work refused; up to 2: of all work
}

// Share takes in an arrival by its worth and its seconds of work and returns the share of
// its like that is refused: work of less than mean worth a second first. Guards against
// queues that all stand full, so that everything is served and nothing in time.
func (s *Shedder) Share(worth, work float64) float64 {
	s.worth += (worth - s.worth) * meanGain
	s.work += (work - s.work) * meanGain
	p := s.shed
	if worth*s.work > s.worth*work {
		p--
	}
	return min(p, most)
}

// Note takes in whether a request started late or met a full queue. Where few are let in
// few are seen, so the way back is longer by the sample but no longer by the clock.
func (s *Shedder) Note(late bool) {
	step := -lateShare / max(1-s.shed, 1-most)
	if late {
		step = 1 - lateShare
	}
	s.shed = min(max(s.shed+step*gain, 0), 1+most)
}
