package rosterpolicy

import (
	"time"

	"frosttide/decision/freshness"
)

// OlderListTimeout is how long a discovery that lists less than was stored, in an older version, has to catch up.
const OlderListTimeout = freshness.NotifiedWithin

// FullUpdatePolicy decides whether a full list of discovery's is accepted. A discovery that returns from an outage may
// have lost its data, and its list would remove the whole fleet.
type FullUpdatePolicy struct {
	cfg              Config
	unreachableSince time.Duration // 0 while discovery responds
	suspect          bool          // there was a long outage, and no full list has been accepted since
	doubtedSince     time.Duration // when a full list was doubted; 0 for none
}

// Verdict is what a full list is used for.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota // it replaces what was known
	Doubted                 // it only adds; runners that it lacks stay as they were
)

// NewFullUpdatePolicy makes a policy. FromStored says that the process starts from a stored list, so that the first full
// list may be doubted.
func NewFullUpdatePolicy(cfg Config, fromStored bool) *FullUpdatePolicy {
	return &FullUpdatePolicy{cfg: cfg, suspect: fromStored}
}

// Failed records that a call has failed, or that a watch has ended.
func (p *FullUpdatePolicy) Failed(now time.Duration) {
	if p.unreachableSince == 0 {
		p.unreachableSince = now
	}
}

// Contacted records that discovery has sent something that could be read.
func (p *FullUpdatePolicy) Contacted(now time.Duration) {
	if p.unreachableSince != 0 && now-p.unreachableSince >= p.cfg.Outage {
		p.suspect = true
	}
	p.unreachableSince = 0
}

// Judge decides on a full list that lacks so many of the known runners. A second list that lacks as much confirms the
// first. Changes of single runners are not doubted and don't come here.
func (p *FullUpdatePolicy) Judge(now time.Duration, known, missing int) Verdict {
	p.Contacted(now)
	if !p.suspect || p.lacksFew(known, missing) || p.doubtedSince != 0 {
		p.suspect, p.doubtedSince = false, 0
		return Accepted
	}
	p.doubtedSince = now
	return Doubted
}

// JudgeOlder decides on a full list that is older than the stored one. Where it lacks few of the known runners, which is no
// reason for doubt otherwise, it is doubted until discovery has had the time to catch up.
func (p *FullUpdatePolicy) JudgeOlder(now time.Duration, known, missing int) Verdict {
	if missing == 0 || !p.suspect || !p.lacksFew(known, missing) {
		return p.Judge(now, known, missing)
	}
	p.Contacted(now)
	if p.doubtedSince == 0 {
		p.doubtedSince = now
	}
	if now-p.doubtedSince < OlderListTimeout {
		return Doubted
	}
	p.suspect, p.doubtedSince = false, 0
	return Accepted
}

// lacksFew reports whether a list lacks so few of the known runners that it is no reason for doubt.
func (p *FullUpdatePolicy) lacksFew(known, missing int) bool {
	return float64(missing) <= p.cfg.MaxMissing*float64(known)
}

// AcceptAt returns when a doubted full list is to be accepted if no other has come; 0 if none is doubted.
func (p *FullUpdatePolicy) AcceptAt() time.Duration {
	if p.doubtedSince == 0 {
		return 0
	}
	return p.doubtedSince + p.cfg.DoubtTimeout
}

// UnreachableSince returns since when discovery has not responded; 0 while it does.
func (p *FullUpdatePolicy) UnreachableSince() time.Duration { return p.unreachableSince }
