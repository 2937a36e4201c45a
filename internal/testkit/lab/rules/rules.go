// Package rules checks the externally visible behaviour of a dispatcher against its rules, for all
// client protocols and kinds of runner:
//
//  1. Each job gets exactly one final answer.
//  2. A job's effect is repeated only as far as its class allows.
//  3. A draining runner gets no new work.
//  4. A runner that warms up gets no more work than its current capacity allows.
//
// The simulated clients and runners of a test report what really happened to a Checker, which uses
// no internal state of the dispatcher.
package rules

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Effect says whether a job may run more than once.
type Effect uint8

// The effects that a class may have.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // the runners of one group drop repeats of a key within a time window
	Unsafe               // must not run twice
)

// Class holds the properties of a job class that the rules depend on.
type Class struct {
	Effect Effect
	Window time.Duration // for Keyed: how long runners remember a key
}

// Config holds the limits that a Checker enforces.
type Config struct {
	Classes  map[string]Class // by name
	Slack    time.Duration    // tolerance of an answer after the job's deadline
	Grace    time.Duration    // time from a drain's notification in which work is allowed
	Multiple float64          // work allowed for a warming-up runner, in times its capacity
	Window   time.Duration    // sliding window in which that work is summed
}

// Answer is the kind of a job's final answer.
type Answer uint8

// The kinds of final answer.
const (
	Served Answer = iota
	Refused
	Failed
	Lost // the connection ended without an answer
)

// Checker records events and the violations that they reveal. It is safe for concurrent use.
type Checker struct {
	cfg Config

	mu         sync.Mutex
	jobs       map[string]*job
	runs       map[string][]run      // by idempotency key, or by NUL and job ID if there is none
	drains     map[string]time.Time  // by runner: when the dispatcher was notified
	cold       map[string]warmUp     // by runner
	sent       map[string][]sentWork // by runner that warms up: work within the last Config.Window
	violations []string
	answers    [Lost + 1]int
	sends      int
}

type job struct {
	class    string
	deadline time.Time
	answers  int
	runs     int
}

type run struct {
	group string
	at    time.Time
}

// warmUp is the period in which a runner's capacity grows linearly from a share to all of it.
type warmUp struct {
	startedAt time.Time
	duration  time.Duration
	share     float64 // of the capacity, at the start
	capacity  float64 // when warm, in seconds of work per second
}

type sentWork struct {
	at   time.Time
	work float64 // seconds
}

// New returns a Checker without any events.
func New(cfg Config) *Checker {
	return &Checker{cfg: cfg, jobs: map[string]*job{}, runs: map[string][]run{}, drains: map[string]time.Time{}, cold: map[string]warmUp{},
		sent: map[string][]sentWork{}}
}

// violate records a violation of a rule. The caller holds mu.
func (c *Checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Submitted records that a client has sent a job.
func (c *Checker) Submitted(id, class string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &job{class: class, deadline: deadline}
}

// Answered records that a client has received a final answer, or has lost its connection.
func (c *Checker) Answered(id string, a Answer, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		c.violate("rule 1: job %s was never sent and has an answer", id)
		return
	}
	c.answers[a]++
	if j.answers++; j.answers > 1 {
		c.violate("rule 1: job %s has %d answers", id, j.answers)
	}
	if a == Lost {
		c.violate("rule 1: job %s is lost", id)
	}
	if late := at.Sub(j.deadline); late > c.cfg.Slack {
		c.violate("rule 1: job %s was answered %s after its deadline", id, late.Round(time.Millisecond))
	}
	if a == Refused && j.runs > 0 && c.cfg.Classes[j.class].Effect == Unsafe {
		c.violate("rule 2: job %s of class %s has run and was refused, which tells the client that a retry is safe", id, j.class)
	}
}

// Sent records that new work has arrived at a runner. work is the run time that it needs. Call it
// before the other events of this work.
func (c *Checker) Sent(runner string, work time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	if notifiedAt, ok := c.drains[runner]; ok && at.Sub(notifiedAt) > c.cfg.Grace {
		c.violate("rule 3: runner %s was sent work %s after it drained", runner, at.Sub(notifiedAt).Round(time.Millisecond))
	}
	w, ok := c.cold[runner]
	if !ok || at.Sub(w.startedAt) >= w.duration {
		return
	}
	all := append(c.sent[runner], sentWork{at, work.Seconds()})
	for len(all) > 0 && !all[0].at.After(at.Add(-c.cfg.Window)) {
		all = all[1:]
	}
	c.sent[runner] = all
	sum := 0.0
	for _, s := range all {
		sum += s.work
	}
	share := w.share + (1-w.share)*float64(at.Sub(w.startedAt))/float64(w.duration)
	if limit := c.cfg.Multiple * share * w.capacity * c.cfg.Window.Seconds(); sum > limit {
		c.violate("rule 4: cold runner %s was sent %.2f s of work within %s, its limit is %.2f s", runner, sum, c.cfg.Window, limit)
	}
}

// Ran records that a job has started to take effect. key is its idempotency key, empty if it has
// none; the runners of one group drop repeats of a key.
func (c *Checker) Ran(id, key, group string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		c.violate("rule 2: job %s was never sent and has run", id)
		return
	}
	j.runs++
	class := c.cfg.Classes[j.class]
	name := key
	if name == "" {
		name = "\x00" + id
	}
	for _, before := range c.runs[name] {
		switch {
		case class.Effect == Unsafe:
			c.violate("rule 2: job %s of class %s has run twice", id, j.class)
		case class.Effect == Keyed && before.group != group:
			c.violate("rule 2: key %s has run in groups %s and %s", key, before.group, group)
		case class.Effect == Keyed && at.Sub(before.at) > class.Window:
			c.violate("rule 2: key %s has run again after %s", key, at.Sub(before.at).Round(time.Second))
		}
	}
	c.runs[name] = append(c.runs[name], run{group, at})
}

// Drains records when the dispatcher was notified that a runner drains. Back ends the drain.
func (c *Checker) Drains(runner string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains[runner] = at
}

// Back records that a runner accepts work again.
func (c *Checker) Back(runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drains, runner)
}

// Cold records that a runner has started to warm up: for the duration warm, its capacity grows
// linearly from share to all of capacity, in seconds of work per second.
func (c *Checker) Cold(runner string, from time.Time, warm time.Duration, share, capacity float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold[runner] = warmUp{from, warm, share, capacity}
}

// Report holds the totals of a run and the violations found.
type Report struct {
	Jobs, Sends             int
	Served, Refused, Failed int
	Broken                  []string // violations, one line each
}

// Report returns the totals so far. Jobs without an answer whose deadline and slack have passed at
// the given time count as violations of rule 1; each call adds these again.
func (c *Checker) Report(at time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.answers == 0 && at.After(j.deadline.Add(c.cfg.Slack)) {
			c.violate("rule 1: job %s has no answer", id)
		}
	}
	return Report{Jobs: len(c.jobs), Sends: c.sends, Served: c.answers[Served], Refused: c.answers[Refused], Failed: c.answers[Failed],
		Broken: slices.Clone(c.violations)}
}
