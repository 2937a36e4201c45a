// Package lab measures the real program on loopback: it starts the program as a process, generates
// load, reads the process's resource usage from /proc, and has the statistics for paired
// comparisons of runs.
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

// Load is an open-loop load generator: it sends each job at its scheduled time, whether or not
// earlier jobs have been answered.
type Load struct {
	Addr    string        // host and port of the dispatcher
	Class   string        // job class
	Rate    float64       // jobs per second on average, with exponential gaps drawn from Seed
	For     time.Duration // length of the measured phase
	Warm    time.Duration // length of the phase before it, whose jobs are not counted
	Patient time.Duration // deadline of each job, from when it is sent
	Seed    uint64
	Most    int    // maximum number of jobs in flight; a job above it counts as not sent
	Name    string // prefix of job IDs, followed by a dot; empty for none
	Keyed   bool   // sends each job with its own idempotency key
}

// Result holds the outcome of a load. Jobs of the warm-up phase are not counted.
type Result struct {
	// Refused counts answers with status 503; Failed counts all other answers but 200, and jobs
	// without an answer.
	Sent, Served, Refused, Failed, NotSent int64
	Times                                  *hdrhistogram.Histogram // of served jobs, in microseconds
}

// Service returns the fraction of jobs that were served, counting those not sent as unserved.
func (r *Result) Service() float64 { return float64(r.Served) / float64(max(r.Sent+r.NotSent, 1)) }

// Quantile returns the response time of served jobs at the percentile q, from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Times.ValueAtQuantile(q)) * time.Microsecond
}

// Run sends the load to the dispatcher. It returns after Warm and For, or when ctx ends, and waits
// for the jobs in flight.
func (l Load) Run(ctx context.Context) *Result {
	r := &Result{Times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 4)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.Most,
		DialContext: (&net.Dialer{}).DialContext}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex // guards the histogram
	var jobs sync.WaitGroup
	var inFlight atomic.Int64
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	startedAt := time.Now()
	at := startedAt
	for i := 0; ; i++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		if at.After(startedAt.Add(l.Warm + l.For)) {
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
		measured := at.After(startedAt.Add(l.Warm))
		if inFlight.Add(1) > int64(l.Most) {
			inFlight.Add(-1)
			if measured {
				atomic.AddInt64(&r.NotSent, 1)
			}
			continue
		}
		id := fmt.Sprintf("l%d-%d", l.Seed, i)
		if l.Name != "" {
			id = l.Name + "." + id
		}
		jobs.Go(func() {
			defer inFlight.Add(-1)
			sentAt := time.Now()
			status := l.send(ctx, client, id)
			took := time.Since(sentAt)
			if !measured {
				return
			}
			atomic.AddInt64(&r.Sent, 1)
			switch status {
			case http.StatusOK:
				atomic.AddInt64(&r.Served, 1)
				mu.Lock()
				_ = r.Times.RecordValue(max(took.Microseconds(), 1)) // Patient is within the range
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

// Client returns a function that sends one job over a shared HTTP client and returns the status of
// the response, 0 if there is none, and a function that closes the client's idle connections.
func (l Load) Client() (submit func(id string) int, closeIdle func()) {
	client := &http.Client{Transport: &http.Transport{}}
	return func(id string) int { return l.send(context.Background(), client, id) }, client.CloseIdleConnections
}

// send sends one job and returns the status of the response, 0 if there is none or its body could
// not be read.
func (l Load) send(ctx context.Context, client *http.Client, id string) int {
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
