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
	lookup string
	record *replica.Fact
	lazy   bool // nobody waits for it
	done   func([]replica.Fact, error)
}

// batch is a call's body, and its answer holds the facts for each question.
type batch struct {
	Lookups []string       `json:"asks,omitempty"`
	Records []replica.Fact `json:"tells,omitempty"`
}

// peer is the actor of another member: one call is under way at a time, and what comes
// meanwhile goes in the next. So the connections between two members stay few however many
// jobs there are.
type peer struct {
	c       *Cluster
	addr    string
	mailbox *mailbox.Box[item]
	end     context.CancelFunc
	mu      sync.Mutex
	queued  int
}

var errQueueFull = errors.New("too much waits for this member")

// peer returns a member's actor, and starts it where there is none. The actor's alone.
func (c *Cluster) peer(addr string) *peer {
	if p := c.peers[addr]; p != nil {
		return p
	}
	ctx, end := context.WithCancel(c.ctx)
	p := &peer{c: c, addr: addr, mailbox: mailbox.New[item](), end: end}
	c.peers[addr] = p
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		p.run(ctx)
	}()
	return p
}

// drop ends the actor of a member that is gone. What waited for it is told of by keeperTime.
func (c *Cluster) dropPeer(addr string) {
	if p := c.peers[addr]; p != nil {
		p.end()
		delete(c.peers, addr)
	}
}

func (p *peer) put(i item) {
	p.mu.Lock()
	full := p.queued >= maxQueuedItems
	if !full {
		p.queued++
	}
	p.mu.Unlock()
	if full {
		i.done(nil, errQueueFull)
		return
	}
	p.mailbox.Put(i)
}

func (p *peer) run(ctx context.Context) {
	var items []item
	var flush <-chan time.Time // when lazy items go that are alone
	for {
		due := false
		select {
		case <-ctx.Done():
			return
		case <-p.mailbox.Ready():
			items = p.mailbox.Drain(items)
		case <-flush:
			due = true
		}
		if !due && !slices.ContainsFunc(items, func(i item) bool { return !i.lazy }) {
			if flush == nil {
				flush = time.After(lazyDelay)
			}
			continue
		}
		for part := range slices.Chunk(items, maxBatchItems) {
			p.send(ctx, part)
		}
		p.mu.Lock()
		p.queued -= len(items)
		p.mu.Unlock()
		clear(items)
		items, flush = items[:0], nil
	}
}

func (p *peer) send(ctx context.Context, items []item) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	var b batch
	for _, i := range items {
		if i.record != nil {
			b.Records = append(b.Records, *i.record)
		} else {
			b.Lookups = append(b.Lookups, i.lookup)
		}
	}
	var got [][]replica.Fact
	err := p.c.call(ctx, p.addr, "/v1/fates", b, &got)
	n := 0
	for _, i := range items {
		var facts []replica.Fact
		if i.record == nil {
			if n < len(got) {
				facts = got[n]
			}
			n++
		}
		i.done(facts, err)
	}
}

// fates answers another member's batch.
func (c *Cluster) handleOutcomes(w http.ResponseWriter, r *http.Request) {
	var b batch
	if !readJSON(w, r, &b) {
		return
	}
	if len(b.Lookups)+len(b.Records) > maxBatchItems {
		http.Error(w, "too much at once", http.StatusBadRequest)
		return
	}
	got, ok := query(r.Context(), c, func(c *Cluster) [][]replica.Fact {
		for _, f := range b.Records {
			c.merge(f)
		}
		out := make([][]replica.Fact, len(b.Lookups))
		for i, name := range b.Lookups {
			out[i] = c.store.Outcomes(name, c.now())
		}
		return out
	})
	if ok {
		writeJSON(w, got)
	}
}
