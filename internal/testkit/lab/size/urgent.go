package size

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frosttide/internal/testkit/lab"
)

const (
	// urgentInterval is the interval between urgent jobs. urgentWork is the run time of an urgent
	// job, and bulkWork that of the others.
	urgentInterval = 250 * time.Millisecond
	urgentWork     = 200 * time.Millisecond
	bulkWork       = 2 * time.Second
	// urgentTimeout is how long an urgent job may wait for its start; its client retries until
	// then.
	urgentTimeout = 8800 * time.Millisecond
	// bulkTimeout is how long clients of other jobs retry.
	bulkTimeout = 10 * time.Second
	// defaultRetryDelay is the retry delay after a refusal without a Retry-After header.
	defaultRetryDelay = 100 * time.Millisecond
	// neverEnds is the run time of a job that a hanging worker accepts and does not report on.
	neverEnds = time.Duration(-1)
	// hangDivisor means that one in so many workers hangs.
	hangDivisor = 10
)

// UrgentPlan holds the parameters of a measurement of how long urgent jobs wait for their start, at
// workers that run one job at a time.
type UrgentPlan struct {
	Binary  string
	Workers int
	Load    float64 // offered load of other jobs, as a fraction of the workers' capacity
	Hang    bool    // a tenth of the workers hang from the middle of the run on
	For     time.Duration
	Seed    uint64
}

// Check returns an error that names the first parameter that is out of range.
func (p UrgentPlan) Check() error {
	switch {
	case p.Workers < hangDivisor || p.Workers > MostWorkers:
		return fmt.Errorf("workers: %d, want %d to %d", p.Workers, hangDivisor, MostWorkers)
	case !(p.Load > 0 && p.Load <= 3):
		return fmt.Errorf("load: %g, want over 0 and up to 3", p.Load)
	case p.Load*float64(p.Workers)*bulkTimeout.Seconds()/bulkWork.Seconds() > maxOpenJobs:
		return fmt.Errorf("load and workers: more than %d clients would retry at the same time", maxOpenJobs)
	case p.For < time.Second || p.For > 10*time.Minute:
		return fmt.Errorf("seconds: %v, want 1 s to 10 min", p.For)
	}
	return nil
}

// Urgent holds the results for the urgent jobs of a run. Delays count from the client's first call
// to the start.
type Urgent struct {
	Load    float64 `json:"load"`
	Hang    bool    `json:"hang"`
	Asked   int64   `json:"asked"`   // urgent jobs submitted
	Started int64   `json:"started"` // within urgentTimeout
	P50     float64 `json:"p50_seconds"`
	P99     float64 `json:"p99_seconds"` // of all jobs; urgentTimeout for late ones
	Most    float64 `json:"most_seconds"`
}

// RunUrgent runs one measurement. An interrupted run returns an error.
func RunUrgent(ctx context.Context, p UrgentPlan) (u Urgent, err error) {
	if err := p.Check(); err != nil {
		return u, err
	}
	addr, err := dispatcherAddress()
	if err != nil {
		return u, err
	}
	f, err := openFleet(Plan{Workers: p.Workers, Work: bulkWork}, addr)
	if err != nil {
		return u, err
	}
	defer f.close()
	s := &slots{busy: map[string]bool{}, hung: map[string]bool{}, started: map[string]time.Time{}}
	f.accept, f.ended = s.accept, s.ended
	dir, err := os.MkdirTemp("", "frosttide-urgent-")
	if err != nil {
		return u, err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, urgentConfig(addr, f.at), 0o600); err != nil {
		return u, err
	}
	d, err := lab.Start(p.Binary, nil, []string{"BALANCER_CONFIG=" + path, "TMPDIR=" + dir, "FROSTTIDE_LOG_LEVEL=warn"})
	if err != nil {
		return u, err
	}
	defer d.Kill()
	if err := d.Await("http://"+addr+"/_health", time.Now().Add(startTimeout)); err != nil {
		return u, fmt.Errorf("%w: %s", err, d.Kill())
	}
	return p.run(ctx, addr, s)
}

