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

// busy is what a runner with slots works on, and what waits there.
type busy struct {
	taken, running int
	wait           []func()
}

// room takes a job in at a runner, unless its slots and its queue are full. The lock is held.
func (s *runners) room(uid string) bool {
	if s.slots == 0 {
		return true
	}
	b := s.at[uid]
	if b == nil {
		b = &busy{}
		s.at[uid] = b
	}
	if b.taken >= s.slots+s.queue {
		s.full++
		return false
	}
	b.taken++
	return true
}

// begin works on a job once there is a slot for it.
func (s *runners) begin(uid string, work func()) {
	if s.slots == 0 {
		work()
		return
	}
	s.mu.Lock()
	b := s.at[uid]
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

// over gives a job's slot to the next.
func (s *runners) over(uid string) {
	if s.slots == 0 {
		return
	}
	s.mu.Lock()
	b := s.at[uid]
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

// turnedAway is how many jobs found no room so far.
func (s *runners) turnedAway() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// The bounds of clients that come again.
const (
	mostAgain = 4
	mostOpen  = 2000
)

// others returns where a member's client goes when it is refused.
func (r *runner) others(m *member) (out []string) {
	for _, o := range r.fleet.members {
		if o != m {
			out = append(out, o.clients)
		}
	}
	return out
}

// addresses returns the members' names by their clients' addresses.
func (r *runner) addresses() map[string]string {
	out := map[string]string{}
	for _, m := range r.fleet.members {
		out[m.clients] = m.name
	}
	return out
}

// open sends jobs at times drawn by a seed, whatever becomes of those before, until the context
// ends. Who is refused comes again when told to, to another member, a few times.
func (c *client) open(ctx context.Context, rate float64, others []string, seed uint64) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	rng := rand.New(rand.NewPCG(seed, 4))
	places := make(chan struct{}, mostOpen)
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
			c.persist(n, others, first, draw)
		})
	}
}

// persist sends one job until it is served or its client has had enough.
func (c *client) persist(n int, others []string, first int, draw float64) {
	addr := c.addr
	for try := range mostAgain + 1 {
		status, after := c.once(addr, fmt.Sprintf("%s.%d-%d", c.nameOf(addr), n, try), try > 0)
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

// nameOf is the member at an address: its jobs' ids begin with its name.
func (c *client) nameOf(addr string) string {
	if c.names[addr] != "" {
		return c.names[addr]
	}
	return c.member
}

// once sends a job to an address and returns the answer's status, 0 for none, and when to come
// again.
func (c *client) once(addr, id string, again bool) (status int, after time.Duration) {
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
