package cluster

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"frosttide/internal/dispatcher/fleet/replica"
	"frosttide/internal/mailbox"
)

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
			out[i] = c.store.Fates(name, c.now())
		}
		return out
	})
	if ok {
		reply(w, got)
	}
}
