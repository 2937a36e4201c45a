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
	// minUnpooledTime is how long a worker that broke a pooled connection gets a new
	// one for each attempt. It doubles each time that pooling fails again, up to
	// maxUnpooledTime.
	minUnpooledTime = 15 * time.Second
	maxUnpooledTime = 2 * time.Minute
)

// backend is the actor of one worker. It implements core.Backend.
type backend struct {
	fleet   *Fleet
	log     *logrus.Entry
	worker  decision.WorkerID
	mailbox *mailbox.Box[func(*backend)]

	// Owned by the actor.
	addr          string
	pooled        *http.Transport               // reuses connections
	unpooled      *http.Transport               // opens one for each request
	inFlight      map[core.AttemptRef]*delivery // attempts that the worker has not accepted yet
	openProbes    int
	closed        bool
	unpooledTime  time.Duration // how long connections were last not pooled
	unpooledUntil time.Time     // none are pooled before

	endMu sync.Mutex
	ended bool // the actor has ended
}

// delivery is an attempt on its way to the worker.
type delivery struct {
	cancel   context.CancelFunc
	canceled bool
	confirm  bool // another attempt may follow once the worker knows of the cancellation
}

// result is how the exchange of an attempt ended.
type result struct {
	accepted        bool
	outcome         decision.Outcome // unless accepted
	load            []float32
	pooledConnBroke bool
	ambiguous       bool // the response may be another request's: the worker may have the job
	mayHaveLeft     bool // the last byte may have been sent
	report          core.Delivery
}

// run is the actor's loop.
func (b *backend) run() {
	var mail []func(*backend)
	for ended := false; !ended; {
		<-b.mailbox.Ready()
		mail = b.mailbox.Drain(mail[:0])
		for i, message := range mail {
			message(b)
			mail[i] = nil
		}
		ended = b.closed && len(b.inFlight) == 0 && b.openProbes == 0 && b.tryEnd()
	}
	b.pooled.CloseIdleConnections()
}

// tryEnd ends the actor unless there is mail.
func (b *backend) tryEnd() bool {
	b.endMu.Lock()
	defer b.endMu.Unlock()
	select {
	case <-b.mailbox.Ready():
		b.mailbox.Put(func(*backend) {}) // the loop waits for the signal that was taken here
	default:
		b.ended = true
	}
	return b.ended
}

// post sends the actor a message. Once the actor has ended the caller executes the
// message: jobs that a worker has accepted outlive its place in the list, and are
// recalled all the same.
func (b *backend) post(message func(*backend)) {
	b.endMu.Lock()
	defer b.endMu.Unlock()
	if b.ended {
		message(b)
		return
	}
	b.mailbox.Put(message)
}

// transport returns the transport of the next request.
func (b *backend) transport() *http.Transport {
	if time.Now().Before(b.unpooledUntil) {
		return b.unpooled
	}
	return b.pooled
}

// suspendPooling stops pooling connections for a while. It protects attempts from a
// worker, or something on the way there, that breaks a pooled connection when the
// next request comes: a job written to one may have run, even though it surely did
// not.
func (b *backend) suspendPooling() {
	if time.Now().Before(b.unpooledUntil) {
		return // an attempt that began before
	}
	b.unpooledTime = min(max(2*b.unpooledTime, minUnpooledTime), maxUnpooledTime)
	b.unpooledUntil = time.Now().Add(b.unpooledTime)
	b.pooled.CloseIdleConnections()
	b.log.WithField("for", b.unpooledTime.String()).Info("runner breaks kept connections; hops get new ones")
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

// send starts the exchange of an attempt. Its goroutine ends by the attempt's
// deadline and closeGrace.
func (b *backend) send(a core.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline.Add(closeGrace))
	d := &delivery{cancel: cancel}
	b.inFlight[a.Ref] = d
	transport, addr := b.transport(), b.addr
	go func() {
		res := b.deliver(ctx, transport, addr, a)
		cancel()
		b.post(func(b *backend) { b.handleResult(a, d, res) })
	}()
}

// handleResult is the one place where a delivery ends.
func (b *backend) handleResult(a core.Attempt, d *delivery, res result) {
	delete(b.inFlight, a.Ref)
	if res.pooledConnBroke && !d.canceled {
		b.suspendPooling()
	}
	acceptedMeanwhile := d.canceled && res.accepted
	switch {
	case res.ambiguous, d.confirm && res.mayHaveLeft, acceptedMeanwhile:
		b.recall(a)
	case res.accepted:
		b.fleet.reporter.AttemptAccepted(a.Ref, res.report)
	case d.canceled: // its connection was closed, or it had ended before
		b.fleet.reporter.AttemptRecalled(a.Ref, true)
	default:
		b.fleet.reporter.AttemptEnded(a.Ref, res.outcome, res.load, res.report)
	}
}

// cancelAttempt ends the core's waiting for an attempt: before the worker's 202 by
// closing the connection, after it by recalling the job.
func (b *backend) cancelAttempt(a core.Attempt) {
	if d := b.inFlight[a.Ref]; d != nil {
		d.canceled, d.confirm = true, a.Confirm
		d.cancel()
		return
	}
	b.recall(a)
}
