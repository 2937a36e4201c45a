package ingress

import (
	"context"
	"fmt"
	"time"
)

const (
	// drainQuiet is how long nothing must have come in before the listener closes.
	drainQuiet = 250 * time.Millisecond
	// emptyQuiet is how long no connection must have been open before the listener closes:
	// a client whose request has crossed a close connects anew at once.
	emptyQuiet = 50 * time.Millisecond
	// newConnWait is how long new connections have for their first request.
	newConnWait = drainQuiet / 2
	// drainPoll is the time between two looks at what is open.
	drainPoll = drainQuiet / 25
	// settleTime is how long before the end of a drain the listener closes at the latest:
	// clients that have nowhere else to go connect anew after each response.
	settleTime = 250 * time.Millisecond
	// closeTimeout is how long connections may take to end once their responses are
	// written: net/http's own wait for the client to read, and some more.
	closeTimeout = 600 * time.Millisecond
)

// StopBy sets when the process may be ended. No job that is open or comes from now
// on has a later deadline. A client whose job is rejected loses its connection, and
// so goes elsewhere; all others may still use the connections that they have.
func (f *Front) StopBy(deadline time.Time) {
	f.stopBy.Store(&deadline)
	f.core.StopBy(deadline)
}

// HandOver leaves all jobs to a newer process, also those that come on the
// connections that are open. The caller has closed the listener. It returns when no
// connection is left, when the newer process has ended, or at the deadline; a
// connection that is on its way then has until answered. A kept connection is
// handed over with its next request, not before, so that no request crosses its
// close.
func (f *Front) HandOver(deadline, answered time.Time) {
	f.answerBy.Store(&answered)
	close(f.handingOver)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for f.listener.count() > 0 && time.Now().Before(deadline) && f.peer.Succeeded() {
		<-tick.C
	}
}

// Drain sends clients elsewhere, goes on serving, workers' reports above all, until
// every request has its response, and only then closes the listener.
// Server.Shutdown alone would close it first, and the reports could not come in any
// more. When the context ends it closes what is open, and fails if a request has no
// response then.
//
// Connections close after each response from here on, and idle ones before their
// next request is read, so an open one has a request on it or has just been made.
// Drain ends when none has been open for a moment, or none has begun a request for a
// while.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	quietCtx, cancel := beforeDeadline(ctx, settleTime)
	defer cancel()
	f.awaitQuiet(quietCtx, tick.C)
	for _, c := range f.listener.closeListener() { // connections accepted before are still served
		f.serveAdmitted(c)
	}
	f.adopted.refuse()
	f.awaitClosed(ctx, tick.C)
	_ = f.server.Close() // nothing comes on connections that are still open
	if open := f.activeRequests.Load(); open > 0 {
		return fmt.Errorf("%d requests have no response: %w", open, context.Cause(ctx))
	}
	return nil
}

// beforeDeadline returns a context that ends some time before another one's deadline,
// if that has one.
func beforeDeadline(ctx context.Context, by time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-by))
	}
	return context.WithCancel(ctx)
}

// awaitQuiet waits until no connection has been open for emptyQuiet, or none has begun
// a request for drainQuiet, or the context ends.
func (f *Front) awaitQuiet(ctx context.Context, tick <-chan time.Time) {
	for lastActive, lastOpen := time.Now(), time.Now(); ; {
		partial := f.listener.retireIdle(newConnsSince(lastActive))
		open := f.listener.count()
		if f.activeRequests.Load() > 0 || partial > 0 {
			lastActive = time.Now()
		}
		if open > 0 {
			lastOpen = time.Now()
		}
		if time.Since(lastOpen) >= emptyQuiet || time.Since(lastActive) >= drainQuiet {
			return
		}
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
	}
}

// newConnsSince returns since when new connections must have sent nothing to be
// retired: for newConnWait each, and none while there is activity on others.
func newConnsSince(lastActive time.Time) time.Time {
	if time.Since(lastActive) <= newConnWait {
		return time.Time{}
	}
	return time.Now().Add(-newConnWait)
}

// awaitClosed waits until the requests on the last connections are answered and these
// have ended, or the context ends. net/http keeps a connection half open for half a
// second, so that a response that its client has not read yet is not lost to a reset.
func (f *Front) awaitClosed(ctx context.Context, tick <-chan time.Time) {
	for lastActive := time.Now(); f.listener.count() > 0 && time.Since(lastActive) < closeTimeout; {
		f.listener.retireIdle(newConnsSince(lastActive))
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
