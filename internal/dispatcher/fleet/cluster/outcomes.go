package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/replica"
)

const (
	// holderCount is the number of other members that hold the outcome records of a key: they are
	// sent the record before the job is sent, and queried before a job with the key is accepted.
	// Members that agree on who is alive compute the same order, each leaving itself out, so that
	// the holders that one member records at and those that another one queries intersect.
	holderCount = 2
	// holderTimeout is how long a job waits for the holders, beyond the round trips. It keeps a
	// stalled member from delaying clients; records that only that member has are missing then.
	holderTimeout = 20 * time.Millisecond
	// rttsPerCall is the maximum number of round trips of a call: one to open a connection and one
	// for the call itself.
	rttsPerCall = 2
	// lazyDelay is how long a record that no job waits for is delayed at most, to be batched with
	// others.
	lazyDelay = 50 * time.Millisecond
	// callTimeout bounds a call to a member, maxBatchRequests the requests in a call, and
	// maxQueuedRequests the requests that are queued for a member or in its current calls.
	callTimeout       = 200 * time.Millisecond
	maxBatchRequests  = 512
	maxQueuedRequests = 8192
)

// OutcomeKey identifies a keyed job and the group that deduplicates it.
type OutcomeKey struct {
	Name  string // the job's class and key
	Group string
}

// holdersOf returns the other members that hold a key's outcome records. They are chosen by
// rendezvous hashing (Thaler & Ravishankar 1998), so that members agree without communicating.
func (c *Cluster) holdersOf(name string) []members.Info {
	order := c.rankedMembers(name)
	return order[:min(len(order), holderCount)]
}

// queriedMembers returns the members that are queried for a key: its holders and, for each of them
// that has not fully rejoined and may lack records, the next member that has.
func (c *Cluster) queriedMembers(name string) []members.Info {
	order := c.rankedMembers(name)
	return order[:countQueried(order)]
}

// countQueried returns how many of the ranked members, from the first on, are queried for a key.
func countQueried(order []members.Info) int {
	complete := 0
	for i, m := range order {
		if outcomesComplete(m) {
			complete++
		}
		if i+1 >= holderCount && (complete >= holderCount || i+1 == maxQueried) {
			return i + 1
		}
	}
	return len(order)
}

// maxQueried bounds the members that are queried for a key.
const maxQueried = 5

// rankedMembers returns the other live members, except leaving ones, in a name's order.
func (c *Cluster) rankedMembers(name string) []members.Info {
	alive := slices.DeleteFunc(c.members.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Leaving })
	rankMembers(name, alive)
	return alive
}

// rankMembers sorts members into a name's order of rendezvous hashing, which every member computes
// alike.
func rankMembers(name string, list []members.Info) {
	hash := func(i members.Info) uint64 {
		var d xxhash.Digest
		d.ResetWithSeed(xxhash.Sum64String(i.Name))
		_, _ = d.WriteString(name) // never fails
		return d.Sum64()
	}
	slices.SortFunc(list, func(a, b members.Info) int { return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a.Name, b.Name)) })
}

// LookupOutcomes looks up the groups that a key is bound to by jobs that other members, or earlier
// processes of this one, have sent. done is called once, from any goroutine, with facts whose Scope
// is such a group: when all queried members have responded or failed, or the time-out has passed,
// and at the deadline at the latest.
func (c *Cluster) LookupOutcomes(name string, deadline time.Time, done func([]replica.Fact)) {
	c.mailbox.Put(func(c *Cluster) {
		peers := c.queriedMembers(name)
		finish := func() {
			c.mailbox.Put(func(c *Cluster) {
				done(replica.BoundGroups(c.store.Outcomes(name, c.now())))
			})
		}
		waiter := newResponseWaiter(len(peers), len(peers), outcomeTimeout(peers, time.Until(deadline)), finish)
		for _, m := range peers {
			c.peer(m.Addr).put(outcomeRequest{lookup: name, done: func(facts []replica.Fact, _ error) {
				if len(facts) > 0 {
					c.mailbox.Put(func(c *Cluster) {
						for _, f := range facts {
							c.merge(f)
						}
					})
				}
				waiter.responded(nil) // a member that does not respond contributes nothing
			}})
		}
	})
}

