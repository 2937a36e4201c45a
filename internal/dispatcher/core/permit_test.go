package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestFence guards runners that were drained while the process stood still: an attempt that was decided
// on before does not begin after, whether it runs on before the core's loop has noticed or behind it;
// one that is decided on later may.
func TestFence(t *testing.T) {
	c := silentCore(t)
	c.Guard(func(time.Duration) {})
	bound := stillAfter(c.cfg.Rules.DrainGrace)
	later := func(by time.Duration) time.Time { return c.moment(c.now + by) }
	looks := func(by time.Duration) {
		c.now += by
		c.guard.look(c.now)
	}
	decided := func() *Permit {
		r := &request{job: &Job{}}
		return c.permit(r, &worker{member: decision.Member{State: decision.Ready}}, 0)
	}
	stopped := func(p *Permit, at time.Time) bool { return p.Facts(at, at.Add(time.Hour)).StoodStill }

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
	unwatched := silentCore(t)
	if at := unwatched.moment(unwatched.now + time.Hour); stopped(unwatched.permit(&request{job: &Job{}}, nil, 0), at) {
		t.Error("stopped where standstills are not watched")
	}
}
