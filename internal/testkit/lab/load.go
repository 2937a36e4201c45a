// Package lab measures the real program on loopback: it starts it as a process, puts
// load on it, reads what it used, and compares runs in pairs.
package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load is an open loop: jobs are sent at their times whatever becomes of those before.
type Load struct {
	Addr    string
	Class   string
	Rate    float64       // jobs a second, at times drawn by the seed
	For     time.Duration // counted
	Warm    time.Duration // before that, not counted
	Patient time.Duration // of each client
	Seed    uint64
	Most    int    // jobs under way; a further one counts as not sent
	Name    string // ids begin with it and a dot; empty for none
	Keyed   bool   // each job has a key of its own
}

// Result is what became of a load.
type Result struct {
	Sent, Served, Refused, Failed, NotSent int64
	Times                                  *hdrhistogram.Histogram // of those served, in microseconds
}

// Service returns the share of jobs that were served.
func (r *Result) Service() float64 { return float64(r.Served) / float64(max(r.Sent+r.NotSent, 1)) }

// Quantile returns a quantile of the times of those served, from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Times.ValueAtQuantile(q)) * time.Microsecond
}

// Run puts the load on a dispatcher. It ends at its time, or with the context.
func (l Load) Run(ctx context.Context) *Result {
	r := &Result{Times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 4)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.Most,
		DialContext: (&net.Dialer{}).DialContext}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex // guards the histogram
	var jobs sync.WaitGroup
	var under atomic.Int64
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	began := time.Now()
	at := began
	for i := 0; ; i++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		if at.After(began.Add(l.Warm + l.For)) {
			break
		}
		next := time.NewTimer(time.Until(at))
		select {
		case <-next.C:
		case <-ctx.Done():
			next.Stop()
			jobs.Wait()
			return r
		}
		counts := at.After(began.Add(l.Warm))
		if under.Add(1) > int64(l.Most) {
			under.Add(-1)
			if counts {
				atomic.AddInt64(&r.NotSent, 1)
			}
			continue
		}
		id := fmt.Sprintf("l%d-%d", l.Seed, i)
		if l.Name != "" {
			id = l.Name + "." + id
		}
		jobs.Go(func() {
			defer under.Add(-1)
			sent := time.Now()
			status := l.job(ctx, client, id)
			took := time.Since(sent)
			if !counts {
				return
			}
			atomic.AddInt64(&r.Sent, 1)
			switch status {
			case http.StatusOK:
				atomic.AddInt64(&r.Served, 1)
				mu.Lock()
				_ = r.Times.RecordValue(max(took.Microseconds(), 1)) // the client's patience is within its range
				mu.Unlock()
			case http.StatusServiceUnavailable:
				atomic.AddInt64(&r.Refused, 1)
			default:
				atomic.AddInt64(&r.Failed, 1)
			}
		})
	}
	jobs.Wait()
	return r
}

// Client returns what sends one job after the other and returns the statuses of their
// answers, and what ends it.
func (l Load) Client() (submit func(id string) int, end func()) {
	client := &http.Client{Transport: &http.Transport{}}
	return func(id string) int { return l.job(context.Background(), client, id) }, client.CloseIdleConnections
}

// job sends one job and returns the status of its answer, 0 for none.
func (l Load) job(ctx context.Context, client *http.Client, id string) int {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(l.Patient))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+"/"+l.Class+"/clip", strings.NewReader("frames"))
	if err != nil {
		return 0
	}
	req.Header.Set("X-Qos", l.Class)
	req.Header.Set("X-Trace-Id", id)
	if l.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	req.Header.Set("X-Expires-In-Ms", fmt.Sprint(l.Patient.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20)); err != nil {
		return 0
	}
	return resp.StatusCode
}
