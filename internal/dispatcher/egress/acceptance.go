package egress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// acceptance limits the time until a worker responds to an attempt. Where the response
// has come and this process is late to read it, the attempt goes on.
type acceptance struct {
	conn    *atomic.Pointer[conn]
	cancel  context.CancelFunc // ends the exchange
	expired atomic.Bool        // the worker has said nothing in time

	mu    sync.Mutex
	timer *time.Timer
	ended bool // the exchange is over
}

// newAcceptance makes an acceptance whose time has not begun.
func newAcceptance(c *atomic.Pointer[conn], cancel context.CancelFunc) *acceptance {
	a := &acceptance{conn: c, cancel: cancel}
	a.timer = time.AfterFunc(time.Hour, a.expire)
	a.timer.Stop()
	return a
}

// begin begins the worker's time, once the request was written. The transport may say
// so only after the response.
func (a *acceptance) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.timer.Reset(acceptTimeout)
	}
}

// end ends it with the exchange.
func (a *acceptance) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.timer.Stop()
}

// expire ends the exchange if nothing has come from the worker for acceptTimeout.
func (a *acceptance) expire() {
	if c := a.conn.Load(); c != nil && c.heardWithin(acceptTimeout) {
		a.begin()
		return
	}
	a.expired.Store(true)
	a.cancel()
}
