package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/members"
	"frosttide/internal/replica"
)

const (
	// keepers is how many other members are told of a key before its job is sent, and asked
	// before a job with it is taken in. Those told and those asked have one in common where
	// members agree on who is alive: whoever tells is passed over in the same order.
	keepers = 2
	// keeperTime is how long a job waits for them. Guards clients against a member that
	// stands still; what that one alone knew is missing then.
	keeperTime = 20 * time.Millisecond
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
// key. Told is called once, from any goroutine: when the keepers have answered, or after
// keeperTime by what is known. Own has what this process itself has sent count too: a job that
// it sends again by itself.
func (c *Cluster) Ask(name string, own bool, told func([]replica.Fact)) {
	c.box.Put(func(c *Cluster) {
		of := c.askedOf(name)
		finish := func() {
			c.box.Put(func(c *Cluster) {
				told(slices.DeleteFunc(c.store.Fates(name, c.now()), func(f replica.Fact) bool {
					return !own && f.By == c.cfg.Name && f.Epoch == c.epoch()
				}))
			})
		}
		g := newGather(len(of), len(of), finish)
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
// it, or after keeperTime; nil for nobody who waits.
func (c *Cluster) Tell(f Fate, state replica.State, left time.Duration, sum string, then func()) {
	c.box.Put(func(c *Cluster) {
		at := c.now()
		fact := replica.Fact{Key: replica.Key{Kind: replica.Fate, Name: f.Name, Scope: f.Group}, State: state, At: at,
			Until: at + left.Milliseconds(), By: c.cfg.Name, Epoch: c.epoch(), Sum: sum}
		if was, ok := c.store.Get(fact.Key); ok && was.Until > fact.At {
			fact.At, fact.Until = min(fact.At, was.At), min(fact.Until, was.Until) // the window is the first one's
		}
		out, _, err := c.store.Merge(fact, c.now())
		if err != nil {
			c.refused(err)
		}
		of, lazy := c.keepersOf(f.Name), then == nil
		if lazy {
			then = func() {}
		}
		if out != replica.Took || len(of) == 0 {
			then()
			return
		}
		g := newGather(len(of), 1, then)
		for _, m := range of {
			c.peer(m.Addr).put(item{tell: &fact, lazy: lazy, done: func(_ []replica.Fact, err error) { g.one(err) }})
		}
	})
}

func (c *Cluster) epoch() uint64 { return uint64(c.started.UnixMilli()) }

// gather calls a function once: when enough answers have come, when no more can, or after
// keeperTime. A call that failed is no answer: who was not reached knows nothing.
type gather struct {
	mu    sync.Mutex
	left  int // answers that are wanted still
	open  int // calls that are out
	then  func()
	timer *time.Timer
}

func newGather(of, enough int, then func()) *gather {
	g := &gather{left: min(of, enough), open: of, then: then}
	if g.left == 0 {
		then()
		return g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(keeperTime, g.over)
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
