package cluster

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/mailbox"
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

// keepersOf returns the members that remember a key, this one passed over: rendezvous
// hashing, so that members agree without a word.
func (c *Cluster) keepersOf(name string) []members.Info {
	alive := slices.DeleteFunc(c.list.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Goes })
	draw := func(i members.Info) uint64 {
		var d xxhash.Digest
		d.ResetWithSeed(xxhash.Sum64String(i.Name))
		_, _ = d.WriteString(name) // to memory
		return d.Sum64()
	}
	slices.SortFunc(alive, func(a, b members.Info) int { return cmp.Or(cmp.Compare(draw(b), draw(a)), cmp.Compare(a.Name, b.Name)) })
	return alive[:min(len(alive), keepers)]
}

// Ask finds out where other members, or earlier processes of this one, have sent jobs with a
// key. Told is called once, from any goroutine: when the keepers have answered, or after
// keeperTime by what is known.
func (c *Cluster) Ask(name string, told func([]replica.Fact)) {
	c.box.Put(func(c *Cluster) {
		of := c.keepersOf(name)
		finish := func() {
			c.box.Put(func(c *Cluster) {
				told(slices.DeleteFunc(c.store.Fates(name, now()), func(f replica.Fact) bool {
					return f.By == c.cfg.Name && f.Epoch == c.epoch()
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
func (c *Cluster) Tell(f Fate, state replica.State, at, until time.Duration, sum string, then func()) {
	c.box.Put(func(c *Cluster) {
		fact := replica.Fact{Key: replica.Key{Kind: replica.Fate, Name: f.Name, Scope: f.Group}, State: state, At: at.Milliseconds(),
			Until: until.Milliseconds(), By: c.cfg.Name, Epoch: c.epoch(), Sum: sum}
		if was, ok := c.store.Get(fact.Key); ok && was.Until > fact.At {
			fact.At, fact.Until = min(fact.At, was.At), min(fact.Until, was.Until) // the window is the first one's
		}
		out, _, err := c.store.Merge(fact, now())
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

// item is what goes to a keeper: a question or a word.
type item struct {
	ask  string
	tell *replica.Fact
	lazy bool // nobody waits for it
	done func([]replica.Fact, error)
}

// batch is a call's body, and its answer holds the facts for each question.
type batch struct {
	Asks  []string       `json:"asks,omitempty"`
	Tells []replica.Fact `json:"tells,omitempty"`
}

// peer is the actor of another member: one call is under way at a time, and what comes
// meanwhile goes in the next. So the connections between two members stay few however many
// jobs there are.
type peer struct {
	c    *Cluster
	addr string
	box  *mailbox.Box[item]
	end  context.CancelFunc
	mu   sync.Mutex
	held int
}

var errQueue = errors.New("too much waits for this member")

// peer returns a member's actor, and starts it where there is none. The actor's alone.
func (c *Cluster) peer(addr string) *peer {
	if p := c.peers[addr]; p != nil {
		return p
	}
	ctx, end := context.WithCancel(c.ctx)
	p := &peer{c: c, addr: addr, box: mailbox.New[item](), end: end}
	c.peers[addr] = p
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		p.run(ctx)
	}()
	return p
}

// drop ends the actor of a member that is gone. What waited for it is told of by keeperTime.
func (c *Cluster) drop(addr string) {
	if p := c.peers[addr]; p != nil {
		p.end()
		delete(c.peers, addr)
	}
}

func (p *peer) put(i item) {
	p.mu.Lock()
	full := p.held >= mostQueue
	if !full {
		p.held++
	}
	p.mu.Unlock()
	if full {
		i.done(nil, errQueue)
		return
	}
	p.box.Put(i)
}

func (p *peer) run(ctx context.Context) {
	var items []item
	var flush <-chan time.Time // when lazy items go that are alone
	for {
		due := false
		select {
		case <-ctx.Done():
			return
		case <-p.box.Ready():
			items = p.box.Drain(items)
		case <-flush:
			due = true
		}
		if !due && !slices.ContainsFunc(items, func(i item) bool { return !i.lazy }) {
			if flush == nil {
				flush = time.After(lazyFor)
			}
			continue
		}
		for part := range slices.Chunk(items, mostItems) {
			p.send(ctx, part)
		}
		p.mu.Lock()
		p.held -= len(items)
		p.mu.Unlock()
		clear(items)
		items, flush = items[:0], nil
	}
}

func (p *peer) send(ctx context.Context, items []item) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTime))
	defer cancel()
	var b batch
	for _, i := range items {
		if i.tell != nil {
			b.Tells = append(b.Tells, *i.tell)
		} else {
			b.Asks = append(b.Asks, i.ask)
		}
	}
	var got [][]replica.Fact
	err := p.c.call(ctx, p.addr, "/v1/fates", b, &got)
	n := 0
	for _, i := range items {
		var facts []replica.Fact
		if i.tell == nil {
			if n < len(got) {
				facts = got[n]
			}
			n++
		}
		i.done(facts, err)
	}
}

// fates answers another member's batch.
func (c *Cluster) fates(w http.ResponseWriter, r *http.Request) {
	var b batch
	if !read(w, r, &b) {
		return
	}
	if len(b.Asks)+len(b.Tells) > mostItems {
		http.Error(w, "too much at once", http.StatusBadRequest)
		return
	}
	got, ok := ask(r.Context(), c, func(c *Cluster) [][]replica.Fact {
		for _, f := range b.Tells {
			c.take(f)
		}
		out := make([][]replica.Fact, len(b.Asks))
		for i, name := range b.Asks {
			out[i] = c.store.Fates(name, now())
		}
		return out
	})
	if ok {
		reply(w, got)
	}
}
