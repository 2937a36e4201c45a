// Package freshness decides how long a dispatcher may use its list of workers from discovery, and when it calls discovery
// again. By the protocol a change of the list counts as notified after a fixed time, whether or not it has arrived, and is
// binding for the dispatcher DrainGrace later. All times therefore count from the last contact, not from the detection of
// a failure. The route table owns a Clock and reports watches and calls to it.
//
// The list is valid until the first change that it may miss is binding (Clock.ValidUntil), regardless of later calls that
// fail. The package is pure: it does no I/O and reads no clock. Times are durations on one monotonic clock. A Clock is not
// safe for concurrent use.
package freshness

import (
	"math"
	"time"
)

const (
	// HeartbeatInterval is the longest interval between two lines that discovery sends on a watch; without changes it sends
	// empty lines.
	HeartbeatInterval = 2 * time.Second
	// WatchTimeout is the time without data after which a watch counts as broken: the heartbeat interval plus the longest
	// accepted network delay of a heartbeat.
	WatchTimeout = HeartbeatInterval + 400*time.Millisecond
	// NotifiedWithin is the time after the last contact by a watch at which a change that the watch missed counts as
	// notified.
	NotifiedWithin = 6 * time.Second
	// MoveNotifiedWithin is the time after a SIGHUP that changes discovery's address at which a change there counts as
	// notified.
	MoveNotifiedWithin = 4 * time.Second
	// callTimeout is the time in discovery's queue after which discovery fails a call.
	callTimeout = 3 * time.Second
	// MaxUnspreadCallers is the largest number of dispatchers whose simultaneous calls discovery can answer in time.
	MaxUnspreadCallers = 16
	// minQueueTime is the least duration of a call that fails because of discovery's queue.
	minQueueTime = time.Second
	// fewCallersTimeout is how long one of few dispatchers waits for the answer to its first call.
	fewCallersTimeout = 300 * time.Millisecond
	// minCallInterval is the least time between two calls.
	minCallInterval = 250 * time.Millisecond
)

// Rules holds the deployment's parameters.
type Rules struct {
	MaxRefreshInterval time.Duration // how long the list may be used without a watch; 0 where lists are pushed
	DrainGrace         time.Duration // how long after the notice of a drain work may still be sent
	Number             int           // number of this dispatcher, from 0
	Count              int           // number of dispatchers that call the same discovery
	Pushed             bool          // an agent on this machine answers calls, without load on discovery
}

// Clock tracks the age of the list. The zero value with Rules set has had no contact with discovery.
type Clock struct {
	Rules
	// lastContact is the time of the last byte of a watch, of the last complete list, or of the start of the last failed
	// call.
	lastContact time.Duration
	// notifiedAt is when a change that the list may miss counts as notified; 0 if it misses none.
	notifiedAt time.Duration
	// fixed means that failed calls do not postpone notifiedAt, as discovery may have been up all the time.
	fixed    bool
	attempts int // calls since notifiedAt was fixed, or failed calls in a row
}

// RecordContact records the arrival of a byte on a watch, or the start of a call that then failed.
func (c *Clock) RecordContact(now time.Duration) { c.lastContact = now }

// RecordComplete records that the list contains every change up to now.
func (c *Clock) RecordComplete(now time.Duration) {
	c.lastContact, c.notifiedAt, c.fixed, c.attempts = now, 0, false, 0
}

// WatchTimedOut records that no data has arrived on a watch for WatchTimeout, and returns when to call again. The
// notification time of a missed change counts from the watch's last byte, however late the time-out was detected.
func (c *Clock) WatchTimedOut(now time.Duration) time.Duration {
	c.fixNotifiedAt(c.lastContact + NotifiedWithin)
	return c.nextCall(now, 0)
}

// DiscoveryMoved records that discovery has a new address, and returns when to call there.
func (c *Clock) DiscoveryMoved(now time.Duration) time.Duration {
	c.fixNotifiedAt(now + MoveNotifiedWithin)
	c.attempts = 0
	return c.nextCall(now, 0)
}

// WatchEnded records that discovery has ended a watch after it had sent every change, and returns when to call again. The
// list may be used for MaxRefreshInterval, as without a watch.
func (c *Clock) WatchEnded(now time.Duration) time.Duration {
	within := c.MaxRefreshInterval
	if within <= 0 {
		within = NotifiedWithin
	}
	c.updateNotifiedAt(c.lastContact + within)
	return c.nextCall(now, 0)
}

// CallFailed records that a call has failed, and returns when to call again. Discovery may have recovered directly after
// it failed this call, and a change then counts as notified NotifiedWithin later, so this time counts from the start of
// the call. A spread over MaxRefreshInterval would exceed it. The next call may wait in discovery's queue for as long as
// this one did.
func (c *Clock) CallFailed(now time.Duration) time.Duration {
	c.updateNotifiedAt(c.lastContact + NotifiedWithin)
	return c.nextCall(now, now-c.lastContact)
}

// fixNotifiedAt sets notifiedAt to a time that failed calls do not postpone. It never postpones a time that is already
// fixed.
func (c *Clock) fixNotifiedAt(at time.Duration) {
	if !c.fixed || at < c.notifiedAt {
		c.notifiedAt, c.fixed = at, true
	}
}

// updateNotifiedAt sets notifiedAt unless it is fixed.
func (c *Clock) updateNotifiedAt(at time.Duration) {
	if !c.fixed {
		c.notifiedAt = at
	}
}

// HasDeadline reports whether the list may miss a change, and so must be complete again by a known time.
func (c *Clock) HasDeadline() bool { return c.notifiedAt > 0 }

// nextCall returns when to call after a failure, if that call may wait in discovery's queue for queueTime. At least half
// of the time until the list becomes invalid is left for discovery to answer; the calls of all dispatchers are spread over
// the rest by their numbers, as a few hundred simultaneous calls would fail in the queue. Once the list is invalid the
// time counts from the last contact.
func (c *Clock) nextCall(now, queueTime time.Duration) time.Duration {
	if c.Pushed {
		return now
	}
	left := c.ValidUntil() - now
	if left <= 0 {
		left = c.lastContact + NotifiedWithin + c.DrainGrace - now
	}
	left = max(left, minCallInterval) // a call that is too late anyway need not be made at once
	spread := min(Spread(c.MaxRefreshInterval, c.Count, c.attempts), left/2, max(left-queueTime, left/8))
	at := now + time.Duration(c.spreadOffset()*float64(spread))
	if c.attempts++; c.attempts > 1 { // the queue in which the last call failed is still about as long
		at = max(at, now+minCallInterval)
	}
	return at
}

// spreadOffset returns the position of this dispatcher's next call in a spread, from 0 to 1. Multiples of an irrational
// number distribute the dispatchers evenly; multiples of another one move each dispatcher's position with every attempt.
func (c *Clock) spreadOffset() float64 {
	_, offset := math.Modf(float64(c.Number)*math.Phi + float64(c.attempts)*math.Sqrt2)
	return offset
}

// ValidUntil returns the time until which the list may be used: when a change that it may miss becomes binding. It is the
// largest Duration while a watch sends every change.
func (c *Clock) ValidUntil() time.Duration {
	if c.notifiedAt == 0 {
		return math.MaxInt64
	}
	return c.notifiedAt + c.DrainGrace
}

// Stale reports whether the list may miss a change that is binding by now.
func (c *Clock) Stale(now time.Duration) bool { return now >= c.ValidUntil() }