// run submits both kinds of jobs until the run's end, and waits for all of them.
func (p UrgentPlan) run(ctx context.Context, addr string, s *slots) (Urgent, error) {
	clients := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenJobs}}
	defer clients.CloseIdleConnections()
	until, stop := context.WithDeadline(ctx, time.Now().Add(p.For))
	defer stop()
	if p.Hang {
		middle := time.AfterFunc(p.For/2, func() { s.hangWorkers(p.Workers / hangDivisor) })
		defer middle.Stop()
	}
	var all sync.WaitGroup
	all.Go(func() {
		rng := rand.New(rand.NewPCG(p.Seed, 1))
		mean := bulkWork.Seconds() / (p.Load * float64(p.Workers))
		generateArrivals(until, func() time.Duration { return time.Duration(rng.ExpFloat64() * mean * float64(time.Second)) }, func(n int) {
			all.Go(func() { submitWithRetry(ctx, clients, addr, "bulk", fmt.Sprintf("b-%d", n), bulkTimeout) })
		})
	})
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	u := Urgent{Load: p.Load, Hang: p.Hang}
	var mu sync.Mutex
	all.Go(func() {
		generateArrivals(until, func() time.Duration { return urgentInterval }, func(n int) {
			all.Go(func() {
				id, startedAt := fmt.Sprintf("u-%d", n), time.Now()
				submitWithRetry(ctx, clients, addr, "urgent", id, urgentTimeout)
				delay, ok := s.startDelay(id, startedAt)
				mu.Lock()
				defer mu.Unlock()
				u.Asked++
				if ok && delay <= urgentTimeout {
					u.Started++
				} else {
					delay = urgentTimeout
				}
				_ = times.RecordValue(max(delay.Microseconds(), 1)) // within its range
			})
		})
	})
	all.Wait()
	if ctx.Err() != nil {
		return u, errors.New("interrupted")
	}
	u.P50, u.P99, u.Most = float64(times.ValueAtQuantile(50))/1e6, float64(times.ValueAtQuantile(99))/1e6, float64(times.Max())/1e6
	return u, nil
}

// generateArrivals calls arrived for each arrival until the context ends. next returns the gap
// before an arrival.
func generateArrivals(ctx context.Context, next func() time.Duration, arrived func(n int)) {
	for n := 0; ; n++ {
		wait := time.NewTimer(next())
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		arrived(n)
	}
}

// submitWithRetry submits a job and retries after refusals, until it has another answer, the call
// fails or the timeout has passed.
func submitWithRetry(ctx context.Context, clients *http.Client, addr, class, id string, timeout time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(timeout))
	defer cancel()
	for {
		wait, retry := submitOnce(ctx, clients, addr, class, id)
		if !retry {
			return
		}
		pause := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}

// submitOnce submits a job once, and returns whether to retry and after which delay.
func submitOnce(ctx context.Context, clients *http.Client, addr, class, id string) (wait time.Duration, retry bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+class+"/clip", strings.NewReader("frames"))
	if err != nil {
		return 0, false
	}
	by, _ := ctx.Deadline()
	req.Header.Set("X-Qos", class)
	req.Header.Set("X-Trace-Id", id)
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(time.Until(by).Milliseconds(), 1), 10))
	resp, err := clients.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return 0, false
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		return time.Duration(seconds * float64(time.Second)), true
	}
	return defaultRetryDelay, true
}

// slots holds the state of workers that run one job at a time.
type slots struct {
	mu      sync.Mutex
	busy    map[string]bool      // by worker
	hung    map[string]bool      // by worker
	started map[string]time.Time // by job: its first start
}

// accept gives a job to a worker, and returns whether it accepts the job and the job's run time. A
// hanging worker accepts every job and never reports on it.
func (s *slots) accept(worker, job string) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hung[worker] {
		return true, neverEnds
	}
	if s.busy[worker] {
		return false, 0
	}
	s.busy[worker] = true
	if _, ok := s.started[job]; !ok {
		s.started[job] = time.Now()
	}
	if strings.HasPrefix(job, "u-") {
		return true, urgentWork
	}
	return true, bulkWork
}

// ended marks a worker as idle.
func (s *slots) ended(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[worker] = false
}

// hangWorkers makes the first n workers hang permanently.
func (s *slots) hangWorkers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.hung[uid(endpoint(i))] = true
	}
}

// startDelay returns how long after from a worker accepted the job, and false if none did.
func (s *slots) startDelay(job string, from time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.started[job]
	return at.Sub(from), ok
}

// urgentConfig returns the dispatcher's configuration with a class of urgent jobs and one of
// others.
func urgentConfig(listen, discovery string) []byte {
	class := func(name string, worth int, timeout time.Duration) string {
		return fmt.Sprintf(`{"name":%q,"effect":"safe","aim":%d,"give-up":%d,"worth":%d}`, name, timeout.Microseconds(), timeout.Microseconds(), worth)
	}
	text := strings.Replace(string(config(Plan{Dispatchers: 1, Work: bulkWork}, listen, discovery)), `"me":1`, `"me":0`, 1)
	before, rest, _ := strings.Cut(text, `"request-classes":[`)
	_, after, _ := strings.Cut(rest, "],")
	return []byte(before + `"request-classes":[` + class("bulk", 1, bulkTimeout) + "," + class("urgent", 20, urgentTimeout) + "]," + after)
}
