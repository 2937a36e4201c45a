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
	// expiryMargin is subtracted from the remaining time that an attempt states to its worker, as
	// the process may be delayed between the computation and the write. If an eighth of the
	// remaining time is less, that is subtracted instead.
	expiryMargin = 50 * time.Millisecond
	// quietPeriod is the time without received data, before a request or after its response, that
	// is required to trust a response to an exclusive attempt other than 202. A second response to
	// the previous request may arrive some milliseconds late and be taken for this request's.
	quietPeriod = 50 * time.Millisecond
	// bodyTimeout limits reading a response's body after the status is known, as the body may never
	// end.
	bodyTimeout = 250 * time.Millisecond
)

// exchange is the HTTP exchange of one attempt with a worker, up to the worker's response that it
// has or has not accepted the job.
type exchange struct {
	attempt     core.Attempt
	log         *logrus.Entry
	body        trackedBody
	header      http.Header
	statedTime  time.Duration // remaining time that is stated to the worker; set in onGotConn
	conn        atomic.Pointer[conn]
	acceptTimer *acceptTimer

	writeFailed  atomic.Bool           // the transport reports that writing the request failed
	reused       atomic.Bool           // the connection was used before
	recentlyRead atomic.Bool           // data was received within quietPeriod before the assignment
	permitErr    atomic.Pointer[error] // why the permit stopped the write; nil if it did not
}

// deliver sends an attempt and returns the result. If a pooled connection turned out unusable
// before anything was written, it sends the attempt on a new connection.
func (b *backend) deliver(ctx context.Context, transport *http.Transport, addr string, a core.Attempt) result {
	res, unusable := b.deliverOnce(ctx, transport, addr, a)
	if unusable {
		res, _ = b.deliverOnce(ctx, b.unpooled, addr, a)
	}
	return res
}

// deliverOnce sends an attempt on one connection. unusable reports that a pooled connection turned
// out unusable before anything was written.
func (b *backend) deliverOnce(ctx context.Context, transport *http.Transport, addr string, a core.Attempt) (res result, unusable bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &exchange{attempt: a, log: b.log, body: trackedBody{data: a.Job.Body}}
	e.acceptTimer = newAcceptTimer(&e.conn, cancel)
	defer e.acceptTimer.stop()
	defer func() {
		if res.report.Reused = e.reused.Load(); e.body.fullyRead.Load() {
			res.report.Bytes = len(a.Job.Body)
			res.mayHaveBeenSent = e.permitErr.Load() == nil
		}
	}()
	if err := permit.Check(a.Permit.Facts(time.Now(), a.Deadline)); err != nil {
		return e.notStartedResult(err), false // saves opening a connection
	}
	req, err := e.request(ctx, addr, b.fleet.cfg.OnSent)
	if err != nil {
		b.log.WithError(err).WithFields(a.Fields()).Error("could not create the request of an attempt")
		return result{outcome: decision.NotSent}, false
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		reason := e.permitErr.Load()
		return e.handleError(err), reason != nil && errors.Is(*reason, permit.ErrConnectionUnusable) && e.reused.Load()
	}
	drainBody(resp)
	return e.handleResponse(resp, loadreport.ParseHeader(resp.Header.Get(headerLoad), b.fleet.cfg.Columns)), false
}

// request returns the HTTP request of the attempt. onSent is called with the job's class once the
// whole request has been written.
func (e *exchange) request(ctx context.Context, addr string, onSent func(class int)) (*http.Request, error) {
	a := e.attempt
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: e.onGotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			e.writeFailed.Store(info.Err != nil)
			if info.Err == nil {
				e.acceptTimer.start()
				onSent(a.Job.Class)
			}
		},
	})
	req, err := newRequest(tracedCtx, a.Job.Method, addr, a.Job.Resource)
	if err != nil {
		return nil, err
	}
	// Without GetBody, and with a body other than NoBody even if it is empty, the transport never
	// retries a request by itself, not even one with an Idempotency-Key on a pooled connection that
	// turned out to be closed.
	req.Body, req.ContentLength = &e.body, int64(len(a.Job.Body))
	req.Header[headerTraceID] = []string{a.Job.ID}
	req.Header[headerExpires] = []string{""} // set in onGotConn
	if a.Job.Key != "" {
		req.Header[headerIdempotencyKey] = []string{a.Job.Key}
	}
	if a.Parent != "" {
		req.Header[headerTraceparent] = []string{a.Parent}
		if a.State != "" {
			req.Header[headerTracestate] = []string{a.State}
		}
	}
	e.header = req.Header
	return req, nil
}

