package core

import (
	"math/rand/v2"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
	"frosttide/internal/dispatcher/fleet/recovery/stall"
	"frosttide/internal/dispatcher/trace"
)

// Why a job is not let in, or not sent, while the dispatcher comes back.
const whyDoor = "coming_back"

// stillAfter is how long a process has to have stood still for what it knows to be doubted: as
// long as work may be sent after a drain was told. The core's loop looks every freshEvery by
// itself.
func stillAfter(grace time.Duration) time.Duration { return max(grace, 2*freshEvery) }

// guard is what watches over a dispatcher that comes back together with others. One on its own
// has none.
type guard struct {
	door  admission.Door
	watch stall.Watch
	stood int                       // standstills so far
	fence fence                     // tells attempts of them
	keyed bool                      // jobs that must not run twice are let in too
	woke  func(still time.Duration) // must not block
}

// Guard has the core let jobs in by a door, closed at first, and notice when the process stood
// still: from then on the door is closed, and nothing is sent, until Open says otherwise. It
// is called before Run.
func (c *Core) Guard(woke func(still time.Duration)) {
	bound := stillAfter(c.cfg.Rules.DrainGrace)
	c.guard = &guard{watch: stall.Watch{Bound: bound}, woke: woke, fence: fence{clock: c.clock, bound: bound}}
	c.guard.fence.look(c.clock(time.Now()), false)
	c.guard.door.Set(admission.Closed, 0, 0)
}

// Open sets how far the door stands open. First is how many jobs may be under way to begin with,
// where it is ajar; keyed lets in jobs that must not run twice too. Stood is how many standstills the caller knows of: what was decided before
// the last one does not count.
func (c *Core) Open(level admission.Level, keyed bool, first, stood int) {
	c.box.Put(func(c *Core) {
		if c.guard != nil && stood == c.guard.stood {
			c.guard.keyed = keyed
			c.guard.door.Set(level, first, c.now)
		}
	})
}

// Way is what the core knows of a dispatcher's coming back.
type Way struct {
	Listed int  // runners
	Bears  bool // the door has been wide enough for all that came
}

// Way tells it, soon, from another goroutine.
func (c *Core) Way(to func(Way)) {
	c.box.Put(func(c *Core) {
		w := Way{Listed: len(c.workers)}
		if c.guard != nil {
			w.Bears = c.guard.door.Bears(c.now)
		}
		to(w)
	})
}

// Share has runners that are cold be shared with so many dispatchers, this one among them, in
// place of the settings' number.
func (c *Core) Share(count int) {
	c.box.Put(func(c *Core) {
		if c.sharers != count {
			c.sharers = count
			c.step() // what came in before counts by the old number
			c.configure()
		}
	})
}

// look notices a standstill before anything else is done. Guards runners that were drained or
// replaced meanwhile: what is written in the process's sockets is read in any order.
func (g *guard) look(now time.Duration) {
	if g == nil {
		return
	}
	still, _ := g.watch.Look(now, now)
	if still > 0 {
		g.stood++
		g.door.Set(admission.Closed, 0, now)
		g.woke(still)
	}
	g.fence.look(now, still > 0)
}

// lets tells whether a job may come in, and refuses it where it may not.
func (c *Core) lets(job *Job, ingress Ingress) bool {
	if c.guard == nil {
		return true
	}
	in, counted := false, false
	if c.guard.keyed || c.cfg.Classes[job.Class].Effect == decision.Safe {
		in, counted = c.guard.door.Admit(c.now)
	}
	if job.Owed { // nobody would come again for it
		in = in || c.guard.door.Level() == admission.Ajar
	}
	if in {
		job.counted = counted
		return true
	}
	c.tally.answers[Shed]++
	after := c.guard.door.After(rand.Float64(), c.cfg.Limits.MaxRetryAfter, c.now)
	if !c.cfg.Limits.RetryAfter {
		after = 0
	}
	if job.Story != nil {
		job.Story.End(c.now, trace.Refused, trace.ByCore, whyDoor)
		job.Story.Refusal = true
		c.ended(job.Story)
	}
	ingress.Answer(Answer{Verdict: Shed, RetryAfter: after})
	return false
}

// fenced tells whether nothing may be sent: the process stood still, and has not heard anew
// what there is.
func (c *Core) fenced() bool { return c.guard != nil && c.guard.door.Level() == admission.Closed }

// letOut takes in that a job has its answer.
func (c *Core) letOut(job *Job, served bool) {
	if job.counted {
		job.counted = false
		c.guard.door.Ended(served, c.now)
	}
}
