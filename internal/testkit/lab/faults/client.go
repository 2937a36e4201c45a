package faults

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// client sends jobs to one member until it is stopped.
type client struct {
	member, addr string
	http         *http.Client
	answers      map[int]int // by status; 0 for no answer
	tally        *tally
	late         []lateJob
	every        time.Duration
	memberNames  map[string]string // members' names by their clients' addresses
}

// run sends jobs one after the other, at intervals of c.every, until ctx ends.
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

// send sends a job of class render and records its outcome, and whether its answer was late.
func (c *client) send(ctx context.Context, id string) {
	began := time.Now()
	status := c.job(ctx, "render", id, "")
	c.answers[status]++
	c.tally.note(status == http.StatusOK)
	if took := time.Since(began); took > jobPatience+jobSlack {
		c.late = append(c.late, lateJob{id, span{began, began.Add(took)}})
	}
}

// span is a period of time.
type span struct{ from, until time.Time }

// overlap returns for how long two periods overlap.
func (s span) overlap(o span) time.Duration {
	from, till := s.from, s.until
	if o.from.After(from) {
		from = o.from
	}
	if o.until.Before(till) {
		till = o.until
	}
	return max(till.Sub(from), 0)
}

// lateJob is a job whose answer came late or not at all.
type lateJob struct {
	id string
	span
}

// exceedsPatience reports whether a job is late even without the time during which its member's
// process was stalled: a stall of the machine is not a fault of the program.
func (l lateJob) exceedsPatience(stalls []span) bool {
	took := l.until.Sub(l.from)
	for _, s := range stalls {
		took -= l.overlap(s)
	}
	return took > jobPatience+jobSlack
}

// job sends a job and returns the status of its answer, 0 for none.
func (c *client) job(ctx context.Context, class, id, key string) int {
	began := time.Now()
	// The call outlives ctx, so that every job is either answered or counted as late.
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
