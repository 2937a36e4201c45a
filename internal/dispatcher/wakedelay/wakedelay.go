// Package wakedelay measures how late the goroutines of a process run on a busy machine. A process handles a signal about as
// late as a timer.
package wakedelay

import (
	"context"
	"sync"
	"time"
)

const (
	// interval is the time between two measurements.
	interval = 100 * time.Millisecond
	// remembered is how many measurements count: those of five seconds.
	remembered = 50
)

// Monitor measures while Run runs. Its zero value has measured nothing. It is safe for concurrent use.
type Monitor struct {
	mu     sync.Mutex
	due    time.Time // of the measurement that is under way; zero for none
	delays [remembered]time.Duration
	next   int // place of the next measurement
}

// Run measures until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		m.begin(time.Now().Add(interval))
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			m.finish(time.Now())
		}
	}
}

// begin begins a measurement that ends when a timer fires.
func (m *Monitor) begin(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// finish ends a measurement.
func (m *Monitor) finish(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays[m.next] = now.Sub(m.due)
	m.next = (m.next + 1) % remembered
	m.due = time.Time{}
}

// Longest returns the longest delay of the last five seconds, counting the one that is under way.
func (m *Monitor) Longest(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := time.Duration(0)
	if !m.due.IsZero() {
		longest = max(longest, now.Sub(m.due))
	}
	for _, delay := range m.delays {
		longest = max(longest, delay)
	}
	return longest
}
