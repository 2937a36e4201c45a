package egress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/mailbox"
)

const (
	// minUnpooledPeriod is how long each attempt uses a new connection after a pooled connection
	// to the worker has failed. It doubles each time that pooling fails again, up to
	// maxUnpooledPeriod.
	minUnpooledPeriod = 15 * time.Second
	maxUnpooledPeriod = 2 * time.Minute
)

// backend is the actor that talks to one worker. It implements core.Backend.
type backend struct {
	fleet   *Fleet
	log     *logrus.Entry
	worker  decision.WorkerID
	mailbox *mailbox.Box[func(*backend)]

	// Accessed only by the actor.
	addr           string
	pooled         *http.Transport                      // keeps connections alive and reuses them
	unpooled       *http.Transport                      // opens a connection for each request
	inFlight       map[core.AttemptRef]*inFlightAttempt // attempts whose exchange has not ended
	openProbes     int
	closed         bool          // Close was called; the actor ends with its last attempt and probe
	unpooledPeriod time.Duration // length of the current or last period without pooling
	unpooledUntil  time.Time     // end of that period

	stopMu  sync.Mutex
	stopped bool // the actor has ended; post then executes messages itself
}

// inFlightAttempt is an attempt whose exchange with the worker has not ended.
type inFlightAttempt struct {
	cancel        context.CancelFunc
	canceled      bool
	confirmCancel bool // the worker must learn of the cancellation, as another attempt may follow
}

// result is the outcome of an exchange.
type result struct {
	accepted          bool
	outcome           decision.Outcome // set unless accepted
	load              []float32
	pooledConnFailed  bool
	ambiguousResponse bool // it may answer the previous request; the worker may have the job
	mayHaveBeenSent   bool // all bytes of the request may have been sent
	report            core.Delivery
}

// run executes the messages of the mailbox until the backend is closed and no attempt, probe or
// message is left.
func (b *backend) run() {
	var messages []func(*backend)
	for stopped := false; !stopped; {
		<-b.mailbox.Ready()
		messages = b.mailbox.Drain(messages[:0])
		for i, message := range messages {
			message(b)
			messages[i] = nil
		}
		stopped = b.closed && len(b.inFlight) == 0 && b.openProbes == 0 && b.tryStop()
	}
	b.pooled.CloseIdleConnections()
}

// tryStop marks the actor as ended unless its mailbox has messages. It reports whether it did.
func (b *backend) tryStop() bool {
	b.stopMu.Lock()
	defer b.stopMu.Unlock()
	select {
	case <-b.mailbox.Ready():
		b.mailbox.Put(func(*backend) {}) // run waits for the signal that was received here
	default:
		b.stopped = true
	}
	return b.stopped
}

// post sends a message to the actor. Once the actor has ended, the caller's goroutine executes the
// message: a job that the worker has accepted may still be recalled after the worker was removed
// from the list.
func (b *backend) post(message func(*backend)) {
	b.stopMu.Lock()
	defer b.stopMu.Unlock()
	if b.stopped {
		message(b)
		return
	}
	b.mailbox.Put(message)
}

// transport returns the transport to use for the next request.
func (b *backend) transport() *http.Transport {
	if time.Now().Before(b.unpooledUntil) {
		return b.unpooled
	}
	return b.pooled
}

// suspendPooling stops the reuse of connections for unpooledPeriod. It protects attempts from a
// worker or middlebox that closes a pooled connection when the next request arrives: a job whose
// request was written to such a connection counts as possibly run, although it did not run.
func (b *backend) suspendPooling() {
	if time.Now().Before(b.unpooledUntil) {
		return // the attempt started before pooling was suspended
	}
	b.unpooledPeriod = min(max(2*b.unpooledPeriod, minUnpooledPeriod), maxUnpooledPeriod)
	b.unpooledUntil = time.Now().Add(b.unpooledPeriod)
	b.pooled.CloseIdleConnections()
	b.log.WithField("for", b.unpooledPeriod.String()).Info("runner breaks kept connections; each attempt gets a new one")
}

// Send implements core.Backend.
func (b *backend) Send(a core.Attempt) { b.post(func(b *backend) { b.send(a) }) }

// Cancel implements core.Backend.
func (b *backend) Cancel(a core.Attempt) { b.post(func(b *backend) { b.cancelAttempt(a) }) }

// Close implements core.Backend.
func (b *backend) Close() { b.post(func(b *backend) { b.closed = true }) }

// SetAddress implements core.Backend.
func (b *backend) SetAddress(addr string) {
	b.post(func(b *backend) {
		b.addr = addr
		b.pooled.CloseIdleConnections()
	})
}

// Probe implements core.Backend.
func (b *backend) Probe(deadline time.Time) {
	b.post(func(b *backend) {
		b.openProbes++
		go b.probe(b.transport(), b.addr, deadline)
	})
}

// send starts the exchange of an attempt. Its goroutine ends at the latest closeGrace after the
// attempt's deadline.
func (b *backend) send(a core.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline.Add(closeGrace))
	f := &inFlightAttempt{cancel: cancel}
	b.inFlight[a.Ref] = f
	transport, addr := b.transport(), b.addr
	go func() {
		res := b.deliver(ctx, transport, addr, a)
		cancel()
		b.post(func(b *backend) { b.handleResult(a, f, res) })
	}()
}

// handleResult removes an attempt whose exchange has ended and reports its result to the core.
// Every exchange ends here.
func (b *backend) handleResult(a core.Attempt, f *inFlightAttempt, res result) {
	delete(b.inFlight, a.Ref)
	if res.pooledConnFailed && !f.canceled {
		b.suspendPooling()
	}
	acceptedDespiteCancel := f.canceled && res.accepted
	switch {
	case res.ambiguousResponse, f.confirmCancel && res.mayHaveBeenSent, acceptedDespiteCancel:
		b.recall(a)
	case res.accepted:
		b.fleet.reporter.AttemptAccepted(a.Ref, res.report)
	case f.canceled: // its connection was closed, or its exchange had failed before
		b.fleet.reporter.AttemptRecalled(a.Ref, true)
	default:
		b.fleet.reporter.AttemptEnded(a.Ref, res.outcome, res.load, res.report)
	}
}

// cancelAttempt cancels an attempt: before the worker's 202 by closing the connection, after it by
// recalling the job.
func (b *backend) cancelAttempt(a core.Attempt) {
	if f := b.inFlight[a.Ref]; f != nil {
		f.canceled, f.confirmCancel = true, a.Confirm
		f.cancel()
		return
	}
	b.recall(a)
}
