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

// item is a request to a holder of outcome records: a lookup or a record.
type item struct {
	lookup string
	record *replica.Fact
	lazy   bool // no job waits for it
	done   func([]replica.Fact, error)
}

// batch is the body of a call; the response holds the facts for each lookup.
type batch struct {
	Lookups []string       `json:"asks,omitempty"`
	Records []replica.Fact `json:"tells,omitempty"`
}

// peer is the actor that calls another member: one call is in progress at a time, and the requests
// of the meantime share the next one. The number of connections between two members is therefore
// independent of the number of jobs.
type peer struct {
	c       *Cluster
	addr    string
	mailbox *mailbox.Box[item]
	end     context.CancelFunc
	mu      sync.Mutex
	queued  int
}

var errQueueFull = errors.New("too much waits for this member")

// peer returns a member's actor, and starts it if there is none. Only the cluster's actor calls
// it.
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

// dropPeer ends the actor of a departed member. Its pending requests run into their time-outs.
func (c *Cluster) dropPeer(addr string) {
	if p := c.peers[addr]; p != nil {
		p.end()
		delete(c.peers, addr)
	}
}

// put queues an item; a full queue fails it with errQueueFull.
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

// run sends the queued items until ctx ends.
func (p *peer) run(ctx context.Context) {
	var items []item
	var flush <-chan time.Time // when a batch of lazy items is sent
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

// send sends items in one call and completes each of them.
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
	answered := 0
	for _, i := range items {
		var facts []replica.Fact
		if i.record == nil {
			if answered < len(got) {
				facts = got[answered]
			}
			answered++
		}
		i.done(facts, err)
	}
}

// handleOutcomes responds to another member's batch.
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
