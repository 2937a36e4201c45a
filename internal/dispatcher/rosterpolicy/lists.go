package rosterpolicy

import "time"

// Lists decides whether a whole list of discovery's is believed. A roster that comes back
// from an outage may have lost what it knew, and its list would take away the fleet.
type Lists struct {
	cfg     Config
	awayAt  time.Duration // when it fell silent; 0 while it answers
	suspect bool          // it has been away for long, and no list has been believed since
	doubtAt time.Duration // since when one is doubted; 0 for none
}

// Verdict is what becomes of a whole list.
type Verdict uint8

// The verdicts.
const (
	Believed Verdict = iota // it goes in the place of what was known
	Doubted                 // it only adds; whom it lacks stays as it was
)

// NewLists begins with discovery away, if the program starts from what it had stored.
func NewLists(cfg Config, stored bool) *Lists { return &Lists{cfg: cfg, suspect: stored} }

// Failed tells that a call has failed, or a watch has ended.
func (l *Lists) Failed(now time.Duration) {
	if l.awayAt == 0 {
		l.awayAt = now
	}
}

// Spoke tells that discovery has said anything that could be read.
func (l *Lists) Spoke(now time.Duration) {
	if l.awayAt != 0 && now-l.awayAt >= l.cfg.Outage {
		l.suspect = true
	}
	l.awayAt = 0
}

// Whole decides on a whole list that lacks so many of those known. A second answer that
// lacks as much confirms the first; explicit words on single runners are not its matter,
// they are obeyed at once.
func (l *Lists) Whole(now time.Duration, known, lacks int) Verdict {
	l.Spoke(now)
	few := float64(lacks) <= l.cfg.Lost*float64(known)
	if !l.suspect || few || l.doubtAt != 0 {
		l.suspect, l.doubtAt = false, 0
		return Believed
	}
	l.doubtAt = now
	return Doubted
}

// DoubtUntil returns when the list that is doubted is to be believed for want of another;
// 0 for none.
func (l *Lists) DoubtUntil() time.Duration {
	if l.doubtAt == 0 {
		return 0
	}
	return l.doubtAt + l.cfg.Doubt
}

// Away tells since when discovery has said nothing; 0 while it answers.
func (l *Lists) Away() time.Duration { return l.awayAt }
