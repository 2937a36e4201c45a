// Package rosterpolicy decides which runners of a stored list get work before discovery has
// confirmed them: whether a runner is used at once or after probes, how long it counts as cold,
// which runner is probed next, and whether a full list that discovery sends after an outage is
// accepted. Package roster, the state commands and a simulation use it.
//
// It is a pure state machine: it does no I/O, reads no clock, and is deterministic. Its types are
// not safe for concurrent use. All times are offsets from the Unix epoch, by the caller's clock.
//
// Invariants:
//   - bad evidence never brings a runner into use, and good evidence never takes it out of use;
//   - a runner whose age is Unusable is never used;
//   - while a runner may be cold, only its owners use it, and its warm-up budget is divided by at
//     least their number.
package rosterpolicy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the bounds of the policy. Ages count from a runner's last confirmation.
type Config struct {
	Fresh time.Duration // up to this age a runner is used without a probe
	Old   time.Duration // up to this age one successful probe is required
	Max   time.Duration // over this age a runner is never used

	Zone        string        // runners of this zone are probed first
	ProbeRate   float64       // maximum probes per second
	Number      int           // index of this dispatcher, from 0
	Dispatchers int           // number of dispatchers that may start from such a list
	WarmUp      time.Duration // time from a runner's start until it has its full capacity

	// PlannedDowntime is the time since the planned shutdown of the previous process; 0 if that
	// process ended in any other way.
	PlannedDowntime time.Duration

	Outage       time.Duration // minimum outage of discovery after which a full list may be doubted
	MaxMissing   float64       // fraction of the known runners that an undoubted full list may lack
	DoubtTimeout time.Duration // time after which a doubted full list is accepted
}

const (
	// minProbeBackoff and maxProbeBackoff bound the interval between probes of a runner: full
	// jitter under a bound that doubles with each consecutive failure.
	minProbeBackoff = time.Second
	maxProbeBackoff = 30 * time.Second
	// minSuccessInterval is the minimum time between two successes that both count.
	minSuccessInterval = time.Second
	// probeBurst is how many probes may start ahead of the probe rate after an idle period.
	probeBurst = 8
	// warmingUpPerDispatcher is the number of cold runners that each dispatcher should own, so that
	// it can serve jobs right after its start. In a small fleet several dispatchers share a runner.
	warmingUpPerDispatcher = 4
	// plannedRestartWindow is the longest downtime after a planned shutdown of the dispatcher for
	// which runners are presumed not to have restarted meanwhile. After a power failure either no
	// shutdown was planned or the downtime is longer. A single runner that does restart within the
	// window is presumed warm until its first jobs show otherwise. A runner that is unresponsive
	// later, but for no longer than the window and without refusing or breaking a connection, is
	// presumed not to have restarted either.
	plannedRestartWindow = 5 * time.Second
	// noDeadline is returned as the time of the next call if there is nothing to wait for.
	noDeadline = time.Duration(math.MaxInt64)
)

// StateTable holds the state of the runners of a stored list that discovery has not listed yet.
type StateTable struct {
	cfg        Config
	rng        *rand.Rand
	candidates map[string]*candidate // by uid
	probeOrder []*candidate          // may hold candidates that were removed
	nextProbe  time.Duration         // when ProbeRate, without a burst, allows the next probe
	startedAt  time.Duration         // when the table was created
	owners     int                   // number of dispatchers that may use a runner while it is cold
}

// New returns the table of a stored list. The seed determines the random part of the probe order
// and of the probe intervals.
func New(cfg Config, now time.Duration, stored []Stored, seed uint64) *StateTable {
	t := &StateTable{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 3)), candidates: map[string]*candidate{}, startedAt: now, nextProbe: now}
	dispatchers := max(cfg.Dispatchers, 1)
	usable := 0
	for _, s := range stored {
		c := newCandidate(&cfg, now, s)
		t.candidates[s.UID] = c
		if c.standing == Withheld {
			usable++
		}
	}
	t.owners = min(max((warmingUpPerDispatcher*dispatchers+usable-1)/max(usable, 1), 1), dispatchers)
	for _, s := range stored {
		c := t.candidates[s.UID]
		c.owned = t.Owned(s.UID)
		if c.standing == Withheld {
			t.probeOrder = append(t.probeOrder, c)
			if c.successesNeeded == 0 {
				c.notRestarted = t.presumedNotRestarted(c)
				t.admit(c, now)
			}
		}
	}
	t.sortProbeOrder()
	return t
}

