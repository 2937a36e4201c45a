package egress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/decision/permit"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/loadreport"
)

const (
	// expiryMargin is subtracted from the time that an attempt states to its worker,
	// because the process may be delayed between computing it and the write. Where
	// little time is left, an eighth of that is subtracted.
	expiryMargin = 50 * time.Millisecond
	// quietTime is how long nothing must have come on a connection before a request,
	// or must come after its response, for that response to be believed where it says
	// that the job did not run. A second response to the request before may come some
	// milliseconds late.
	quietTime = 50 * time.Millisecond
	// bodyTimeout is how long a response's body is read once its status is known; it
	// may never end.
	bodyTimeout = 250 * time.Millisecond
)

// exchange is the exchange of one attempt with a worker, up to the worker's statement
// that it has the job.
type exchange struct {
	attempt    core.Attempt
	log        *logrus.Entry
	body       sentBody
	header     http.Header
	advertised time.Duration // time that is stated to the worker, set in onConnected
	conn       atomic.Pointer[conn]
	acceptance *acceptance

	writeFailed atomic.Bool           // the transport says that it could not write everything
	reused      atomic.Bool           // it goes out on a connection that was used before
	recentData  atomic.Bool           // something came on that connection within quietTime before
	blocked     atomic.Pointer[error] // why it was not started
}

// deliver sends an attempt once and returns whether the worker has accepted it.
// Where a pooled connection could not be used, so that nothing was written, it
// sends on a new one.
func (b *backend) deliver(ctx context.Context, transport *http.Transport, addr string, a core.Attempt) result {
	res, unusable := b.deliverOnce(ctx, transport, addr, a)
	if unusable {
		res, _ = b.deliverOnce(ctx, b.unpooled, addr, a)
	}
	return res
}

// deliverOnce sends an attempt on one connection. Unusable says that a pooled one
// could not be used, so that nothing was written.
func (b *backend) deliverOnce(ctx context.Context, transport *http.Transport, addr string, a core.Attempt) (res result, unusable bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &exchange{attempt: a, log: b.log, body: sentBody{data: a.Job.Body}}
	e.acceptance = newAcceptance(&e.conn, cancel)
	defer e.acceptance.end()
	defer func() {
		if res.report.Reused = e.reused.Load(); e.body.ended.Load() {
			res.report.Bytes = len(a.Job.Body)
			res.mayHaveLeft = e.blocked.Load() == nil
		}
	}()
	if err := permit.Check(a.Permit.Facts(time.Now(), a.Deadline)); err != nil {
		return e.notStarted(err), false // not worth a connection
	}
	req, err := e.request(ctx, addr, b.fleet.cfg.OnSent)
	if err != nil {
		b.log.WithError(err).WithFields(a.Fields()).Error("hop could not be written down")
		return result{outcome: decision.NotSent}, false
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		reason := e.blocked.Load()
		return e.handleError(err), reason != nil && errors.Is(*reason, permit.ErrConnectionUnusable) && e.reused.Load()
	}
	drainBody(resp)
	return e.handleResponse(resp, loadreport.ParseHeader(resp.Header.Get(headerLoad), b.fleet.cfg.Columns)), false
}

// request makes the HTTP request of the attempt.
func (e *exchange) request(ctx context.Context, addr string, onSent func(class int)) (*http.Request, error) {
	a := e.attempt
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: e.onConnected,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			e.writeFailed.Store(info.Err != nil)
			if info.Err == nil {
				e.acceptance.begin()
				onSent(a.Job.Class)
			}
		},
	})
	req, err := newRequest(traced, a.Job.Method, addr, a.Job.Resource)
	if err != nil {
		return nil, err
	}
	// Without GetBody, and with a body that is not NoBody even where it is empty, the
	// transport never sends a request again by itself, not even one with an
	// Idempotency-Key on a connection that turned out dead.
	req.Body, req.ContentLength = &e.body, int64(len(a.Job.Body))
	req.Header[headerID] = []string{a.Job.ID}
	req.Header[headerExpires] = []string{""} // set in onConnected
	if a.Job.Key != "" {
		req.Header[headerKey] = []string{a.Job.Key}
	}
	if a.Parent != "" {
		req.Header[headerParent] = []string{a.Parent}
		if a.State != "" {
			req.Header[headerState] = []string{a.State}
		}
	}
	e.header = req.Header
	return req, nil
}

