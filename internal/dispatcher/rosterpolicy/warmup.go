package rosterpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owned reports whether this dispatcher is one of a runner's owners, which may use it while it is
// cold. All dispatchers compute the same owners by rendezvous hashing [Thaler & Ravishankar 1998],
// so that together they keep to the warm-up budget of a runner without communicating.
func (t *StateTable) Owned(uid string) bool {
	own, higher := rendezvousWeight(uid, t.cfg.Number), 0
	for i := range max(t.cfg.Dispatchers, 1) {
		if w := rendezvousWeight(uid, i); i != t.cfg.Number && (w > own || w == own && i < t.cfg.Number) {
			higher++
		}
	}
	return higher < t.owners
}

// rendezvousWeight returns the weight of a dispatcher for a runner: the dispatchers with the
// highest weights own it.
func rendezvousWeight(uid string, number int) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(number) + 1)
	_, _ = d.WriteString(uid) // never fails, as it writes to memory
	return d.Sum64()
}

// WarmUpBudgetDivisor returns the number by which each owner divides the warm-up budget of a cold
// runner: twice the number of owners. The decision module enforces the budget by a leaky bucket
// that holds as much as drains in one window, which admits up to twice the budget within a
// window. A runner that gets all its work from the budget would otherwise get twice what it can
// handle.
func (t *StateTable) WarmUpBudgetDivisor() int { return 2 * t.owners }

// presumedNotRestarted reports whether a runner is presumed not to have restarted while the
// dispatcher was down: the dispatcher's shutdown was planned, and both its downtime and the time
// since the runner was last confirmed are within plannedRestartWindow.
func (t *StateTable) presumedNotRestarted(c *candidate) bool {
	planned := t.cfg.PlannedDowntime > 0 && t.cfg.PlannedDowntime <= plannedRestartWindow
	return planned && t.startedAt-c.Confirmed <= plannedRestartWindow
}

// noteFailure records what bad evidence says about a restart of the runner. A runner that
// restarts refuses or breaks connections. A timeout may also be due to a slow machine or link; it
// indicates a restart only if it lasts, which noteSuccess checks.
func (c *candidate) noteFailure(now time.Duration, e Evidence) {
	if c.unhealthySince == 0 {
		c.unhealthySince = now
	}
	if e == Refused || e == Broken {
		c.notRestarted = false
	}
}

// noteSuccess ends a period without success. If the period exceeded plannedRestartWindow, the
// runner may have restarted meanwhile.
func (c *candidate) noteSuccess(now time.Duration) {
	if c.unhealthySince != 0 && now-c.unhealthySince > plannedRestartWindow {
		c.notRestarted = false
	}
	c.unhealthySince = 0
}

// admit brings a runner into use: at once if this dispatcher owns it or it is warm, otherwise
// when it has warmed up. If all dispatchers used a cold runner, it would get more work than it
// can handle.
func (t *StateTable) admit(c *candidate, now time.Duration) {
	c.warmingUpSince = now // it may have started just now
	if c.notRestarted {
		c.warmingUpSince = c.WarmingUpSince
	}
	switch {
	case c.warmingUpSince+t.cfg.WarmUp <= now:
		c.standing, c.reason = Used, c.age.String()+", as warm as it was before a planned restart"
	case c.owned:
		c.standing, c.reason = Used, c.age.String()+", possibly cold"
	default:
		c.standing, c.reason = Waiting, "used by other dispatchers until it has warmed up"
	}
}
