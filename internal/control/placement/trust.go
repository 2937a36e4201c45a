package placement

import "time"

// trust is what the ends of its runs say of a runner.
type trust struct {
	failing   float64 // share of failed ends, newer ones counting more
	ends      int
	inARow    int           // jobs with failures since the last end that was none
	job       string        // of the newest failure
	last      time.Duration // of the newest failure
	probation bool          // it was suspect, and has ended nothing well since
}

const (
	// trustWeight is how much a new end counts.
	trustWeight = 0.2
	// suspectShare is the share of failures from which a runner is suspect, once it has some ends. Tasks that
	// fail through their own fault are far fewer.
	suspectShare = 0.35
	suspectEnds  = 5
	// suspectInARow is how many jobs have to fail one after the other to make a runner suspect. Failures of one
	// job count once, as they may be its own fault; where one task in twenty fails through its own fault, two jobs in
	// a row are more likely the runner's.
	suspectInARow = 2
	// forgiveAfter is how long after its last failure a suspect is tried again, by one task at a time.
	forgiveAfter = 4 * time.Second
	// mostOut is the share of a service's runners that may be out on suspicion. Where more are suspect, the
	// fault is not theirs, and none is.
	mostOut = 1.0 / 3
)

// note takes an end into account.
func (t *trust) note(job string, failed bool, now time.Duration) {
	value := 0.0
	switch {
	case !failed:
		t.inARow, t.probation, t.job = 0, false, ""
	case job == t.job:
		t.last = now
		return
	default:
		value, t.last, t.job = 1, now, job
		t.inARow++
	}
	t.ends++
	t.failing += (value - t.failing) * trustWeight
	if t.fails() {
		t.probation = true
	}
}

// fails tells whether the ends say that a runner fails what it is given.
func (t *trust) fails() bool {
	return t.inARow >= suspectInARow || t.ends >= suspectEnds && t.failing >= suspectShare
}

// troubled tells whether the newest ends speak against a runner; of one that is not, no task is kept.
func (t *trust) troubled() bool { return t.probation || t.inARow > 0 }

// suspect tells whether a runner is to be left alone for now.
func (t *trust) suspect(now time.Duration) bool { return t.probation && now-t.last < forgiveAfter }

// doubtful tells whether a runner's newest end was a failure: it may be the first of many.
func (t *trust) doubtful(now time.Duration) bool { return t.inARow > 0 && now-t.last < forgiveAfter }

// Suspect tells whether a runner fails what it is given.
func (r *Runner) Suspect(now time.Duration) bool { return r.trust.suspect(now) }

// trusted tells whether a runner may take a task as far as its trust goes. A task that has one attempt left,
// or that the runner has failed, waits for one whose newest end was none that failed.
func (r *Runner) trusted(w *Want, now time.Duration) bool {
	switch {
	case r.trust.suspect(now):
		return false
	case r.trust.probation:
		return len(r.holds) == 0 && !w.LastAttempt && !w.Gang
	case w.LastAttempt || w.Avoid == r.ID:
		return !r.trust.doubtful(now)
	default:
		return true
	}
}

// suspicionCounts tells whether suspicion keeps runners from a task: not where too many of those that could
// take it are suspect, so that the fault is hardly theirs, nor where there is but one.
func (f *Fleet) suspicionCounts(w *Want, now time.Duration) bool {
	p := f.pools[w.Service]
	if p == nil || p.troubled == 0 {
		return false
	}
	able, suspects := 0, 0
	for _, r := range p.all {
		if !r.Usable || !r.able(w) {
			continue
		}
		able++
		if r.trust.suspect(now) {
			suspects++
		}
	}
	return able > 1 && suspects <= max(1, int(mostOut*float64(able)))
}
