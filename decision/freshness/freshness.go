// Package freshness keeps one clock for discovery's list: how long the list that is held may
// be used, and when to ask again. What discovery has to tell counts as told after a stated
// time, whether it has arrived or not, so all times run from the last byte heard. The
// package is pure: no I/O, no clock.
package freshness

import (
	"math"
	"time"
)

const (
	// HeartbeatInterval is how often a watch says something, an empty line if nothing else.
	HeartbeatInterval = 2 * time.Second
	// WatchTimeout is how long a watch may say nothing before it counts as broken: a beat, and what
	// one may be late on the way.
	WatchTimeout = HeartbeatInterval + 400*time.Millisecond
	// NotifiedWithin is how long after a watch has fallen silent what it misses counts as told.
	NotifiedWithin = 6 * time.Second
	// MoveNotifiedWithin is how long after SIGHUP has named another discovery what that has to tell
	// counts as told.
	MoveNotifiedWithin = 4 * time.Second
	// callTimeout is how long a call may wait in discovery's line before that gives it up.
	callTimeout = 3 * time.Second
	// MaxUnspreadCallers is how many dispatchers discovery answers without their spreading out.
	MaxUnspreadCallers = 16
	// minQueueTime is how long a call is in discovery's line at the least if it fails there.
	minQueueTime = time.Second
	// fewCallersTimeout is how long few dispatchers wait at most for the answer to their first call.
	fewCallersTimeout = 300 * time.Millisecond
	// minCallInterval is the least time between two calls for one list.
	minCallInterval = 250 * time.Millisecond
)

// Rules are the deployment's figures.
type Rules struct {
	MaxRefreshInterval time.Duration // how long the list counts without a watch; 0 where lists are pushed
	DrainGrace         time.Duration // how long after a drain is told work may still be sent
	Number             int           // of this dispatcher, from 0
	Count              int           // of dispatchers that ask the same discovery
	Pushed             bool          // the call is answered on this machine, at no cost
}

// Clock is what is known of the list's age. All times are of one clock that never goes back.
// The zero value with Rules set has heard nothing.
type Clock struct {
	Rules
	lastContact time.Duration // the last byte of a watch, or the last whole object, or the begin of a call that brought nothing
	notifiedAt  time.Duration // when something that is not held begins to count as told; 0 for no such time
	fixed       bool          // due stands whatever becomes of calls: discovery may have been there all the while
	attempts    int           // calls since due was set, or in a row without an answer
}

// RecordContact takes in that a byte of a watch has come, or when the call began that has brought nothing.
func (c *Clock) RecordContact(now time.Duration) { c.lastContact = now }

// RecordComplete takes in that all that discovery had to tell by now is held.
func (c *Clock) RecordComplete(now time.Duration) {
	c.lastContact, c.notifiedAt, c.fixed, c.attempts = now, 0, false, 0
}

// WatchTimedOut takes in that a watch is broken because it has said nothing, and returns when to ask
// again. What is missed counts from the last byte, however late its silence was noticed.
func (c *Clock) WatchTimedOut(now time.Duration) time.Duration {
	c.requireBy(c.lastContact + NotifiedWithin)
	return c.nextCall(now, 0)
}

// DiscoveryMoved takes in that the address of discovery is another, and returns when to ask there.
func (c *Clock) DiscoveryMoved(now time.Duration) time.Duration {
	c.requireBy(now + MoveNotifiedWithin)
	c.attempts = 0
	return c.nextCall(now, 0)
}

// WatchEnded takes in that discovery has ended a watch that had told all until then, and returns
// when to ask again: the list counts for as long as without a watch, which the settings name.
func (c *Clock) WatchEnded(now time.Duration) time.Duration {
	within := c.MaxRefreshInterval
	if within <= 0 {
		within = NotifiedWithin
	}
	c.expectBy(c.lastContact + within)
	return c.nextCall(now, 0)
}

// CallFailed takes in that a call has brought nothing, and returns when to ask again. Discovery
// may have been back just after it had failed this call, and what it has to tell counts as told
// ToldWithin after; so that runs from the call's begin. A spread by the time for which the list
// counts without a call would be past it. The next call may wait in discovery's line for as
// long as this one did.
func (c *Clock) CallFailed(now time.Duration) time.Duration {
	c.expectBy(c.lastContact + NotifiedWithin)
	return c.nextCall(now, now-c.lastContact)
}

// requireBy has the list be held again by a time; an earlier time that is open stays.
func (c *Clock) requireBy(by time.Duration) {
	if !c.fixed || by < c.notifiedAt {
		c.notifiedAt, c.fixed = by, true
	}
}

