// Package freshness decides how long a dispatcher may use the list of workers that it has from discovery, and when it
// calls discovery again. By the protocol a change of the list counts as notified after a fixed time, whether it has
// arrived or not, and binds the dispatcher from then on. So all times count from the last contact, not from when a
// failure is noticed. The route table owns a Clock and reports watches and calls to it.
//
// The list is valid until the first change that it may lack binds (Clock.ValidUntil), whatever becomes of calls. The
// package is pure: it does no I/O and reads no clock. Times are durations on one clock that never goes back. A Clock is
// not safe for concurrent use.
package freshness

import (
	"math"
	"time"
)

const (
	// HeartbeatInterval is how often discovery sends something on a watch, an empty line if nothing else.
	HeartbeatInterval = 2 * time.Second
	// WatchTimeout is how long nothing may come on a watch before it counts as broken: a heartbeat interval, and by how
	// much a heartbeat may be delayed on its way.
	WatchTimeout = HeartbeatInterval + 400*time.Millisecond
	// NotifiedWithin is how long after the last contact by a watch a change that it misses counts as notified.
	NotifiedWithin = 6 * time.Second
	// MoveNotifiedWithin is how long after SIGHUP has named another discovery a change there counts as notified.
	MoveNotifiedWithin = 4 * time.Second
	// callTimeout is how long a call may wait in discovery's queue before discovery fails it.
	callTimeout = 3 * time.Second
	// MaxUnspreadCallers is how many dispatchers discovery answers without their calls being spread.
	MaxUnspreadCallers = 16
	// minQueueTime is the least time after which a call fails because of discovery's queue.
	minQueueTime = time.Second
	// fewCallersTimeout is how long a dispatcher waits for the answer to its first call where there are few.
	fewCallersTimeout = 300 * time.Millisecond
	// minCallInterval is the least time between two calls.
	minCallInterval = 250 * time.Millisecond
)

// Rules are the deployment's figures.
type Rules struct {
	MaxRefreshInterval time.Duration // how long the list may be used without a watch; 0 where lists are pushed
	DrainGrace         time.Duration // how long after the notice of a drain work may still be sent
	Number             int           // of this dispatcher, from 0
	Count              int           // how many dispatchers call the same discovery
	Pushed             bool          // calls are answered by an agent on this machine, at no cost
}

// Clock is what is known of the list's age. The zero value with Rules set has had no contact with discovery.
type Clock struct {
	Rules
	// lastContact is the time of the last byte of a watch, or of the last complete list, or of the begin of the last
	// call that failed.
	lastContact time.Duration
	// notifiedAt is when a change that the list may lack counts as notified; 0 where it lacks none.
	notifiedAt time.Duration
	// fixed has notifiedAt stand whatever becomes of calls, as discovery may have been there all the time.
	fixed    bool
	attempts int // calls since notifiedAt was fixed, or calls that failed in a row
}

// RecordContact records that a byte of a watch has come, or when the call began that then failed.
func (c *Clock) RecordContact(now time.Duration) { c.lastContact = now }

// RecordComplete records that the list holds every change up to now.
func (c *Clock) RecordComplete(now time.Duration) {
	c.lastContact, c.notifiedAt, c.fixed, c.attempts = now, 0, false, 0
}

// WatchTimedOut records that nothing has come on a watch for WatchTimeout, and returns when to call again. A change that
// the watch missed counts from its last byte, however late the time-out was noticed.
func (c *Clock) WatchTimedOut(now time.Duration) time.Duration {
	c.requireBy(c.lastContact + NotifiedWithin)
	return c.nextCall(now, 0)
}

// DiscoveryMoved records that discovery has another address, and returns when to call there.
func (c *Clock) DiscoveryMoved(now time.Duration) time.Duration {
	c.requireBy(now + MoveNotifiedWithin)
	c.attempts = 0
	return c.nextCall(now, 0)
}

// WatchEnded records that discovery has ended a watch, which had sent every change until then, and returns when to call
// again. The list may be used as long as without a watch, for MaxRefreshInterval.
func (c *Clock) WatchEnded(now time.Duration) time.Duration {
	within := c.MaxRefreshInterval
	if within <= 0 {
		within = NotifiedWithin
	}
	c.expectBy(c.lastContact + within)
	return c.nextCall(now, 0)
}

// CallFailed records that a call has failed, and returns when to call again. Discovery may have come back directly after
// it had failed this call, and a change counts as notified NotifiedWithin later, so that this time counts from the
// call's begin. A spread by MaxRefreshInterval would exceed it. The next call may wait in discovery's queue for as long
// as this one did.
func (c *Clock) CallFailed(now time.Duration) time.Duration {
	c.expectBy(c.lastContact + NotifiedWithin)
	return c.nextCall(now, now-c.lastContact)
}

// requireBy sets the time at which a change counts as notified, whatever becomes of calls; an earlier such time stays.
func (c *Clock) requireBy(by time.Duration) {
	if !c.fixed || by < c.notifiedAt {
		c.notifiedAt, c.fixed = by, true
	}
}

// expectBy sets the time at which a change counts as notified by the last call alone.
func (c *Clock) expectBy(by time.Duration) {
	if !c.fixed {
		c.notifiedAt = by
	}
}

// HasDeadline reports whether the list may lack a change, and so has to be complete again by a known time.
func (c *Clock) HasDeadline() bool { return c.notifiedAt > 0 }

// nextCall returns when to call after a failure, if that call may wait in discovery's queue for queueTime. At least half
// of the time until the list becomes invalid is left to discovery; the calls of all dispatchers are spread over the rest
// by their numbers, as a few hundred calls at once would fail in the queue. Once the list is invalid the time counts from
// the last call's begin.
func (c *Clock) nextCall(now, queueTime time.Duration) time.Duration {
	if c.Pushed {
		return now
	}
	left := c.ValidUntil() - now
	if left <= 0 {
		left = c.lastContact + NotifiedWithin + c.DrainGrace - now
	}
	left = max(left, minCallInterval) // a call that comes too late anyway need not come at once
	spread := min(Spread(c.MaxRefreshInterval, c.Count, c.attempts), left/2, max(left-queueTime, left/8))
	at := now + time.Duration(c.spreadOffset()*float64(spread))
	if c.attempts++; c.attempts > 1 { // the queue in which the last call failed is still as long
		at = max(at, now+minCallInterval)
	}
	return at
}

// spreadOffset returns where in a spread this dispatcher's next call is, from 0 to 1. Multiples of an irrational number
// distribute the dispatchers evenly, and further attempts of each one elsewhere.
func (c *Clock) spreadOffset() float64 {
	_, offset := math.Modf(float64(c.Number)*math.Phi + float64(c.attempts)*math.Sqrt2)
	return offset
}

// ValidUntil returns until when the list may be used: until a change that it may lack binds. That is the largest
// Duration while a watch sends every change.
func (c *Clock) ValidUntil() time.Duration {
	if c.notifiedAt == 0 {
		return math.MaxInt64
	}
	return c.notifiedAt + c.DrainGrace
}

// Stale reports whether the list may lack a change that binds by now.
func (c *Clock) Stale(now time.Duration) bool { return now >= c.ValidUntil() }
