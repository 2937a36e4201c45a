package rosterpolicy

import (
	"time"

	"frosttide/decision/freshness"
)

// OlderListTimeout is how long a full list that has an older version than the stored list, and
// lacks some of its runners, is doubted, so that discovery has time to catch up.
const OlderListTimeout = freshness.NotifiedWithin

// FullUpdatePolicy decides whether a full list from discovery is accepted. After an outage,
// discovery may have lost its data, and its list would then remove the whole fleet.
type FullUpdatePolicy struct {
	cfg              Config
	unreachableSince time.Duration // time of the first failure of the outage; 0 while reachable
	verifyNext       bool          // no full list was accepted since a long outage or a stored list
	doubtedSince     time.Duration // when a full list was first doubted; 0 if none is doubted
}

// Verdict states how a full list is applied.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota // it replaces the known list
	Doubted                 // it only adds and updates runners; the runners that it lacks are kept
)

// NewFullUpdatePolicy returns a policy with the bounds of cfg. If fromStored is set, the process
// starts from a stored list, and the first full list may be doubted.
func NewFullUpdatePolicy(cfg Config, fromStored bool) *FullUpdatePolicy {
	return &FullUpdatePolicy{cfg: cfg, verifyNext: fromStored}
}

// Failed records at now that a call to discovery failed or that a watch ended. An outage counts
// from the first failure.
func (p *FullUpdatePolicy) Failed(now time.Duration) {
	if p.unreachableSince == 0 {
		p.unreachableSince = now
	}
}

// Contacted records at now that a valid message came from discovery, which ends an outage. After an
// outage of at least Config.Outage the next full list may be doubted.
func (p *FullUpdatePolicy) Contacted(now time.Duration) {
	if p.unreachableSince != 0 && now-p.unreachableSince >= p.cfg.Outage {
		p.verifyNext = true
	}
	p.unreachableSince = 0
}

// Judge decides on a full list that lacks missing of the known runners. The next full list after a
// doubted one is always accepted: if it lacks as much, it confirms the first. Changes of single
// runners are never doubted and are not passed to the policy.
func (p *FullUpdatePolicy) Judge(now time.Duration, known, missing int) Verdict {
	p.Contacted(now)
	if !p.verifyNext || p.withinMaxMissing(known, missing) || p.doubtedSince != 0 {
		p.verifyNext, p.doubtedSince = false, 0
		return Accepted
	}
	p.doubtedSince = now
	return Doubted
}

// JudgeOlder decides like Judge on a full list whose version is older than that of the stored list.
// If the list lacks some runners, though no more than MaxMissing allows, it is doubted until
// discovery has had OlderListTimeout to catch up.
func (p *FullUpdatePolicy) JudgeOlder(now time.Duration, known, missing int) Verdict {
	if missing == 0 || !p.verifyNext || !p.withinMaxMissing(known, missing) {
		return p.Judge(now, known, missing)
	}
	p.Contacted(now)
	if p.doubtedSince == 0 {
		p.doubtedSince = now
	}
	if now-p.doubtedSince < OlderListTimeout {
		return Doubted
	}
	p.verifyNext, p.doubtedSince = false, 0
	return Accepted
}

// withinMaxMissing reports whether the fraction of known runners that a list lacks is at most
// Config.MaxMissing.
func (p *FullUpdatePolicy) withinMaxMissing(known, missing int) bool {
	return float64(missing) <= p.cfg.MaxMissing*float64(known)
}

// AcceptAt returns when the doubted full list is to be accepted unless another arrives before; 0 if
// none is doubted.
func (p *FullUpdatePolicy) AcceptAt() time.Duration {
	if p.doubtedSince == 0 {
		return 0
	}
	return p.doubtedSince + p.cfg.DoubtTimeout
}

// UnreachableSince returns when the current outage of discovery began; 0 if discovery is reachable.
func (p *FullUpdatePolicy) UnreachableSince() time.Duration { return p.unreachableSince }
