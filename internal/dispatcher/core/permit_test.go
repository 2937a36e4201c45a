package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestStallStopsEarlierAttempts guards workers that were drained while the process was stalled: an
// attempt decided on before the stall must not start after it, whether it reaches its write before
// or after the core's loop has detected the stall. An attempt decided on later may start.
func TestStallStopsEarlierAttempts(t *testing.T) {
	c := newTestCore(t)
	c.Guard(func(time.Duration) {})
	bound := stallBound(c.cfg.Rules.DrainGrace)
	timeAfter := func(d time.Duration) time.Time { return c.wallTime(c.now + d) }
	runTurnAfter := func(d time.Duration) {
		c.now += d
		c.guard.observe(c.now)
	}
	permitDecidedNow := func() *Permit {
		r := &request{job: &Job{}}
		return c.newPermit(r, &worker{member: decision.Member{State: decision.Ready}}, 0)
	}
	stopped := func(p *Permit, at time.Time) bool { return p.Facts(at, at.Add(time.Hour)).ProcessStalled }

	runTurnAfter(0)
	p := permitDecidedNow()
	if stopped(p, timeAfter(bound-1)) {
		t.Error("an attempt was stopped without a stall")
	}
	if !stopped(p, timeAfter(bound)) {
		t.Error("an earlier attempt may start after a stall that the loop has not detected yet")
	}
	runTurnAfter(bound)
	if !stopped(p, timeAfter(0)) {
		t.Error("an earlier attempt may start after a stall that the loop has detected")
	}
	if stopped(permitDecidedNow(), timeAfter(0)) {
		t.Error("an attempt decided on after the stall was stopped")
	}
	unguarded := newTestCore(t)
	if at := unguarded.wallTime(unguarded.now + time.Hour); stopped(unguarded.newPermit(&request{job: &Job{}}, nil, 0), at) {
		t.Error("a core without Guard stopped an attempt because of a stall")
	}
}