// RecordOutcome records the state of a keyed job at its holders. done, which may be nil, is called
// once, from any goroutine: when one holder has the record, none can respond any more or the
// time-out has passed, and at the deadline at the latest. window is the rest of the deduplication
// window, and digest the digest of the result of a job that is done.
func (c *Cluster) RecordOutcome(f OutcomeKey, state replica.State, window time.Duration, digest string, deadline time.Time, done func()) {
	c.mailbox.Put(func(c *Cluster) {
		key := replica.OutcomeKey(f.Name, f.Group, c.cfg.Name, c.epoch())
		var previous *replica.Fact
		if old, ok := c.store.Get(key); ok {
			previous = &old
		}
		fact, recorded := replica.Fact{}, true
		switch state {
		case replica.NeverRan:
			fact, recorded = replica.RecordNeverRan(previous)
		case replica.Done:
			fact = replica.RecordDone(previous, key, c.cfg.Name, c.epoch(), c.now(), window.Milliseconds(), digest)
		default:
			fact = replica.RecordSending(previous, key, c.cfg.Name, c.epoch(), c.now(), window.Milliseconds())
		}
		result := replica.Superseded
		if recorded {
			var err error
			if result, _, err = c.store.Merge(fact, c.now()); err != nil {
				c.countRejected(err)
			}
		}
		// NeverRan is never lazy: after a rejection the client may retry at once.
		peers, lazy := c.holdersOf(f.Name), done == nil && state != replica.NeverRan
		if done == nil {
			done = func() {}
		}
		if result != replica.Accepted || len(peers) == 0 {
			done()
			return
		}
		waiter := newResponseWaiter(len(peers), 1, outcomeTimeout(peers, time.Until(deadline)), done)
		for _, m := range peers {
			c.peer(m.Addr).put(outcomeRequest{record: &fact, lazy: lazy, done: func(_ []replica.Fact, err error) { waiter.responded(err) }})
		}
	})
}

// epoch returns the epoch of this process among those of the member: its start, in ms since 1970.
func (c *Cluster) epoch() uint64 { return uint64(c.startedAt.UnixMilli()) }

// outcomeTimeout returns how long a job waits for some members: holderTimeout plus the round trips
// to the farthest one, but at most callTimeout and the job's remaining time. Without the round
// trips, members at distant sites would learn of a job only after it was sent.
func outcomeTimeout(peers []members.Info, remaining time.Duration) time.Duration {
	maxRTT := time.Duration(0)
	for _, m := range peers {
		maxRTT = max(maxRTT, m.RTT)
	}
	return min(holderTimeout+rttsPerCall*maxRTT, callTimeout, max(remaining, 0))
}

// responseWaiter calls a function once: when enough members have responded, when all calls have
// ended, or after a time-out. A failed call does not count as a response, since that member has not
// received the record.
type responseWaiter struct {
	mu          sync.Mutex
	wanted      int // responses still needed
	outstanding int // calls in progress
	callback    func()
	timer       *time.Timer
}

// newResponseWaiter returns a waiter that calls callback after enough responses of the given number
// of peers, or after wait.
func newResponseWaiter(peers, enough int, wait time.Duration, callback func()) *responseWaiter {
	w := &responseWaiter{wanted: min(peers, enough), outstanding: peers, callback: callback}
	if w.wanted == 0 {
		callback()
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(wait, w.finish)
	return w
}

// responded records the end of a call, with its error.
func (w *responseWaiter) responded(err error) {
	w.mu.Lock()
	w.outstanding--
	if err == nil {
		w.wanted--
	}
	last := w.wanted == 0 || w.outstanding == 0
	w.mu.Unlock()
	if last {
		w.timer.Stop()
		w.finish()
	}
}

// finish calls the callback unless it was called before.
func (w *responseWaiter) finish() {
	w.mu.Lock()
	callback := w.callback
	w.callback = nil
	w.mu.Unlock()
	if callback != nil {
		callback()
	}
}