// onConnected records that the transport has a connection for the attempt. It runs
// before the transport's writer gets the request, so the header may still be set:
// the time that is stated is what remains after the wait for a connection.
func (e *exchange) onConnected(info httptrace.GotConnInfo) {
	e.reused.Store(info.Reused)
	remaining := time.Until(e.attempt.Deadline)
	e.advertised = max(remaining-min(expiryMargin, remaining/8), time.Millisecond)
	e.header[headerExpires][0] = strconv.FormatInt(e.advertised.Milliseconds(), 10)
	c, ok := info.Conn.(*conn)
	if !ok {
		return // can't be: the fleet has dialed it
	}
	e.conn.Store(c)
	e.recentData.Store(c.assign(e.mayStart) < quietTime)
}

// mayStart checks the permit immediately before the attempt's first byte is
// written. Its error, of package permit, stops the write.
func (e *exchange) mayStart() error {
	facts := e.attempt.Permit.Facts(time.Now(), e.attempt.Deadline)
	facts.StatedTime = e.advertised
	facts.ConnectionUnusable = e.conn.Load().unusable()
	err := permit.Check(facts)
	if err != nil {
		e.blocked.Store(&err)
	}
	return err
}

// timedOut reports whether an error is that of a time limit.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// notStarted returns the result of an attempt of which no byte was written.
func (e *exchange) notStarted(err error) result {
	e.log.WithError(err).WithFields(e.attempt.Fields()).Debug("hop was not begun")
	if errors.Is(err, permit.ErrConnectionUnusable) { // the worker's doing
		return result{outcome: decision.ConnectFailed, pooledConnBroke: e.reused.Load()}
	}
	return result{outcome: decision.NotSent}
}

// handleError returns the result of an attempt that got no response.
func (e *exchange) handleError(err error) result {
	if reason := e.blocked.Load(); reason != nil {
		return e.notStarted(*reason)
	}
	if errors.Is(err, errSocketBudget) || errors.Is(err, errLocalDial) {
		return result{outcome: decision.NotSent} // says nothing of the worker
	}
	e.log.WithError(err).WithFields(e.attempt.Fields()).WithField("kept", e.reused.Load()).Debug("hop's connection broke")
	// The job may have run once its last byte may have been sent. The trace may come
	// later than the error, so the body's end counts unless the trace has said that
	// the write failed.
	if !e.body.ended.Load() || e.writeFailed.Load() {
		return result{outcome: decision.ConnectFailed, pooledConnBroke: e.reused.Load(), report: core.Delivery{NoConnection: timedOut(err)}}
	}
	// On a connection that has gone silent nothing would come before the deadline.
	// The transport has closed it, which cancels the attempt. The kernel's own
	// report that a connection has timed out is a break like others.
	if e.acceptance.expired.Load() || timedOut(err) && !errors.Is(err, syscall.ETIMEDOUT) {
		return result{outcome: decision.TimedOut, pooledConnBroke: e.reused.Load()}
	}
	return result{outcome: decision.ConnReset, pooledConnBroke: e.reused.Load()}
}

// handleResponse returns the result of an attempt that got a response.
func (e *exchange) handleResponse(resp *http.Response, load []float32) result {
	if resp.StatusCode == http.StatusAccepted {
		return result{accepted: true}
	}
	if e.attempt.Exclusive && e.recentData.Load() && !resp.Close && !e.conn.Load().staysQuiet(quietTime) {
		// The response may be that of the request before, and what has come now this
		// one's. The attempt is recalled, and may have run.
		e.conn.Load().Close()
		return result{ambiguous: true}
	}
	switch {
	case neverRan(resp):
		return result{outcome: decision.Rejected, load: load}
	case resp.StatusCode/100 == 4:
		// A job that the worker can't use is the client's fault, not the worker's, and
		// no other worker would take it.
		return result{outcome: decision.Unusable}
	default:
		return result{outcome: decision.Errored, load: load}
	}
}

// neverRan reports whether a response says that the job was not started.
func neverRan(resp *http.Response) bool {
	status := resp.StatusCode
	return (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && resp.Header.Get(headerNeverRan) == "1"
}

// drainBody reads a response to its end, so that its connection can be used again,
// and returns the body. If the end does not come within bodyTimeout, it closes the
// connection.
func drainBody(resp *http.Response) []byte {
	timeout := time.AfterFunc(bodyTimeout, func() { resp.Body.Close() })
	defer timeout.Stop()
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxBody+1)) // the status counts also where the body is cut off
	return text
}

// sentBody is a request's body that knows whether all of it was read.
type sentBody struct {
	data  []byte
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.ended.Store(true)
		return n, io.EOF
	}
	return n, nil
}

// Close implements io.Closer. It does nothing.
func (b *sentBody) Close() error { return nil }
