package faults

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// client sends jobs to one member, one after the other, until it is told to end.
type client struct {
	member, addr string
	http         *http.Client
	answers      map[int]int // by status; 0 for a broken connection
	tally        *tally
	late         []late
	every        time.Duration
	names        map[string]string // of the members at other addresses
}

func (c *client) run(ctx context.Context) {
	tick := time.NewTicker(c.every)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.send(ctx, fmt.Sprintf("%s.%d", c.member, n))
	}
}

func (c *client) send(ctx context.Context, id string) {
	began := time.Now()
	status := c.job(ctx, "render", id, "")
	c.answers[status]++
	c.tally.note(status == http.StatusOK)
	if took := time.Since(began); took > jobPatience+jobSlack {
		c.late = append(c.late, late{id, span{began, began.Add(took)}})
	}
}

// span is a stretch of time.
type span struct{ from, till time.Time }

// both returns how long two stretches lie on each other.
func (s span) both(o span) time.Duration {
	from, till := s.from, s.till
	if o.from.After(from) {
		from = o.from
	}
	if o.till.Before(till) {
		till = o.till
	}
	return max(till.Sub(from), 0)
}

// late is a job that had its answer late, or none.
type late struct {
	id string
	span
}

// fault tells whether a job is late for another reason than that its member's process stood
// still for so long: a machine's stall is not the program's fault.
func (l late) fault(stood []span) bool {
	took := l.till.Sub(l.from)
	for _, s := range stood {
		took -= l.both(s)
	}
	return took > jobPatience+jobSlack
}

// job sends a job and returns the status of its answer, 0 for none.
func (c *client) job(ctx context.Context, class, id, key string) int {
	began := time.Now()
	// The call goes on past the run's end, so that every job has its answer or is late.
	call, cancel := context.WithDeadline(context.WithoutCancel(ctx), began.Add(jobPatience+2*jobSlack))
	defer cancel()
	req, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+c.addr+"/"+class+"/"+id, strings.NewReader("frames"))
	if err != nil {
		return 0
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for k, v := range map[string]string{"X-Qos": class, "X-Trace-Id": id, "X-Expires-In-Ms": fmt.Sprint(jobPatience.Milliseconds())} {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
