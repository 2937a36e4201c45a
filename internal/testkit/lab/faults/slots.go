package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runnerLoad is the number of jobs at a runner with slots, and the queue of those that wait.
type runnerLoad struct {
	taken, running int
	wait           []func()
}

// admit accepts a job at a runner unless its slots and its queue are full. The caller holds s.mu.
func (s *runners) admit(uid string) bool {
	if s.slots == 0 {
		return true
	}
	b := s.loads[uid]
	if b == nil {
		b = &runnerLoad{}
		s.loads[uid] = b
	}
	if b.taken >= s.slots+s.queue {
		s.queueFull++
		return false
	}
	b.taken++
	return true
}

// startWhenFree runs work as soon as the runner has a free slot.
func (s *runners) startWhenFree(uid string, work func()) {
	if s.slots == 0 {
		work()
		return
	}
	s.mu.Lock()
	b := s.loads[uid]
	free := b.running < s.slots
	if free {
		b.running++
	} else {
		b.wait = append(b.wait, work)
	}
	s.mu.Unlock()
	if free {
		work()
	}
}

// release passes the slot of a completed job to the next in the queue.
func (s *runners) release(uid string) {
	if s.slots == 0 {
		return
	}
	s.mu.Lock()
	b := s.loads[uid]
	b.taken--
	var next func()
	if len(b.wait) > 0 {
		next, b.wait = b.wait[0], b.wait[1:]
	} else {
		b.running--
	}
	s.mu.Unlock()
	if next != nil {
		next()
	}
}

// rejectedJobs returns how many jobs were rejected by full queues so far.
func (s *runners) rejectedJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queueFull
}

// Bounds of clients that retry: retries of a job, and outstanding jobs of a client.
const (
	maxRetries     = 4
	maxOutstanding = 2000
)

// others returns the addresses at which a member's client retries refused jobs: all other members.
func (r *scriptRun) others(m *member) (out []string) {
	for _, o := range r.fleet.members {
		if o != m {
			out = append(out, o.clientAddr)
		}
	}
	return out
}

// addresses returns the members' names by their clients' addresses.
func (r *scriptRun) addresses() map[string]string {
	out := map[string]string{}
	for _, m := range r.fleet.members {
		out[m.clientAddr] = m.name
	}
	return out
}

// runOpenLoop sends jobs at random times drawn from a seed, without waiting for earlier ones, until
// ctx ends. Refused jobs are retried at other members. It returns when all jobs have ended.
func (c *client) runOpenLoop(ctx context.Context, rate float64, others []string, seed uint64) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	rng := rand.New(rand.NewPCG(seed, 4))
	places := make(chan struct{}, maxOutstanding)
	at := time.Now()
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		next := time.NewTimer(time.Until(at))
		select {
		case <-ctx.Done():
			next.Stop()
			return
		case <-next.C:
		}
		first, draw := rng.IntN(max(len(others), 1)), rng.Float64()
		select {
		case places <- struct{}{}:
		default:
			c.tally.note(false)
			continue
		}
		jobs.Go(func() {
			defer func() { <-places }()
			c.sendWithRetries(n, others, first, draw)
		})
	}
}

// sendWithRetries sends one job until it is served or maxRetries retries have failed.
func (c *client) sendWithRetries(n int, others []string, first int, draw float64) {
	addr := c.addr
	for try := range maxRetries + 1 {
		status, after := c.sendOnce(addr, fmt.Sprintf("%s.%d-%d", c.nameOf(addr), n, try), try > 0)
		if status == http.StatusOK {
			c.tally.note(true)
			return
		}
		<-time.After(time.Duration(float64(after) * (0.8 + 0.4*draw)))
		if len(others) > 0 {
			addr = others[(first+try)%len(others)]
		}
	}
	c.tally.note(false)
}

// nameOf returns the member at an address. The IDs of its jobs begin with its name.
func (c *client) nameOf(addr string) string {
	if c.memberNames[addr] != "" {
		return c.memberNames[addr]
	}
	return c.member
}

// sendOnce sends a job to an address. It returns the status of the answer, 0 for none, and after
// which delay to retry.
func (c *client) sendOnce(addr, id string, again bool) (status int, after time.Duration) {
	after = 100 * time.Millisecond
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(jobPatience+2*jobSlack))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/render/"+id, strings.NewReader("frames"))
	if err != nil {
		return 0, after
	}
	req.Header.Set("X-Qos", "render")
	req.Header.Set("X-Trace-Id", id)
	req.Header.Set("X-Expires-In-Ms", fmt.Sprint(jobPatience.Milliseconds()))
	if again {
		req.Header.Set("X-Second-Try", "1")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, after
	}
	resp.Body.Close()
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		after = time.Duration(s * float64(time.Second))
	}
	return resp.StatusCode, after
}
