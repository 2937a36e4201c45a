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
	// keepers is how many other members are told of a key before its job is sent, and asked
	// before a job with it is taken in. Those told and those asked have one in common where
	// members agree on who is alive: whoever tells is passed over in the same order.
	holderCount = 2
	// keeperTime is how long a job waits for them beside the way there. Guards clients against a
	// member that stands still; what that one alone knew is missing then.
	holderTimeout = 20 * time.Millisecond
	// trips is how often a call goes there and back at most: to open a connection, and for itself.
	rttsPerCall = 2
	// lazyFor is how long a word may wait for others to go with that nobody waits for.
	lazyDelay = 50 * time.Millisecond
	// callTime bounds a call to one, and mostItems what goes in it and waits for it.
	callTimeout    = 200 * time.Millisecond
	maxBatchItems  = 512
	maxQueuedItems = 8192
)

// Fate names a job's key and the group that drops its repeats.
type OutcomeKey struct {
	Name  string // class and key
	Group string
}

// keepersOf returns the members that are told of a key, this one passed over: rendezvous
// hashing, so that members agree without a word.
func (c *Cluster) holdersOf(name string) []members.Info {
	order := c.rankedMembers(name)
	return order[:min(len(order), holderCount)]
}

// askedOf returns the members that are asked for a key: those that are told of it, and in place
// of each that came back lately, and may have forgotten, the next that did not.
func (c *Cluster) queriedMembers(name string) []members.Info {
	order := c.rankedMembers(name)
	return order[:countQueried(order)]
}

// asked returns how many of some members, in their order, are asked for a key.
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

// mostAsked bounds how many members are asked for a key.
const maxQueried = 5

func (c *Cluster) rankedMembers(name string) []members.Info {
	alive := slices.DeleteFunc(c.members.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Leaving })
	rankMembers(name, alive)
	return alive
}

// sortFor brings members into a name's order, which all draw alike.
func rankMembers(name string, list []members.Info) {
	draw := func(i members.Info) uint64 {
		var d xxhash.Digest
		d.ResetWithSeed(xxhash.Sum64String(i.Name))
		_, _ = d.WriteString(name) // to memory
		return d.Sum64()
	}
	slices.SortFunc(list, func(a, b members.Info) int { return cmp.Or(cmp.Compare(draw(b), draw(a)), cmp.Compare(a.Name, b.Name)) })
}

// Ask finds out where other members, or earlier processes of this one, have sent jobs with a
// key. Told is called once, from any goroutine: when the keepers have answered, or once they
// could have, and at the job's deadline at the latest, by what is known: the groups that it is
// bound to, each in its fact's scope.
func (c *Cluster) LookupOutcomes(name string, by time.Time, done func([]replica.Fact)) {
	c.mailbox.Put(func(c *Cluster) {
		of := c.queriedMembers(name)
		finish := func() {
			c.mailbox.Put(func(c *Cluster) {
				done(replica.BoundGroups(c.store.Outcomes(name, c.now())))
			})
		}
		g := newResponseWaiter(len(of), len(of), outcomeTimeout(of, time.Until(by)), finish)
		for _, m := range of {
			c.peer(m.Addr).put(item{lookup: name, done: func(facts []replica.Fact, _ error) {
				if len(facts) > 0 {
					c.mailbox.Put(func(c *Cluster) {
						for _, f := range facts {
							c.merge(f)
						}
					})
				}
				g.responded(nil) // one that does not answer has nothing to say
			}})
		}
	})
}

// Tell makes a key's fate known. Then is called once, from any goroutine: when a keeper knows
// it, or once one could, and at the job's deadline at the latest; nil for nobody who waits.
func (c *Cluster) RecordOutcome(f OutcomeKey, state replica.State, window time.Duration, sum string, by time.Time, then func()) {
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
		of, lazy := c.holdersOf(f.Name), then == nil && state != replica.NeverRan // who is refused may come again at once
		if then == nil {
			then = func() {}
		}
		if out != replica.Accepted || len(of) == 0 {
			then()
			return
		}
		g := newResponseWaiter(len(of), 1, outcomeTimeout(of, time.Until(by)), then)
		for _, m := range of {
			c.peer(m.Addr).put(item{record: &fact, lazy: lazy, done: func(_ []replica.Fact, err error) { g.responded(err) }})
		}
	})
}

func (c *Cluster) epoch() uint64 { return uint64(c.startedAt.UnixMilli()) }

// patience is how long a job with so much time left waits for some members: the way to the
// farthest counts beside keeperTime, up to what a call may take. Guards jobs of dispatchers whose
// sites lie further apart than keeperTime: others would hear of each only after it is sent.
func outcomeTimeout(of []members.Info, window time.Duration) time.Duration {
	far := time.Duration(0)
	for _, m := range of {
		far = max(far, m.RTT)
	}
	return min(holderTimeout+rttsPerCall*far, callTimeout, max(window, 0))
}

// gather calls a function once: when enough answers have come, when no more can, or after
// its time. A call that failed is no answer: who was not reached knows nothing.
type responseWaiter struct {
	mu          sync.Mutex
	wanted      int // answers that are wanted still
	outstanding int // calls that are out
	then        func()
	timer       *time.Timer
}

func newResponseWaiter(of, enough int, wait time.Duration, then func()) *responseWaiter {
	g := &responseWaiter{wanted: min(of, enough), outstanding: of, then: then}
	if g.wanted == 0 {
		then()
		return g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(wait, g.finish)
	return g
}

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

func (g *responseWaiter) finish() {
	g.mu.Lock()
	then := g.then
	g.then = nil
	g.mu.Unlock()
	if then != nil {
		then()
	}
}
