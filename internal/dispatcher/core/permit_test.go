package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestStallStopsEarlierAttempts guards workers that were drained while the process had
// stalled: an attempt that was decided on before the stall does not start after it,
// whether it goes on before the core's loop has noticed or after. One that is decided on
// later may start.
func TestStallStopsEarlierAttempts(t *testing.T) {
	c := newTestCore(t)
	c.Guard(func(time.Duration) {})
	bound := stallBound(c.cfg.Rules.DrainGrace)
	after := func(d time.Duration) time.Time { return c.wallTime(c.now + d) }
	turnAfter := func(d time.Duration) {
		c.now += d
		c.guard.observe(c.now)
	}
	decide := func() *Permit {
		r := &request{job: &Job{}}
		return c.newPermit(r, &worker{member: decision.Member{State: decision.Ready}}, 0)
	}
	stopped := func(p *Permit, at time.Time) bool { return p.Facts(at, at.Add(time.Hour)).ProcessStalled }

	turnAfter(0)
	p := decide()
	if stopped(p, after(bound-1)) {
		t.Error("stopped though the process did not stall")
	}
	if !stopped(p, after(bound)) {
		t.Error("starts after a stall that the core has not noticed yet")
	}
	turnAfter(bound)
	if !stopped(p, after(0)) {
		t.Error("starts after a stall that the core has noticed")
	}
	if stopped(decide(), after(0)) {
		t.Error("an attempt that is decided on after a stall is stopped")
	}
	unguarded := newTestCore(t)
	if at := unguarded.wallTime(unguarded.now + time.Hour); stopped(unguarded.newPermit(&request{job: &Job{}}, nil, 0), at) {
		t.Error("stopped by a core that does not detect stalls")
	}
}
