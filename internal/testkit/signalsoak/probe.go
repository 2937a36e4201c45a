package signalsoak

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// Interval is a time interval. A zero Until means that it has not ended.
type Interval struct{ From, Until time.Time }

// Overlap reports whether any of the intervals overlaps with the one between from and until.
func Overlap(intervals []Interval, from, until time.Time) bool {
	for _, i := range intervals {
		if i.From.Before(until) && (i.Until.IsZero() || i.Until.After(from)) {
			return true
		}
	}
	return false
}

// StallProbe measures how much longer than asked the host lets a sleeping goroutine sleep. Tests
// use it to allow for an overloaded host, on which wall-clock durations say nothing about a process
// that was not scheduled. It is safe for concurrent use.
type StallProbe struct {
	mu      sync.Mutex
	samples []sample
}

// sample is one measurement of the probe.
type sample struct {
	at    time.Time
	delay time.Duration // beyond probePause
}

// probePause is the duration of each sleep.
const probePause = 10 * time.Millisecond

// Run takes measurements until the context is canceled.
func (p *StallProbe) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(probePause)
		delay := time.Since(began) - probePause
		p.mu.Lock()
		p.samples = append(p.samples, sample{time.Now(), delay})
		p.mu.Unlock()
	}
}

// LongestSince returns the longest delay that was measured after a time, 0 if there is none.
func (p *StallProbe) LongestSince(from time.Time) (longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.samples) - 1; i >= 0 && p.samples[i].at.After(from); i-- {
		longest = max(longest, p.samples[i].delay)
	}
	return longest
}

// Longest returns the longest delay of all measurements.
func (p *StallProbe) Longest() time.Duration { return p.LongestSince(time.Time{}) }

// CountOutcomes counts a client's requests by HTTP status, or by Ending where there was no complete
// response.
func CountOutcomes(c *Client) map[string]int {
	counts := map[string]int{}
	for _, o := range c.Outcomes {
		if o.Ending != "" {
			counts[string(o.Ending)]++
			continue
		}
		counts[strconv.Itoa(o.Status)]++
	}
	return counts
}
