package core

import (
	"slices"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// Fate is where another dispatcher has sent a job with the same key.
type Fate struct {
	Zone string // of the group that drops its repeats; empty for all runners
	Cell int
	Age  time.Duration // since then
}

// Fates remembers, together with other dispatchers, where jobs with keys were sent. None of
// its methods blocks.
type Fates interface {
	// Ask tells where a job was sent, by this process too, and may have run. Told is called once,
	// from any goroutine, soon: where others don't answer in time by what is known here.
	Ask(job *Job, told func([]Fate))
	// Sending makes known that a job is about to go to a runner of a group, whose window ends so
	// long from now. Send is called once, from any goroutine, when another dispatcher knows it,
	// or soon where none answers.
	Sending(job *Job, group Fate, left time.Duration, send func())
	// Free makes known that what was said to go there surely never ran.
	Free(job *Job, group Fate)
	// Done makes known that it was done there.
	Done(job *Job, group Fate, left time.Duration, result []byte)
}

// Places remembers for one job where it was sent, in what all members agree on. None of its methods
// blocks.
type Places interface {
	// Before tells where it may have run.
	Before() []Fate
	// Going has agreed on that the job goes to a group, whose window ends so long from now. Send is
	// called once, from any goroutine: with true once it is, else it is not sent.
	Going(group Fate, left time.Duration, send func(agreed bool))
	// Never takes back what was agreed on: it surely never ran there.
	Never(group Fate)
}

// Remember names who remembers the fates of jobs; nil for nobody. It is called before Run.
func (c *Core) Remember(f Fates) { c.fates = f }

// remembers tells whether others have to know of a job.
func (c *Core) remembers(job *Job) bool {
	return c.fates != nil && job.Key != "" && c.cfg.Classes[job.Class].Effect != decision.Safe
}

// ask has the fate of a job found out before it is taken in. Guards against a client that
// leaves meanwhile: its job is not taken in any more.
func (c *Core) ask(job *Job, ingress Ingress) {
	c.asking[job] = true
	c.fates.Ask(job, func(f []Fate) {
		c.box.Put(func(c *Core) {
			if !c.asking[job] {
				return
			}
			delete(c.asking, job)
			if job.Places != nil {
				f = merged(f, job.Places.Before())
			}
			if len(f) == 0 || c.byID[job.ID] != nil {
				c.arrived(job, ingress)
				return
			}
			c.again(job, ingress, f)
		})
	})
}

// merged adds fates to others; of two of a group the older counts, as its window ends first.
func merged(f, more []Fate) []Fate {
	for _, m := range more {
		i := slices.IndexFunc(f, func(o Fate) bool { return o.Zone == m.Zone && o.Cell == m.Cell })
		if i < 0 {
			f = append(f, m)
		} else {
			f[i].Age = max(f[i].Age, m.Age)
		}
	}
	return f
}

// again takes in a job that was sent before, here or by another dispatcher: for the module it is one whose
// attempts may have run. What must not run twice fails, and what only runners of a group
// drop that is not listed here is refused, to be tried again.
func (c *Core) again(job *Job, ingress Ingress, fates []Fate) {
	r := c.take(job, ingress)
	ev := c.arrival(r)
	if c.cfg.Classes[job.Class].Effect == decision.Unsafe {
		c.answer(r.ref, Answer{Verdict: Failed}, whySent)
		c.forget(r)
		return
	}
	for _, f := range fates {
		w := c.like(job, f)
		if w == nil {
			c.answer(r.ref, Answer{Verdict: Shed, RetryAfter: c.cfg.Limits.MaxRetryAfter}, whyGroup)
			c.forget(r)
			return
		}
		ev.Past = append(ev.Past, decision.Past{Worker: w.number, SentAt: c.now - f.Age, Ended: true, Outcome: decision.TimedOut})
		r.hops = append(r.hops, hop{number: w.number, to: w, deadline: r.deadline, taken: true, ended: true})
		if r.story != nil { // a story has a place for each hop
			r.story.Next(trace.Hop{Target: w.uid, Began: c.now - f.Age, Ended: c.now, Outcome: outcomes[decision.TimedOut]})
		}
	}
	c.event(ev)
}

// Why a job that was sent before is not sent again.
const (
	whySent  = "it was sent before, and it must not run twice"
	whyGroup = "it was sent before to runners that are not listed here"
)

// like returns a runner that stands for a group: one that gets no work if there is one, as the
// module sends no job again to where it was, and the first listed of those.
func (c *Core) like(job *Job, f Fate) (found *worker) {
	better := func(a, b *worker) bool {
		if x, y := a.member.State == decision.Ready, b.member.State == decision.Ready; x != y {
			return y
		}
		return a.number < b.number
	}
	for _, w := range c.workers {
		if c.group(job, w) == (Fate{Zone: f.Zone, Cell: f.Cell}) && (found == nil || better(w, found)) {
			found = w
		}
	}
	return found
}

// group returns the group of a runner that drops the repeats of a job.
func (c *Core) group(job *Job, w *worker) Fate {
	switch c.cfg.Classes[job.Class].Group {
	case decision.ScopeZone:
		return Fate{Zone: w.zone}
	case decision.ScopeCell:
		return Fate{Zone: w.zone, Cell: w.member.Cell}
	}
	return Fate{}
}

// window returns how long the window of a job is whose first attempt is sent now. What must not
// run twice is remembered for as long as its client may come again.
func (c *Core) window(job *Job) time.Duration {
	class := c.cfg.Classes[job.Class]
	if class.Effect == decision.Unsafe {
		return class.GiveUp + c.cfg.Limits.MaxRetryAfter
	}
	return class.Window
}

// sending sends a hop once others know of it.
func (c *Core) sending(r *request, attempt int, w *worker) {
	r.hops[attempt].told = true
	group, left := c.group(r.job, w), c.window(r.job)
	tell := func() {
		c.fates.Sending(r.job, group, left, func() {
			c.box.Put(func(c *Core) {
				if c.requests[r.ref] == r && !r.hops[attempt].ended {
					if c.fenced() { // it stood still since
						c.end(r, attempt, decision.NotSent, nil)
						return
					}
					w.target.Send(c.hop(r, attempt))
				}
			})
		})
	}
	if r.job.Places == nil {
		tell()
		return
	}
	r.job.Places.Going(group, left, func(agreed bool) {
		if agreed {
			tell()
			return
		}
		c.box.Put(func(c *Core) {
			if c.requests[r.ref] == r {
				c.end(r, attempt, decision.NotSent, nil)
			}
		})
	})
}

// freed has others forget a hop that surely never ran, unless another of the request may have
// run in its group. Guards a client that was refused, as trying again is harmless, from being
// bound for a whole window to runners that nobody reaches.
func (c *Core) freed(r *request, attempt int) {
	h := &r.hops[attempt]
	if !h.told || !h.never {
		return
	}
	group := c.group(r.job, h.to)
	for i := range r.hops {
		if o := &r.hops[i]; o.told && !o.never && c.group(r.job, o.to) == group {
			return
		}
	}
	c.fates.Free(r.job, group)
	if r.job.Places != nil {
		r.job.Places.Never(group)
	}
}

// done makes known that a job was done by a hop.
func (c *Core) done(r *request, h *hop, result []byte) {
	if c.remembers(r.job) && h.to != nil {
		c.fates.Done(r.job, c.group(r.job, h.to), c.window(r.job), result)
	}
}
