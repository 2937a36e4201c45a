// Package wakedelay measures how late the goroutines of this process run when the machine is busy.
// It measures the delay of timers; signals are handled about as late, so a process can estimate
// from it how long ago a signal was sent that it has just received.
package wakedelay

import (
	"context"
	"sync"
	"time"
)

const (
	// interval is the time between two measurements.
	interval = 100 * time.Millisecond
	// sampleCount is the number of measurements that count, those of the last five seconds.
	sampleCount = 50
)

// Monitor records the delays that Run measures. Its zero value is ready to use. It is safe for
// concurrent use.
type Monitor struct {
	mu     sync.Mutex
	due    time.Time // when the pending timer should fire; zero if none is pending
	delays [sampleCount]time.Duration
	next   int // index in delays of the next measurement
}

// Run takes measurements until ctx is done.
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

// begin starts a measurement with a timer that is due at the given time.
func (m *Monitor) begin(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// finish completes the measurement when its timer has fired.
func (m *Monitor) finish(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays[m.next] = now.Sub(m.due)
	m.next = (m.next + 1) % sampleCount
	m.due = time.Time{}
}

// Longest returns the longest delay of the last five seconds, including that of a timer that is
// overdue.
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
