package egress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// acceptTimer cancels the exchange of an attempt if the worker does not respond within
// acceptTimeout. If the response has arrived in time and this process is only late to read it, the
// exchange continues.
type acceptTimer struct {
	conn    *atomic.Pointer[conn]
	cancel  context.CancelFunc // cancels the exchange
	expired atomic.Bool        // the worker has not responded in time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool // the exchange has ended
}

// newAcceptTimer returns a timer that does not run until start is called.
func newAcceptTimer(c *atomic.Pointer[conn], cancel context.CancelFunc) *acceptTimer {
	a := &acceptTimer{conn: c, cancel: cancel}
	a.timer = time.AfterFunc(time.Hour, a.onExpiry)
	a.timer.Stop()
	return a
}

// start starts the timer once the request has been written, unless the exchange has ended: the
// transport may report the write only after the response.
func (a *acceptTimer) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopped {
		a.timer.Reset(acceptTimeout)
	}
}

// stop stops the timer for good at the end of the exchange.
func (a *acceptTimer) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.timer.Stop()
}

// onExpiry cancels the exchange, or restarts the timer if the worker has sent part of the response
// within acceptTimeout or the connection has unread data.
func (a *acceptTimer) onExpiry() {
	if c := a.conn.Load(); c != nil && c.receivedWithin(acceptTimeout) {
		a.start()
		return
	}
	a.expired.Store(true)
	a.cancel()
}