// newCandidate returns the state of a stored runner: barred, rejected or withheld.
func newCandidate(cfg *Config, now time.Duration, s Stored) *candidate {
	c := &candidate{Stored: s, age: cfg.Age(now, s.Confirmed), probeAt: now}
	c.reason = c.age.String()
	switch {
	case s.Barred:
		c.standing, c.reason = Barred, "it was draining or left out"
	case c.age == Unusable:
		c.standing = Rejected
	default:
		c.successesNeeded = [...]int{Fresh: 0, Old: 1, VeryOld: 2}[c.age]
		if s.Failing {
			c.successesNeeded++
		}
	}
	return c
}

// sortProbeOrder sorts the runners by priority: first those that this dispatcher owns, then those
// of its zone, then those confirmed most recently by age class, then those that were not failing.
// Ties are broken at random, so that dispatchers do not all probe the same runners first.
func (t *StateTable) sortProbeOrder() {
	tieBreak := map[*candidate]uint64{}
	for _, c := range t.probeOrder {
		tieBreak[c] = t.rng.Uint64()
	}
	slices.SortFunc(t.probeOrder, func(x, y *candidate) int {
		return cmp.Or(trueFirst(x.owned, y.owned), trueFirst(x.Zone == t.cfg.Zone, y.Zone == t.cfg.Zone),
			cmp.Compare(x.age, y.age), trueFirst(!x.Failing, !y.Failing), cmp.Compare(tieBreak[x], tieBreak[y]))
	})
}

// trueFirst compares two conditions so that true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a && !b:
		return -1
	case b && !a:
		return 1
	}
	return 0
}

// Standing returns a runner's standing, the earliest time at which it may have started, and the
// reason for the standing. A runner that is not in the table is Rejected.
func (t *StateTable) Standing(uid string) (s Standing, warmingUpSince time.Duration, reason string) {
	c := t.candidates[uid]
	if c == nil {
		return Rejected, 0, "unknown"
	}
	return c.standing, c.warmingUpSince, c.reason
}

// Tick moves the waiting runners that have warmed up by now into use and returns their uids,
// sorted, and when to call it again: the maximum Duration if no runner is waiting.
func (t *StateTable) Tick(now time.Duration) (changed []string, next time.Duration) {
	next = noDeadline
	for uid, c := range t.candidates {
		if c.standing != Waiting {
			continue
		}
		if warmAt := c.warmingUpSince + t.cfg.WarmUp; now < warmAt {
			next = min(next, warmAt)
			continue
		}
		c.standing, c.reason = Used, "its warm-up time has passed"
		changed = append(changed, uid)
	}
	slices.Sort(changed)
	return changed, next
}

// NextProbes returns the uids of the runners to probe now, at most limit, and when to call it
// again: the maximum Duration if there is nothing to wait for. A probe is in flight until Observe
// is called for its runner.
func (t *StateTable) NextProbes(now time.Duration, limit int) (uids []string, next time.Duration) {
	interval := time.Duration(float64(time.Second) / max(t.cfg.ProbeRate, 0.001))
	next = noDeadline
	for _, c := range t.probeOrder {
		if t.candidates[c.UID] != c || !c.needsProbe() {
			continue
		}
		at := max(c.probeAt, t.nextProbe-probeBurst*interval)
		if at > now {
			next = min(next, at)
			continue
		}
		if len(uids) >= limit {
			break // the caller calls again when a probe ends
		}
		c.probing = true
		uids = append(uids, c.UID)
		t.nextProbe = max(t.nextProbe, now) + interval
	}
	return uids, next
}

// needsProbe reports whether the runner is to be probed: it has no probe in flight, is not
// rejected, and is not a healthy runner in use that has run a job.
func (c *candidate) needsProbe() bool {
	return !c.probing && c.standing != Rejected && (c.standing != Used || !c.proven || c.failures != 0)
}

// Observe records evidence of a runner and reports whether its standing has changed. Evidence does
// not change the standing of a barred or rejected runner.
func (t *StateTable) Observe(now time.Duration, uid string, e Evidence) (changed bool) {
	c := t.candidates[uid]
	if c == nil {
		return false
	}
	c.probing = false
	if c.standing == Barred || c.standing == Rejected {
		return false
	}
	previous := c.standing
	if e.Good() {
		c.failures = 0
		c.noteSuccess(now)
		t.recordSuccess(c, now, e)
	} else {
		c.noteFailure(now, e)
		t.recordFailure(c, now, e)
	}
	return c.standing != previous
}

