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
	// urgentEvery is how far apart urgent jobs come, urgentWork how long each runs and bulkWork the others.
	urgentEvery = 250 * time.Millisecond
	urgentWork  = 200 * time.Millisecond
	bulkWork    = 2 * time.Second
	// urgentTime is how long urgent work may wait for its start; its clients come again until then.
	urgentTime = 8800 * time.Millisecond
	// bulkTime is for how long clients of other work come again.
	bulkTime = 10 * time.Second
	// againAfter is how long a refused client stays away that was not told when to come again.
	againAfter = 100 * time.Millisecond
	// never is the work of a job that a worker takes and says no more of.
	never = time.Duration(-1)
	// lostPart is one of how many workers hangs.
	lostPart = 10
)

// UrgentPlan measures how long urgent work waits for its start at workers that hold one job each.
type UrgentPlan struct {
	Binary  string
	Workers int
	Load    float64 // other work that comes, of all that the workers can do
	Hang    bool    // a tenth of the workers stand still from the middle on
	For     time.Duration
	Seed    uint64
}

// Check tells what is wrong with a plan.
func (p UrgentPlan) Check() error {
	switch {
	case p.Workers < lostPart || p.Workers > MostWorkers:
		return fmt.Errorf("workers: %d, want %d to %d", p.Workers, lostPart, MostWorkers)
	case !(p.Load > 0 && p.Load <= 3):
		return fmt.Errorf("load: %g, want over 0 and up to 3", p.Load)
	case p.Load*float64(p.Workers)*bulkTime.Seconds()/bulkWork.Seconds() > mostOpen:
		return fmt.Errorf("load and workers: more than %d clients would come again at once", mostOpen)
	case p.For < time.Second || p.For > 10*time.Minute:
		return fmt.Errorf("seconds: %v, want 1 s to 10 min", p.For)
	}
	return nil
}

// Urgent is what became of the urgent work.
type Urgent struct {
	Load    float64 `json:"load"`
	Hang    bool    `json:"hang"`
	Asked   int64   `json:"asked"`
	Started int64   `json:"started"` // in time
	P50     float64 `json:"p50_seconds"`
	P99     float64 `json:"p99_seconds"` // of all that were asked for; urgentTime for those that never started
	Most    float64 `json:"most_seconds"`
}

// RunUrgent measures once.
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
	f.takes, f.ended = s.takes, s.ended
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
	if err := d.Await("http://"+addr+"/_health", time.Now().Add(startTime)); err != nil {
		return u, fmt.Errorf("%w: %s", err, d.Kill())
	}
	return p.play(ctx, addr, s)
}

// play sends both kinds of work and waits for the urgent.
func (p UrgentPlan) play(ctx context.Context, addr string, s *slots) (Urgent, error) {
	clients := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostOpen}}
	defer clients.CloseIdleConnections()
	until, stop := context.WithDeadline(ctx, time.Now().Add(p.For))
	defer stop()
	if p.Hang {
		middle := time.AfterFunc(p.For/2, func() { s.hang(p.Workers / lostPart) })
		defer middle.Stop()
	}
	var all sync.WaitGroup
	all.Go(func() {
		rng := rand.New(rand.NewPCG(p.Seed, 1))
		mean := bulkWork.Seconds() / (p.Load * float64(p.Workers))
		comes(until, func() time.Duration { return time.Duration(rng.ExpFloat64() * mean * float64(time.Second)) }, func(n int) {
			all.Go(func() { ask(ctx, clients, addr, "bulk", fmt.Sprintf("b-%d", n), bulkTime) })
		})
	})
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	u := Urgent{Load: p.Load, Hang: p.Hang}
	var mu sync.Mutex
	all.Go(func() {
		comes(until, func() time.Duration { return urgentEvery }, func(n int) {
			all.Go(func() {
				id, began := fmt.Sprintf("u-%d", n), time.Now()
				ask(ctx, clients, addr, "urgent", id, urgentTime)
				took, ok := s.since(id, began)
				mu.Lock()
				defer mu.Unlock()
				u.Asked++
				if ok && took <= urgentTime {
					u.Started++
				} else {
					took = urgentTime
				}
				_ = times.RecordValue(max(took.Microseconds(), 1)) // within its range
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

// comes calls a function for each arrival until the context ends.
func comes(ctx context.Context, next func() time.Duration, arrived func(n int)) {
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

// ask sends a job, again when its refusal says, until it has an answer or its time is over.
func ask(ctx context.Context, clients *http.Client, addr, class, id string, within time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(within))
	defer cancel()
	for {
		wait, again := try(ctx, clients, addr, class, id)
		if !again {
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

// try sends a job once, and tells whether to come again, and when.
func try(ctx context.Context, clients *http.Client, addr, class, id string) (wait time.Duration, again bool) {
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
	return againAfter, true
}

// slots are workers that hold one job each.
type slots struct {
	mu      sync.Mutex
	busy    map[string]bool
	hung    map[string]bool
	started map[string]time.Time
}

// takes gives a worker a job if it has room. One that stands still takes any and says no more.
func (s *slots) takes(worker, job string) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hung[worker] {
		return true, never
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

func (s *slots) ended(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[worker] = false
}

// hang has the first workers stand still for good.
func (s *slots) hang(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.hung[uid(endpoint(i))] = true
	}
}

// since returns how long after a moment a job was taken by a worker.
func (s *slots) since(job string, from time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.started[job]
	return at.Sub(from), ok
}

// urgentConfig is the dispatcher's, with a class of urgent work beside another.
func urgentConfig(listen, discovery string) []byte {
	class := func(name string, worth int, within time.Duration) string {
		return fmt.Sprintf(`{"name":%q,"effect":"safe","aim":%d,"give-up":%d,"worth":%d}`, name, within.Microseconds(), within.Microseconds(), worth)
	}
	text := strings.Replace(string(config(Plan{Dispatchers: 1, Work: bulkWork}, listen, discovery)), `"me":1`, `"me":0`, 1)
	before, rest, _ := strings.Cut(text, `"request-classes":[`)
	_, after, _ := strings.Cut(rest, "],")
	return []byte(before + `"request-classes":[` + class("bulk", 1, bulkTime) + "," + class("urgent", 20, urgentTime) + "]," + after)
}
