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
	keepers = 2
	// keeperTime is how long a job waits for them beside the way there. Guards clients against a
	// member that stands still; what that one alone knew is missing then.
	keeperTime = 20 * time.Millisecond
	// trips is how often a call goes there and back at most: to open a connection, and for itself.
	trips = 2
	// lazyFor is how long a word may wait for others to go with that nobody waits for.
	lazyFor = 50 * time.Millisecond
	// callTime bounds a call to one, and mostItems what goes in it and waits for it.
	callTime  = 200 * time.Millisecond
	mostItems = 512
	mostQueue = 8192
)

// Fate names a job's key and the group that drops its repeats.
type Fate struct {
	Name  string // class and key
	Group string
}

// keepersOf returns the members that are told of a key, this one passed over: rendezvous
// hashing, so that members agree without a word.
func (c *Cluster) keepersOf(name string) []members.Info {
	order := c.orderOf(name)
	return order[:min(len(order), keepers)]
}

// askedOf returns the members that are asked for a key: those that are told of it, and in place
// of each that came back lately, and may have forgotten, the next that did not.
func (c *Cluster) askedOf(name string) []members.Info {
	order := c.orderOf(name)
	return order[:asked(order)]
}

// asked returns how many of some members, in their order, are asked for a key.
func asked(order []members.Info) int {
	know := 0
	for i, m := range order {
		if recalls(m) {
			know++
		}
		if i+1 >= keepers && (know >= keepers || i+1 == mostAsked) {
			return i + 1
		}
	}
	return len(order)
}

// mostAsked bounds how many members are asked for a key.
const mostAsked = 5

func (c *Cluster) orderOf(name string) []members.Info {
	alive := slices.DeleteFunc(c.list.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Goes })
	sortFor(name, alive)
	return alive
}

// sortFor brings members into a name's order, which all draw alike.
func sortFor(name string, list []members.Info) {
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
func (c *Cluster) Ask(name string, by time.Time, told func([]replica.Fact)) {
	c.box.Put(func(c *Cluster) {
		of := c.askedOf(name)
		finish := func() {
			c.box.Put(func(c *Cluster) {
				told(replica.Bound(c.store.Fates(name, c.now())))
			})
		}
		g := newGather(len(of), len(of), patience(of, time.Until(by)), finish)
		for _, m := range of {
			c.peer(m.Addr).put(item{ask: name, done: func(facts []replica.Fact, _ error) {
				if len(facts) > 0 {
					c.box.Put(func(c *Cluster) {
						for _, f := range facts {
							c.take(f)
						}
					})
				}
				g.one(nil) // one that does not answer has nothing to say
			}})
		}
	})
}

// Tell makes a key's fate known. Then is called once, from any goroutine: when a keeper knows
// it, or once one could, and at the job's deadline at the latest; nil for nobody who waits.
func (c *Cluster) Tell(f Fate, state replica.State, left time.Duration, sum string, by time.Time, then func()) {
	c.box.Put(func(c *Cluster) {
		key := replica.FateKey(f.Name, f.Group, c.cfg.Name, c.epoch())
		var was *replica.Fact
		if old, ok := c.store.Get(key); ok {
			was = &old
		}
		fact, told := replica.Fact{}, true
		switch state {
		case replica.Free:
			fact, told = replica.Freed(was)
		case replica.Done:
			fact = replica.Finished(was, key, c.cfg.Name, c.epoch(), c.now(), left.Milliseconds(), sum)
		default:
			fact = replica.Sending(was, key, c.cfg.Name, c.epoch(), c.now(), left.Milliseconds())
		}
		out := replica.Kept
		if told {
			var err error
			if out, _, err = c.store.Merge(fact, c.now()); err != nil {
				c.refused(err)
			}
		}
		of, lazy := c.keepersOf(f.Name), then == nil && state != replica.Free // who is refused may come again at once
		if then == nil {
			then = func() {}
		}
		if out != replica.Took || len(of) == 0 {
			then()
			return
		}
		g := newGather(len(of), 1, patience(of, time.Until(by)), then)
		for _, m := range of {
			c.peer(m.Addr).put(item{tell: &fact, lazy: lazy, done: func(_ []replica.Fact, err error) { g.one(err) }})
		}
	})
}

func (c *Cluster) epoch() uint64 { return uint64(c.started.UnixMilli()) }

// patience is how long a job with so much time left waits for some members: the way to the
// farthest counts beside keeperTime, up to what a call may take. Guards jobs of dispatchers whose
// sites lie further apart than keeperTime: others would hear of each only after it is sent.
func patience(of []members.Info, left time.Duration) time.Duration {
	far := time.Duration(0)
	for _, m := range of {
		far = max(far, m.Trip)
	}
	return min(keeperTime+trips*far, callTime, max(left, 0))
}

// gather calls a function once: when enough answers have come, when no more can, or after
// its time. A call that failed is no answer: who was not reached knows nothing.
type gather struct {
	mu    sync.Mutex
	left  int // answers that are wanted still
	open  int // calls that are out
	then  func()
	timer *time.Timer
}

func newGather(of, enough int, wait time.Duration, then func()) *gather {
	g := &gather{left: min(of, enough), open: of, then: then}
	if g.left == 0 {
		then()
		return g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(wait, g.over)
	return g
}

func (g *gather) one(err error) {
	g.mu.Lock()
	g.open--
	if err == nil {
		g.left--
	}
	last := g.left == 0 || g.open == 0
	g.mu.Unlock()
	if last {
		g.timer.Stop()
		g.over()
	}
}

func (g *gather) over() {
	g.mu.Lock()
	then := g.then
	g.then = nil
	g.mu.Unlock()
	if then != nil {
		then()
	}
}
