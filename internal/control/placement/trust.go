package placement

import "time"

// trust is what the ends of its runs say of a runner.
type trust struct {
	failing float64 // share of failed ends, newer ones counting more
	ends    int
	inARow  int           // failures since the last end that was none
	last    time.Duration // of the newest failure
}

const (
	// trustWeight is how much a new end counts.
	trustWeight = 0.2
	// suspectShare is the share of failures from which a runner comes last, once it has some ends. Tasks that
	// fail through their own fault are far fewer.
	suspectShare = 0.35
	suspectEnds  = 5
	// suspectInARow is how many failures in a row make a runner suspect: where one task in twenty fails through its
	// own fault, two in a row are more likely the runner's.
	suspectInARow = 2
	// forgiveAfter is how long after its last failure a suspect is tried again.
	forgiveAfter = 5 * time.Second
)

// note takes an end into account.
func (t *trust) note(failed bool, now time.Duration) {
	value := 0.0
	t.inARow++
	if failed {
		value, t.last = 1, now
	} else {
		t.inARow = 0
	}
	t.ends++
	t.failing += (value - t.failing) * trustWeight
}

// suspect tells whether a runner fails what it is given.
func (t *trust) suspect(now time.Duration) bool {
	fails := t.inARow >= suspectInARow || t.ends >= suspectEnds && t.failing >= suspectShare
	return fails && now-t.last < forgiveAfter
}

// doubtful tells whether a runner's newest end was a failure: it may be the first of many.
func (t *trust) doubtful(now time.Duration) bool { return t.inARow > 0 && now-t.last < forgiveAfter }

// Suspect tells whether a runner fails what it is given.
func (r *Runner) Suspect(now time.Duration) bool { return r.trust.suspect(now) }