// recordSuccess counts good evidence and brings the runner into use once there is enough of it.
func (t *StateTable) recordSuccess(c *candidate, now time.Duration, e Evidence) {
	c.probeAt = now + minSuccessInterval
	if e == Started {
		c.proven, c.successesNeeded = true, 0 // conclusive: only this runner reports under its uid
	} else if c.successesNeeded > 0 && (c.lastSuccess == 0 || now >= c.lastSuccess+minSuccessInterval) {
		c.successesNeeded--
		c.lastSuccess = now
	}
	if c.successesNeeded == 0 {
		if c.standing == Withheld {
			t.admit(c, now)
		}
		c.probeAt = now + maxProbeBackoff // low probe frequency until it has run a job
	}
}

// recordFailure counts bad evidence, schedules the next probe by backoff, and takes the runner
// out of use. A runner that has run a job stays in use at its first broken connection or
// unhealthy response.
func (t *StateTable) recordFailure(c *candidate, now time.Duration, e Evidence) {
	if e == Impostor {
		c.standing, c.reason = Rejected, "another process responds at its address"
		return
	}
	c.failures++
	bound := min(minProbeBackoff<<min(c.failures, 10), maxProbeBackoff)
	c.probeAt = now + time.Duration(t.rng.Float64()*float64(bound))
	if c.proven && c.failures < 2 && (e == Broken || e == Busy) {
		return // a single failure of this kind is weak evidence against a runner that has run a job
	}
	c.standing, c.reason, c.proven = Withheld, e.String(), false
	c.successesNeeded, c.lastSuccess = max(c.successesNeeded, 1), 0
}

// SetExcluded bars a runner that operators exclude, or withholds a reinstated one until there is
// enough good evidence. It reports whether the standing has changed. A rejected or unknown runner
// is not changed.
func (t *StateTable) SetExcluded(uid string, excluded bool) (changed bool) {
	c := t.candidates[uid]
	switch {
	case c == nil || c.standing == Rejected || excluded == (c.standing == Barred):
		return false
	case excluded:
		c.standing, c.reason = Barred, "excluded by operators"
	default:
		c.standing, c.reason, c.successesNeeded, c.probeAt = Withheld, "reinstated by operators", max(c.successesNeeded, 1), 0
		if !slices.Contains(t.probeOrder, c) {
			t.probeOrder = append(t.probeOrder, c)
		}
	}
	return true
}

// Remove removes a runner from the table, because discovery has sent a current entry for it or has
// removed it.
func (t *StateTable) Remove(uid string) { delete(t.candidates, uid) }

// RejectAddress rejects all runners at addr except owner, the runner to which discovery now assigns
// the address. It returns the uids of the rejected runners, sorted.
func (t *StateTable) RejectAddress(addr, owner string) (uids []string) {
	for uid, c := range t.candidates {
		if c.Addr == addr && uid != owner && c.standing != Rejected {
			c.standing, c.reason = Rejected, "its address belongs to "+owner+" now"
			uids = append(uids, uid)
		}
	}
	slices.Sort(uids)
	return uids
}

// Count returns how many runners the table holds, how many of them are in use, and how many are
// withheld or waiting. Barred and rejected runners count only in the total.
func (t *StateTable) Count() (all, used, withheld int) {
	for _, c := range t.candidates {
		switch c.standing {
		case Used:
			used++
		case Withheld, Waiting:
			withheld++
		}
	}
	return len(t.candidates), used, withheld
}

// CountWarmingUp returns how many of the runners in use may still be cold at now.
func (t *StateTable) CountWarmingUp(now time.Duration) (cold int) {
	for _, c := range t.candidates {
		if c.standing == Used && now < c.warmingUpSince+t.cfg.WarmUp {
			cold++
		}
	}
	return cold
}

// UIDs returns the uids of all runners in the table, sorted.
func (t *StateTable) UIDs() []string {
	uids := make([]string, 0, len(t.candidates))
	for uid := range t.candidates {
		uids = append(uids, uid)
	}
	slices.Sort(uids)
	return uids
}
