package rosterpolicy

import "time"

// FullUpdatePolicy decides whether a whole list of discovery's is believed. A roster that comes back
// from an outage may have lost what it knew, and its list would take away the fleet.
type FullUpdatePolicy struct {
	cfg              Config
	unreachableSince time.Duration // when it fell silent; 0 while it answers
	suspect          bool          // it has been away for long, and no list has been believed since
	doubtedSince     time.Duration // since when one is doubted; 0 for none
}

// Verdict is what becomes of a whole list.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota // it goes in the place of what was known
	Doubted                 // it only adds; whom it lacks stays as it was
)

// NewFullUpdatePolicy begins with discovery away, if the program starts from what it had stored.
func NewFullUpdatePolicy(cfg Config, stored bool) *FullUpdatePolicy {
	return &FullUpdatePolicy{cfg: cfg, suspect: stored}
}

// Failed tells that a call has failed, or a watch has ended.
func (policy *FullUpdatePolicy) Failed(now time.Duration) {
	if policy.unreachableSince == 0 {
		policy.unreachableSince = now
	}
}

// Contacted tells that discovery has said anything that could be read.
func (policy *FullUpdatePolicy) Contacted(now time.Duration) {
	if policy.unreachableSince != 0 && now-policy.unreachableSince >= policy.cfg.Outage {
		policy.suspect = true
	}
	policy.unreachableSince = 0
}

// Judge decides on a whole list that lacks so many of those known. A second answer that
// lacks as much confirms the first; explicit words on single runners are not its matter,
// they are obeyed at once.
func (policy *FullUpdatePolicy) Judge(now time.Duration, known, missing int) Verdict {
	policy.Contacted(now)
	few := float64(missing) <= policy.cfg.MaxMissing*float64(known)
	if !policy.suspect || few || policy.doubtedSince != 0 {
		policy.suspect, policy.doubtedSince = false, 0
		return Accepted
	}
	policy.doubtedSince = now
	return Doubted
}

// AcceptAt returns when the list that is doubted is to be believed for want of another;
// 0 for none.
func (policy *FullUpdatePolicy) AcceptAt() time.Duration {
	if policy.doubtedSince == 0 {
		return 0
	}
	return policy.doubtedSince + policy.cfg.DoubtTimeout
}

// UnreachableSince tells since when discovery has said nothing; 0 while it answers.
func (policy *FullUpdatePolicy) UnreachableSince() time.Duration { return policy.unreachableSince }
