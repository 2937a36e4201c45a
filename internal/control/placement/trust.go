package placement

import "time"

// trust is what the ends of its runs say of a runner.
type trust struct {
	failing float64 // share of failed ends, newer ones counting more
	ends    int
	last    time.Duration // of the newest failure
}

const (
	// trustWeight is how much a new end counts.
	trustWeight = 0.25
	// suspectShare is the share of failures from which a runner comes last.
	suspectShare = 0.5
	// forgiveAfter is how long after its last failure a suspect is tried again.
	forgiveAfter = 5 * time.Second
)

// note takes an end into account.
func (t *trust) note(failed bool, now time.Duration) {
	value := 0.0
	if failed {
		value, t.last = 1, now
	}
	t.ends++
	t.failing += (value - t.failing) * trustWeight
}

// suspect tells whether a runner fails what it is given.
func (t *trust) suspect(now time.Duration) bool {
	return t.failing >= suspectShare && now-t.last < forgiveAfter
}

// Suspect tells whether a runner fails what it is given.
func (r *Runner) Suspect(now time.Duration) bool { return r.trust.suspect(now) }
