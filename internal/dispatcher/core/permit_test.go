package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestStallStopsEarlierAttempts guards runners that were drained while the process stood still: an attempt that was decided
// on before does not begin after, whether it runs on before the core's loop has noticed or behind it;
// one that is decided on later may.
func TestStallStopsEarlierAttempts(t *testing.T) {
	c := newTestCore(t)
	c.Guard(func(time.Duration) {})
	bound := stallBound(c.cfg.Rules.DrainGrace)
	later := func(by time.Duration) time.Time { return c.wallTime(c.now + by) }
	looks := func(by time.Duration) {
		c.now += by
		c.guard.observe(c.now)
	}
	decided := func() *Permit {
		r := &request{job: &Job{}}
		return c.newPermit(r, &worker{member: decision.Member{State: decision.Ready}}, 0)
	}
	stopped := func(p *Permit, at time.Time) bool { return p.Facts(at, at.Add(time.Hour)).ProcessStalled }

	looks(0)
	p := decided()
	if stopped(p, later(bound-1)) {
		t.Error("stopped though the process ran on")
	}
	if !stopped(p, later(bound)) {
		t.Error("begins behind a standstill that the core has not noticed yet")
	}
	looks(bound)
	if !stopped(p, later(0)) {
		t.Error("begins behind a standstill that the core has noticed")
	}
	if stopped(decided(), later(0)) {
		t.Error("what is decided on after a standstill is stopped")
	}
	unwatched := newTestCore(t)
	if at := unwatched.wallTime(unwatched.now + time.Hour); stopped(unwatched.newPermit(&request{job: &Job{}}, nil, 0), at) {
		t.Error("stopped where standstills are not watched")
	}
}
