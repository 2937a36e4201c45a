package ingress

import (
	"context"
	"fmt"
	"time"
)

const (
	// drainQuietPeriod is how long no request may have been active before a drain closes the
	// listener.
	drainQuietPeriod = 250 * time.Millisecond
	// emptyQuietPeriod is how long no connection may have been open before a drain closes the
	// listener: a client whose request crossed the close of its connection reconnects at once.
	emptyQuietPeriod = 50 * time.Millisecond
	// newConnGrace is how long a drain waits for the first request on a new connection.
	newConnGrace = drainQuietPeriod / 2
	// drainPollInterval is the interval at which a drain checks connections and requests.
	drainPollInterval = drainQuietPeriod / 25
	// listenerCloseMargin is how long before the deadline of a drain the listener is closed at
	// the latest: clients that have no other dispatcher reconnect after each response, so
	// waiting for a quiet period alone might never end.
	listenerCloseMargin = 250 * time.Millisecond
	// closeTimeout is how long connections may take to close after their last response: the
	// half second for which net/http waits for the client to read, plus a margin.
	closeTimeout = 600 * time.Millisecond
)

// StopBy sets the time by which the process may be terminated. The deadlines of open and new
// jobs are limited to it. From now on the connection of a client whose job is rejected is
// closed, so that the client retries at another dispatcher; other connections stay usable.
func (f *Front) StopBy(deadline time.Time) {
	f.stopBy.Store(&deadline)
	f.core.StopBy(deadline)
}

// HandOver transfers all open jobs to a newer process, and those that still arrive on open
// connections. The caller has closed the listener. HandOver returns when no connection is
// left, when the newer process has ended, or at the deadline; transfers that are in progress
// then may take until answerBy. An idle kept-alive connection is transferred with its next
// request, not before, so that no request crosses the close of its connection.
func (f *Front) HandOver(deadline, answerBy time.Time) {
	f.answerBy.Store(&answerBy)
	close(f.handingOver)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for f.listener.count() > 0 && time.Now().Before(deadline) && f.peer.SuccessorServes() {
		<-tick.C
	}
}

// Drain shuts the server down gracefully. It keeps serving requests, above all workers'
// reports, until every request has its response, and only then closes the listener.
// http.Server.Shutdown would close the listener first, so that workers could not report any
// more. When the context ends, Drain closes all remaining connections, and returns an error
// if a request has no response by then.
//
// While draining, each response closes its connection, and idle connections are closed before
// the next request is read, so an open connection either has a request on it or is new. The
// listener is closed when no connection has been open for emptyQuietPeriod, when no request
// has been active for drainQuietPeriod, or listenerCloseMargin before the context's deadline.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	quietCtx, cancel := withEarlierDeadline(ctx, listenerCloseMargin)
	defer cancel()
	f.awaitQuiet(quietCtx, tick.C)
	for _, c := range f.listener.closeListener() { // accepted by the kernel before the close
		f.serveAdmitted(c)
	}
	f.adopted.refuse()
	f.awaitConnsClosed(ctx, tick.C)
	_ = f.server.Close() // the remaining connections have no request, or the context has ended
	if open := f.activeRequests.Load(); open > 0 {
		return fmt.Errorf("%d requests have no response: %w", open, context.Cause(ctx))
	}
	return nil
}

// withEarlierDeadline returns a child context that ends margin before its parent's deadline,
// if the parent has one.
func withEarlierDeadline(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-margin))
	}
	return context.WithCancel(ctx)
}

// awaitQuiet waits until no connection has been open for emptyQuietPeriod, or no request has
// been active for drainQuietPeriod, or the context ends.
func (f *Front) awaitQuiet(ctx context.Context, tick <-chan time.Time) {
	for lastActive, lastOpen := time.Now(), time.Now(); ; {
		partial := f.listener.retireIdle(newConnCutoff(lastActive))
		open := f.listener.count()
		if f.activeRequests.Load() > 0 || partial > 0 {
			lastActive = time.Now()
		}
		if open > 0 {
			lastOpen = time.Now()
		}
		if time.Since(lastOpen) >= emptyQuietPeriod || time.Since(lastActive) >= drainQuietPeriod {
			return
		}
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
	}
}

// newConnCutoff returns the time before which a connection must have been opened to be retired
// if it has sent nothing: newConnGrace ago. While other connections have been active within
// newConnGrace it returns the zero time, so that no new connection is retired.
func newConnCutoff(lastActive time.Time) time.Time {
	if time.Since(lastActive) <= newConnGrace {
		return time.Time{}
	}
	return time.Now().Add(-newConnGrace)
}

// awaitConnsClosed waits until the last requests are answered and all connections are closed,
// at most closeTimeout after the last request, or until the context ends. net/http keeps a
// connection half open for half a second, so that a reset does not discard a response that
// the client has not read yet.
func (f *Front) awaitConnsClosed(ctx context.Context, tick <-chan time.Time) {
	for lastActive := time.Now(); f.listener.count() > 0 && time.Since(lastActive) < closeTimeout; {
		f.listener.retireIdle(newConnCutoff(lastActive))
		if f.activeRequests.Load() > 0 {
			lastActive = time.Now()
		}
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
	}
}
