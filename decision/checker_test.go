package decision

import (
	"fmt"
	"time"
)

// deadlineSlack is how long after the deadline a final answer still counts as on time.
const deadlineSlack = 16 * time.Millisecond

// sentAttempt is an attempt as derived from the events and actions.
type sentAttempt struct {
	worker  Member
	at      time.Duration
	ended   bool
	outcome Outcome
}

func (a *sentAttempt) mayHaveRun() bool { return !a.ended || !a.outcome.NeverRan() }

// observedRequest is a request as derived from the events and actions.
type observedRequest struct {
	class    int
	deadline time.Duration
	attempts []sentAttempt
	closed   bool
	closedAt time.Duration // when an event closed it; 0 if the dispatcher did
}

// markClosed records that an event closes the request.
func (r *observedRequest) markClosed(now time.Duration) {
	if !r.closed {
		r.closed, r.closedAt = true, now
	}
}

// checker verifies the four rules of docs/design.md from the events passed to a dispatcher and the actions
// that it returned, without access to the dispatcher's state. Violations name the number of the rule.
type checker struct {
	cfg              Config
	requests         map[RequestID]*observedRequest
	listed           map[WorkerID]Member
	unavailableSince map[WorkerID]time.Duration // when a drain or removal was listed
	timers           map[uint32]time.Duration
	violations       []string
	sends            int
	responses        int
}

func newChecker(cfg Config) *checker {
	return &checker{cfg: cfg, requests: map[RequestID]*observedRequest{}, listed: map[WorkerID]Member{},
		unavailableSince: map[WorkerID]time.Duration{}, timers: map[uint32]time.Duration{}}
}

// violate records a violation.
func (c *checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// observeEvents records the events of one moment.
func (c *checker) observeEvents(now time.Duration, events []Event) {
	for _, ev := range events {
		r := c.requests[ev.Request]
		switch ev.Type {
		case RequestArrived:
			if r == nil {
				c.requests[ev.Request] = &observedRequest{class: ev.Class, deadline: ev.Deadline}
			}
		case RequestCanceled:
			if r != nil {
				r.markClosed(now)
			}
		case AttemptEnded:
			if r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) && !r.attempts[ev.Attempt].ended &&
				r.attempts[ev.Attempt].worker.Worker == ev.Worker {
				r.attempts[ev.Attempt].ended, r.attempts[ev.Attempt].outcome = true, ev.Outcome
				if ev.RequestClosed {
					r.markClosed(now)
				}
			}
		case MembersReplaced, MembersChanged:
			c.observeMembers(now, ev)
		}
	}
}

// observeMembers records a list of workers or changes of it.
func (c *checker) observeMembers(now time.Duration, ev Event) {
	named := map[WorkerID]bool{}
	for _, m := range ev.Members {
		named[m.Worker] = true
		_, unavailable := c.unavailableSince[m.Worker]
		if m.State == Ready {
			delete(c.unavailableSince, m.Worker)
		} else if !unavailable {
			c.unavailableSince[m.Worker] = now
		}
		c.listed[m.Worker] = m
	}
	if ev.Type == MembersReplaced {
		for id := range c.listed {
			if _, unavailable := c.unavailableSince[id]; !unavailable && !named[id] {
				c.unavailableSince[id] = now
			}
		}
	}
}

// observeActions checks and records the actions that the events of one moment led to.
func (c *checker) observeActions(now time.Duration, actions []Action) {
	for _, a := range actions {
		r := c.requests[a.Request]
		switch a.Type {
		case SetTimer:
			c.timers[a.Token] = a.At
		case Send:
			c.sends++
			if r == nil {
				c.violate("send for request %d, which never arrived", a.Request)
				continue
			}
			c.checkSend(now, r, a)
			r.attempts = append(r.attempts, sentAttempt{worker: c.listed[a.Worker], at: now})
		case Reject, Fail:
			c.responses++
			if r == nil || (r.closed && r.closedAt != now) {
				c.violate("rule 1: a second answer for request %d", a.Request)
				continue
			}
			r.closed, r.closedAt = true, 0
			if now > r.deadline+deadlineSlack {
				c.violate("rule 1: request %d answered %v late", a.Request, now-r.deadline)
			}
			if a.Type == Reject {
				c.checkReject(r, a)
			}
		}
	}
}

// checkSend checks a Send against rules 1 to 4.
func (c *checker) checkSend(now time.Duration, r *observedRequest, a Action) {
	w, known := c.listed[a.Worker]
	if !known {
		c.violate("send to worker %d, which was never listed", a.Worker)
	}
	if r.closed && r.closedAt != now { // an event of this moment may close it after the send
		c.violate("rule 1: send for request %d, which is closed", a.Request)
	}
	class := c.cfg.Classes[r.class]
	for i := range r.attempts {
		prior := &r.attempts[i]
		if !prior.ended && !c.cfg.Limits.HedgingAllowed {
			c.violate("request %d has two open attempts, though hedging is not allowed", a.Request)
		}
		if !prior.mayHaveRun() || class.Effect == Safe {
			continue
		}
		sameScope := class.DedupScope == ScopeAll || (prior.worker.Zone == w.Zone &&
			(class.DedupScope == ScopeZone || prior.worker.Cell == w.Cell))
		if class.Effect == Unsafe || !sameScope || now > prior.at+class.DedupWindow {
			c.violate("rule 2: request %d sent again to worker %d though it may have run", a.Request, a.Worker)
		}
	}
	if since, ok := c.unavailableSince[a.Worker]; ok && now > since+c.cfg.Rules.DrainGrace {
		c.violate("rule 3: send to worker %d, unavailable for %v", a.Worker, now-since)
	}
	if w.StartedAt > 0 {
		age := float64(now-w.StartedAt) / float64(c.cfg.Rules.WarmUp)
		capacity := c.cfg.Rules.InitialCapacity + (1-c.cfg.Rules.InitialCapacity)*min(age, 1)
		if capacity*c.cfg.Rules.OverloadMultiple < 1 {
			c.violate("rule 4: send to worker %d at %.2f of its capacity", a.Worker, capacity)
		}
	}
}

// checkReject checks against rule 2 that a retry by the client after a Reject does no harm.
func (c *checker) checkReject(r *observedRequest, a Action) {
	class := c.cfg.Classes[r.class]
	for i := range r.attempts {
		retrySafe := class.Effect == Safe || (class.Effect == Keyed && class.DedupScope == ScopeAll)
		if r.attempts[i].mayHaveRun() && !retrySafe {
			c.violate("rule 2: request %d rejected though it may have run", a.Request)
		}
	}
}

// checkUnanswered records a violation for each request past its deadline that was never answered.
func (c *checker) checkUnanswered(now time.Duration) {
	for id, r := range c.requests {
		if !r.closed && now > r.deadline+deadlineSlack {
			c.violate("rule 1: request %d was never answered", id)
		}
	}
}