// expectBy has the list be held again by a time that rests on the last call alone.
func (c *Clock) expectBy(by time.Duration) {
	if !c.fixed {
		c.notifiedAt = by
	}
}

// HasDeadline tells whether the list has to be held again by a stated time.
func (c *Clock) HasDeadline() bool { return c.notifiedAt > 0 }

// nextCall returns when to ask after a call that brought nothing, or after silence, if the next
// may wait in discovery's line for a time. At least half of the time that is left is
// discovery's, the rest is spread over the dispatchers by their numbers: a few hundred calls at
// once would fail in its line. Once the time is over it runs from the last call's begin.
func (c *Clock) nextCall(now, queueTime time.Duration) time.Duration {
	if c.Pushed {
		return now
	}
	left := c.ValidUntil() - now
	if left <= 0 {
		left = c.lastContact + NotifiedWithin + c.DrainGrace - now
	}
	left = max(left, minCallInterval) // guards discovery from calls that come too late in any case
	spread := min(Spread(c.MaxRefreshInterval, c.Count, c.attempts), left/2, max(left-queueTime, left/8))
	at := now + time.Duration(c.spreadOffset()*float64(spread))
	if c.attempts++; c.attempts > 1 { // the line that failed it is as long now
		at = max(at, now+minCallInterval)
	}
	return at
}

// Spread returns over how long dispatchers spread a call, by the time that the list counts
// without one, their number, and how many calls in a row have failed. The first lies within
// half of the time after which what a call that failed has missed counts as told: the process
// before this one may have been killed in the middle of a call.
// Few dispatchers, whom discovery answers at once, hardly spread the first: until then they go by
// the list that they were given.
func Spread(within time.Duration, count, failed int) time.Duration {
	spread := within / 16 << min(failed, 4)
	wider := min(float64(spread)*float64(max(count, MaxUnspreadCallers))/MaxUnspreadCallers, float64(max(spread, within)))
	if failed > 0 {
		return time.Duration(wider)
	}
	first := min(float64(spread)*float64(max(count, 1))/MaxUnspreadCallers, wider)
	return min(time.Duration(first), max(min(within-callTimeout, NotifiedWithin/2), spread))
}

// FirstAnswerTimeout returns how long a process that has just begun waits at most for discovery's first
// word before it goes by the list that it was given: that may be as old as the process before it,
// and what has changed since may bind already. All that changed before it began counts as told
// ToldWithin later at the latest, so that it waits no less where many dispatchers make the line
// long. Few ask for the whole list nearly at once, and are answered at once where discovery is
// there: one that does not answer them is not waited for.
func FirstAnswerTimeout(r Rules) time.Duration {
	switch {
	case r.Pushed:
		return r.DrainGrace
	case r.FewCallers():
		return Spread(r.MaxRefreshInterval, r.Count, 0) + fewCallersTimeout
	}
	return NotifiedWithin
}

// FewCallers tells whether discovery answers all its dispatchers without their spreading out. Such ask
// for the whole list when they begin, which is answered though nothing has changed: on a watch
// discovery says nothing for a beat. In the line that many make a whole list would cost too much.
func (r Rules) FewCallers() bool { return !r.Pushed && r.Count <= MaxUnspreadCallers }

// FailedInQueue tells whether a process that has just begun still waits for discovery's first word when
// a call has failed after a time: many dispatchers make a line in which calls fail, while discovery
// is there and what it has to tell binds. A call that fails sooner has found discovery down.
func FailedInQueue(r Rules, took time.Duration) bool {
	return !r.Pushed && r.Count > MaxUnspreadCallers && took >= minQueueTime
}

// spreadOffset returns where in a spread this dispatcher's next call is, from 0 to 1: the numbers
// lie evenly, and another try of the same is elsewhere.
func (c *Clock) spreadOffset() float64 {
	_, f := math.Modf(float64(c.Number)*math.Phi + float64(c.attempts)*math.Sqrt2)
	return f
}

// ValidUntil returns how long the list that is held may be used: until what it may lack binds.
// Without a silent watch or a move that is without end, as the watch tells all.
func (c *Clock) ValidUntil() time.Duration {
	if c.notifiedAt == 0 {
		return math.MaxInt64
	}
	return c.notifiedAt + c.DrainGrace
}

// Stale tells whether the list may lack what binds by now.
func (c *Clock) Stale(now time.Duration) bool { return now >= c.ValidUntil() }