// onGotConn assigns the connection that the transport has chosen to the attempt and sets the header
// of the remaining time, so that the stated time excludes the wait for a connection. The header may
// still be set because the trace hook runs before the transport's writer gets the request.
func (e *exchange) onGotConn(info httptrace.GotConnInfo) {
	e.reused.Store(info.Reused)
	remaining := time.Until(e.attempt.Deadline)
	e.statedTime = max(remaining-min(expiryMargin, remaining/8), time.Millisecond)
	e.header[headerExpires][0] = strconv.FormatInt(e.statedTime.Milliseconds(), 10)
	c, ok := info.Conn.(*conn)
	if !ok {
		return // does not occur: every connection comes from Fleet.dial
	}
	e.conn.Store(c)
	e.recentlyRead.Store(c.assign(e.checkPermit) < quietPeriod)
}

// checkPermit checks the attempt's permit immediately before its first byte is written. An error,
// which is one of package permit, stops the write.
func (e *exchange) checkPermit() error {
	facts := e.attempt.Permit.Facts(time.Now(), e.attempt.Deadline)
	facts.StatedTime = e.statedTime
	facts.ConnectionUnusable = e.conn.Load().unusable()
	err := permit.Check(facts)
	if err != nil {
		e.permitErr.Store(&err)
	}
	return err
}

// isTimeout reports whether an error is a net.Error for a timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// notStartedResult returns the result of an attempt that its permit stopped before the first byte
// was written.
func (e *exchange) notStartedResult(err error) result {
	e.log.WithError(err).WithFields(e.attempt.Fields()).Debug("attempt not started")
	if errors.Is(err, permit.ErrConnectionUnusable) { // caused by the worker
		return result{outcome: decision.ConnectFailed, pooledConnFailed: e.reused.Load()}
	}
	return result{outcome: decision.NotSent}
}

// handleError returns the result of an attempt that received no response.
func (e *exchange) handleError(err error) result {
	if reason := e.permitErr.Load(); reason != nil {
		return e.notStartedResult(*reason)
	}
	if errors.Is(err, errSocketBudget) || errors.Is(err, errLocalDial) {
		return result{outcome: decision.NotSent} // no evidence about the worker
	}
	e.log.WithError(err).WithFields(e.attempt.Fields()).WithField("kept", e.reused.Load()).Debug("attempt failed without a response")
	// The job may have run if the last byte of its request may have been sent. As the trace may
	// report the write later than the error arrives, a fully read body counts as sent unless the
	// trace has reported a failed write.
	if !e.body.fullyRead.Load() || e.writeFailed.Load() {
		return result{outcome: decision.ConnectFailed, pooledConnFailed: e.reused.Load(), report: core.Delivery{NoConnection: isTimeout(err)}}
	}
	// No response is expected before the deadline on a connection that was silent for
	// acceptTimeout. The transport has closed it, which cancels the attempt. ETIMEDOUT from the
	// kernel counts as a broken connection, like a reset.
	if e.acceptTimer.expired.Load() || isTimeout(err) && !errors.Is(err, syscall.ETIMEDOUT) {
		return result{outcome: decision.TimedOut, pooledConnFailed: e.reused.Load()}
	}
	return result{outcome: decision.ConnReset, pooledConnFailed: e.reused.Load()}
}

// handleResponse returns the result of an attempt that received a response.
func (e *exchange) handleResponse(resp *http.Response, load []float32) result {
	if resp.StatusCode == http.StatusAccepted {
		return result{accepted: true}
	}
	if e.attempt.Exclusive && e.recentlyRead.Load() && !resp.Close && !e.conn.Load().staysQuiet(quietPeriod) {
		// The response may be a second one to the previous request, and the data received since
		// then the response to this one. The job may have run, so the attempt is recalled.
		e.conn.Load().Close()
		return result{ambiguousResponse: true}
	}
	switch {
	case jobNeverRan(resp):
		return result{outcome: decision.Rejected, load: load}
	case resp.StatusCode/100 == 4:
		// The job is invalid, which is the client's fault and not the worker's: no other worker
		// would accept it.
		return result{outcome: decision.Unusable}
	default:
		return result{outcome: decision.Errored, load: load}
	}
}

// jobNeverRan reports whether a response states that the job was not started.
func jobNeverRan(resp *http.Response) bool {
	status := resp.StatusCode
	return (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && resp.Header.Get(headerNeverRan) == "1"
}

// drainBody reads a response's body to its end, so that the connection can be reused, and returns
// it. It closes the body, and with it the connection, if the end does not arrive within
// bodyTimeout. It reads at most one byte more than maxBody.
func drainBody(resp *http.Response) []byte {
	timeout := time.AfterFunc(bodyTimeout, func() { resp.Body.Close() })
	defer timeout.Stop()
	defer resp.Body.Close()
	// The error is ignored, as the status is valid even if the body is truncated.
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	return body
}

// trackedBody is a request body that records whether it was read to its end.
type trackedBody struct {
	data      []byte
	fullyRead atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.fullyRead.Store(true)
		return n, io.EOF
	}
	return n, nil
}

// Close implements io.Closer. It is a no-op.
func (b *trackedBody) Close() error { return nil }
