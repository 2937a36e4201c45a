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
	// holderCount is how many other members hold the outcome records of a key: they are sent the
	// record before the job is sent, and queried before a job with the key is accepted. Members
	// that agree on who is alive compute the same order without the caller, so that the members
	// that one records at and those that another queries have one in common.
	holderCount = 2
	// holderTimeout is how long a job waits for the holders, beyond the round trips, so that a
	// stalled member does not delay clients. Records that only that member has are missing then.
	holderTimeout = 20 * time.Millisecond
	// rttsPerCall is the most round trips of a call: one to open a connection and one for itself.
	rttsPerCall = 2
	// lazyDelay is how long a record that no job waits for may wait for others to share its call.
	lazyDelay = 50 * time.Millisecond
	// callTimeout bounds a call to a member, maxBatchItems its items, and maxQueuedItems the items
	// that wait for it.
	callTimeout    = 200 * time.Millisecond
	maxBatchItems  = 512
	maxQueuedItems = 8192
)

// OutcomeKey identifies a keyed job and the group that deduplicates it.
type OutcomeKey struct {
	Name  string // class and key
	Group string
}

// holdersOf returns the other members that hold a key's outcome records, chosen by rendezvous
// hashing (Thaler & Ravishankar 1998) so that members agree without communicating.
func (c *Cluster) holdersOf(name string) []members.Info {
	order := c.rankedMembers(name)
	return order[:min(len(order), holderCount)]
}

// queriedMembers returns the members that are queried for a key: its holders and, for each of them
// that has not rejoined in full and may lack records, the next member that has.
func (c *Cluster) queriedMembers(name string) []members.Info {
	order := c.rankedMembers(name)
	return order[:countQueried(order)]
}

// countQueried returns how many of the ranked members are queried for a key.
func countQueried(order []members.Info) int {
	know := 0
	for i, m := range order {
		if outcomesComplete(m) {
			know++
		}
		if i+1 >= holderCount && (know >= holderCount || i+1 == maxQueried) {
			return i + 1
		}
	}
	return len(order)
}

// maxQueried bounds the members that are queried for a key.
const maxQueried = 5

// rankedMembers returns the other live members in a name's order.
func (c *Cluster) rankedMembers(name string) []members.Info {
	alive := slices.DeleteFunc(c.members.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Leaving })
	rankMembers(name, alive)
	return alive
}

// rankMembers sorts members into a name's order, which every member computes alike.
func rankMembers(name string, list []members.Info) {
	draw := func(i members.Info) uint64 {
		var d xxhash.Digest
		d.ResetWithSeed(xxhash.Sum64String(i.Name))
		_, _ = d.WriteString(name) // never fails
		return d.Sum64()
	}
	slices.SortFunc(list, func(a, b members.Info) int { return cmp.Or(cmp.Compare(draw(b), draw(a)), cmp.Compare(a.Name, b.Name)) })
}

// LookupOutcomes finds out which groups a key is bound to by jobs that other members, or earlier
// processes of this one, have sent. done is called once, from any goroutine, with the groups in
// the facts' scopes: when the holders have responded or could have, and at the deadline at the
// latest.
func (c *Cluster) LookupOutcomes(name string, deadline time.Time, done func([]replica.Fact)) {
	c.mailbox.Put(func(c *Cluster) {
		peers := c.queriedMembers(name)
		finish := func() {
			c.mailbox.Put(func(c *Cluster) {
				done(replica.BoundGroups(c.store.Outcomes(name, c.now())))
			})
		}
		g := newResponseWaiter(len(peers), len(peers), outcomeTimeout(peers, time.Until(deadline)), finish)
		for _, m := range peers {
			c.peer(m.Addr).put(item{lookup: name, done: func(facts []replica.Fact, _ error) {
				if len(facts) > 0 {
					c.mailbox.Put(func(c *Cluster) {
						for _, f := range facts {
							c.merge(f)
						}
					})
				}
				g.responded(nil) // a member that does not respond contributes nothing
			}})
		}
	})
}

// RecordOutcome records the state of a keyed job at its holders. then, which may be nil, is called
// once, from any goroutine: when one holder has the record or could have it, and at the deadline
// at the latest. window is the rest of the deduplication window.
func (c *Cluster) RecordOutcome(f OutcomeKey, state replica.State, window time.Duration, sum string, deadline time.Time, then func()) {
	c.mailbox.Put(func(c *Cluster) {
		key := replica.OutcomeKey(f.Name, f.Group, c.cfg.Name, c.epoch())
		var was *replica.Fact
		if old, ok := c.store.Get(key); ok {
			was = &old
		}
		fact, done := replica.Fact{}, true
		switch state {
		case replica.NeverRan:
			fact, done = replica.RecordNeverRan(was)
		case replica.Done:
			fact = replica.RecordDone(was, key, c.cfg.Name, c.epoch(), c.now(), window.Milliseconds(), sum)
		default:
			fact = replica.RecordSending(was, key, c.cfg.Name, c.epoch(), c.now(), window.Milliseconds())
		}
		out := replica.Superseded
		if done {
			var err error
			if out, _, err = c.store.Merge(fact, c.now()); err != nil {
				c.countRejected(err)
			}
		}
		peers, lazy := c.holdersOf(f.Name), then == nil && state != replica.NeverRan // a rejected client may retry at once
		if then == nil {
			then = func() {}
		}
		if out != replica.Accepted || len(peers) == 0 {
			then()
			return
		}
		g := newResponseWaiter(len(peers), 1, outcomeTimeout(peers, time.Until(deadline)), then)
		for _, m := range peers {
			c.peer(m.Addr).put(item{record: &fact, lazy: lazy, done: func(_ []replica.Fact, err error) { g.responded(err) }})
		}
	})
}

// epoch returns the number of this process's incarnation of the member.
func (c *Cluster) epoch() uint64 { return uint64(c.startedAt.UnixMilli()) }

// outcomeTimeout returns how long a job waits for some members: holderTimeout plus the round trips
// to the farthest one, at most callTimeout and the job's remaining time. Without the round trips,
// members at distant sites would learn of a job only after it was sent.
func outcomeTimeout(peers []members.Info, window time.Duration) time.Duration {
	far := time.Duration(0)
	for _, m := range peers {
		far = max(far, m.RTT)
	}
	return min(holderTimeout+rttsPerCall*far, callTimeout, max(window, 0))
}

// responseWaiter calls a function once: when enough members have responded, when no more can, or
// after a time-out. A failed call is no response, since that member has not got the record.
type responseWaiter struct {
	mu          sync.Mutex
	wanted      int // responses still needed
	outstanding int // calls in progress
	then        func()
	timer       *time.Timer
}

// newResponseWaiter waits for enough of the responses of so many members, up to wait.
func newResponseWaiter(peers, enough int, wait time.Duration, then func()) *responseWaiter {
	g := &responseWaiter{wanted: min(peers, enough), outstanding: peers, then: then}
	if g.wanted == 0 {
		then()
		return g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(wait, g.finish)
	return g
}

// responded records the end of a call.
func (g *responseWaiter) responded(err error) {
	g.mu.Lock()
	g.outstanding--
	if err == nil {
		g.wanted--
	}
	last := g.wanted == 0 || g.outstanding == 0
	g.mu.Unlock()
	if last {
		g.timer.Stop()
		g.finish()
	}
}

// finish calls the function unless it was called before.
func (g *responseWaiter) finish() {
	g.mu.Lock()
	then := g.then
	g.then = nil
	g.mu.Unlock()
	if then != nil {
		then()
	}
}
