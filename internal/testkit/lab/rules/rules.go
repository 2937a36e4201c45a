// Package rules checks what was seen from outside of a dispatcher against the rules that
// it must keep, whichever fronts and runners it serves: one final answer for each job, no
// effect twice outside what the class allows, nothing new to a runner that drains, and no
// more to a cold runner than it bears. It is told what happened by the stand-ins, which
// know the truth, and knows nothing of the dispatcher's inside.
package rules

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Effect is what a second run of a job would do.
type Effect uint8

// The effects of classes.
const (
	Safe   Effect = iota
	Keyed         // repeats of a key are dropped by the runners of one group, for a window
	Unsafe        // never twice
)

// Class is what the rules need of a class.
type Class struct {
	Effect Effect
	Window time.Duration // for Keyed
}

// Config holds the figures of the rules.
type Config struct {
	Classes  map[string]Class
	Slack    time.Duration // an answer may come this much after the deadline
	Grace    time.Duration // work may go to a runner that drains for so long after the dispatcher was told
	Multiple float64       // of what a cold runner can do that it may be sent
	Window   time.Duration // within this
}

// Answer is a final answer.
type Answer uint8

// The answers.
const (
	Served Answer = iota
	Refused
	Failed
	Lost // the connection ended without one
)

// Checker gathers what happened. Any goroutine may tell it.
type Checker struct {
	cfg Config

	mu      sync.Mutex
	jobs    map[string]*job
	runs    map[string][]run // by key, or by id where there is none
	drains  map[string]time.Time
	cold    map[string]cold
	sent    map[string][]sending
	broken  []string
	answers [Lost + 1]int
	sends   int
}

type job struct {
	class    string
	deadline time.Time
	answers  int
	ran      int
}

type run struct {
	group string
	at    time.Time
}

type cold struct {
	from     time.Time
	warm     time.Duration
	share    float64
	capacity float64 // seconds of work a second, when warm
}

type sending struct {
	at   time.Time
	work float64
}

// New makes a checker.
func New(cfg Config) *Checker {
	return &Checker{cfg: cfg, jobs: map[string]*job{}, runs: map[string][]run{}, drains: map[string]time.Time{}, cold: map[string]cold{},
		sent: map[string][]sending{}}
}

func (c *Checker) fault(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// Submitted tells that a client has sent a job.
func (c *Checker) Submitted(id, class string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &job{class: class, deadline: deadline}
}

// Answered tells that a client has a final answer.
func (c *Checker) Answered(id string, a Answer, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		c.fault("rule 1: job %s was never sent and has an answer", id)
		return
	}
	c.answers[a]++
	if j.answers++; j.answers > 1 {
		c.fault("rule 1: job %s has %d answers", id, j.answers)
	}
	if a == Lost {
		c.fault("rule 1: job %s is lost", id)
	}
	if late := at.Sub(j.deadline); late > c.cfg.Slack {
		c.fault("rule 1: job %s was answered %s after its deadline", id, late.Round(time.Millisecond))
	}
	if a == Refused && j.ran > 0 && c.cfg.Classes[j.class].Effect == Unsafe {
		c.fault("rule 2: job %s of class %s has run and was refused, as if trying again were harmless", id, j.class)
	}
}

// Sent tells that new work has come to a runner, before anything else is told of it.
func (c *Checker) Sent(runner string, work time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	if told, ok := c.drains[runner]; ok && at.Sub(told) > c.cfg.Grace {
		c.fault("rule 3: runner %s was sent work %s after it drained", runner, at.Sub(told).Round(time.Millisecond))
	}
	k, ok := c.cold[runner]
	if !ok || at.Sub(k.from) >= k.warm {
		return
	}
	all := append(c.sent[runner], sending{at, work.Seconds()})
	for len(all) > 0 && !all[0].at.After(at.Add(-c.cfg.Window)) {
		all = all[1:]
	}
	c.sent[runner] = all
	sum := 0.0
	for _, s := range all {
		sum += s.work
	}
	share := k.share + (1-k.share)*float64(at.Sub(k.from))/float64(k.warm)
	if bears := c.cfg.Multiple * share * k.capacity * c.cfg.Window.Seconds(); sum > bears {
		c.fault("rule 4: cold runner %s was sent %.2f s of work within %s, it bears %.2f s", runner, sum, c.cfg.Window, bears)
	}
}

// Ran tells that a job has begun to have its effect. Key is empty where it has none; the
// runners of one group drop what they have seen of a key.
func (c *Checker) Ran(id, key, group string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		c.fault("rule 2: job %s was never sent and has run", id)
		return
	}
	j.ran++
	class := c.cfg.Classes[j.class]
	name := key
	if name == "" {
		name = "\x00" + id
	}
	for _, before := range c.runs[name] {
		switch {
		case class.Effect == Unsafe:
			c.fault("rule 2: job %s of class %s has run twice", id, j.class)
		case class.Effect == Keyed && before.group != group:
			c.fault("rule 2: key %s has run in groups %s and %s", key, before.group, group)
		case class.Effect == Keyed && at.Sub(before.at) > class.Window:
			c.fault("rule 2: key %s has run again after %s", key, at.Sub(before.at).Round(time.Second))
		}
	}
	c.runs[name] = append(c.runs[name], run{group, at})
}

// Drains tells that the dispatcher has been told that a runner drains; Back that it does
// no more.
func (c *Checker) Drains(runner string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains[runner] = at
}

// Back tells that a runner takes work again.
func (c *Checker) Back(runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drains, runner)
}

// Cold tells that a runner has started: it can do a share of its capacity, in seconds of
// work a second, and all of it when it is warm.
func (c *Checker) Cold(runner string, from time.Time, warm time.Duration, share, capacity float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold[runner] = cold{from, warm, share, capacity}
}

// Report is what came of it.
type Report struct {
	Jobs, Sends             int
	Served, Refused, Failed int
	Broken                  []string
}

// Report closes the books at a time: jobs whose deadline has passed by then and that have
// no answer are lost.
func (c *Checker) Report(at time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.answers == 0 && at.After(j.deadline.Add(c.cfg.Slack)) {
			c.fault("rule 1: job %s has no answer", id)
		}
	}
	return Report{Jobs: len(c.jobs), Sends: c.sends, Served: c.answers[Served], Refused: c.answers[Refused], Failed: c.answers[Failed],
		Broken: slices.Clone(c.broken)}
}
