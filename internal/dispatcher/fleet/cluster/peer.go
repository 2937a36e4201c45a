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

// outcomeRequest is a request to a holder of outcome records: to look up a key's records, or to
// store one.
type outcomeRequest struct {
	lookup string
	record *replica.Fact
	lazy   bool // no job waits for it, so it may be delayed by lazyDelay
	done   func([]replica.Fact, error)
}

// batch is the body of a call; the response holds the facts for each lookup, in their order.
type batch struct {
	Lookups []string       `json:"asks,omitempty"`
	Records []replica.Fact `json:"tells,omitempty"`
}

// peer is the actor that calls another member. One call is in progress at a time, and requests that
// arrive meanwhile are batched into the next one. The number of connections between two members is
// therefore independent of the number of jobs.
type peer struct {
	c       *Cluster
	addr    string
	mailbox *mailbox.Box[outcomeRequest]
	cancel  context.CancelFunc
	mu      sync.Mutex
	queued  int
}

// errQueueFull is the error of requests to a member whose queue is full.
var errQueueFull = errors.New("too many requests are queued for this member")

// peer returns the actor that calls the member at an address, and starts it if there is none. Only
// the cluster's actor calls it.
func (c *Cluster) peer(addr string) *peer {
	if p := c.peers[addr]; p != nil {
		return p
	}
	ctx, cancel := context.WithCancel(c.ctx)
	p := &peer{c: c, addr: addr, mailbox: mailbox.New[outcomeRequest](), cancel: cancel}
	c.peers[addr] = p
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		p.run(ctx)
	}()
	return p
}

// dropPeer ends the actor of a departed member. Its queued requests are not completed: those who
// wait for them proceed after their time-outs.
func (c *Cluster) dropPeer(addr string) {
	if p := c.peers[addr]; p != nil {
		p.cancel()
		delete(c.peers, addr)
	}
}

// put queues a request; if the queue is full, the request fails with errQueueFull.
func (p *peer) put(r outcomeRequest) {
	p.mu.Lock()
	full := p.queued >= maxQueuedRequests
	if !full {
		p.queued++
	}
	p.mu.Unlock()
	if full {
		r.done(nil, errQueueFull)
		return
	}
	p.mailbox.Put(r)
}

// run sends the queued requests until ctx ends.
func (p *peer) run(ctx context.Context) {
	var requests []outcomeRequest
	var flushLazy <-chan time.Time // set while only lazy requests are queued
	for {
		due := false
		select {
		case <-ctx.Done():
			return
		case <-p.mailbox.Ready():
			requests = p.mailbox.Drain(requests)
		case <-flushLazy:
			due = true
		}
		if !due && !slices.ContainsFunc(requests, func(r outcomeRequest) bool { return !r.lazy }) {
			if flushLazy == nil {
				flushLazy = time.After(lazyDelay)
			}
			continue
		}
		for chunk := range slices.Chunk(requests, maxBatchRequests) {
			p.send(ctx, chunk)
		}
		p.mu.Lock()
		p.queued -= len(requests)
		p.mu.Unlock()
		clear(requests)
		requests, flushLazy = requests[:0], nil
	}
}

// send sends requests in one call and completes each of them.
func (p *peer) send(ctx context.Context, requests []outcomeRequest) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	var b batch
	for _, r := range requests {
		if r.record != nil {
			b.Records = append(b.Records, *r.record)
		} else {
			b.Lookups = append(b.Lookups, r.lookup)
		}
	}
	var responses [][]replica.Fact
	err := p.c.call(ctx, p.addr, "/v1/fates", b, &responses)
	lookups := 0
	for _, r := range requests {
		var facts []replica.Fact
		if r.record == nil {
			if lookups < len(responses) {
				facts = responses[lookups]
			}
			lookups++
		}
		r.done(facts, err)
	}
}

// handleOutcomes stores the records of another member's batch and responds to its lookups.
func (c *Cluster) handleOutcomes(w http.ResponseWriter, r *http.Request) {
	var b batch
	if !readJSON(w, r, &b) {
		return
	}
	if len(b.Lookups)+len(b.Records) > maxBatchRequests {
		http.Error(w, "too much at once", http.StatusBadRequest)
		return
	}
	response, ok := query(r.Context(), c, func(c *Cluster) [][]replica.Fact {
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
		writeJSON(w, response)
	}
}
