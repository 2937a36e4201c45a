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
	// expiryMargin is taken off the time that an attempt tells its runner: the process may be held up
	// between reckoning it and the write. Where little is left, an eighth of that is.
	expiryMargin = 50 * time.Millisecond
	// quietTime is how long nothing must have come on a connection before a request, or must come after
	// its answer, for that answer to be believed where it says that the job did not run. Guards
	// against a second answer to the request before, which may come some milliseconds late.
	quietTime = 50 * time.Millisecond
	// bodyTimeout is how long an answer's body is read once its status is known. Guards against one that
	// never ends.
	bodyTimeout = 250 * time.Millisecond
)

// exchange is the exchange of one hop with a runner, up to the runner's word that it has the job.
type exchange struct {
	attempt    core.Attempt
	log        *logrus.Entry
	body       sentBody
	header     http.Header
	advertised time.Duration // the time that it tells, since a connection was found
	conn       atomic.Pointer[conn]

	broken     atomic.Bool           // the transport says that it could not write it all
	reused     atomic.Bool           // it goes out on a connection that was used before
	recentData atomic.Bool           // something came on that connection just before
	blocked    atomic.Pointer[error] // why it was not begun
}

// deliver sends a hop once and tells whether the runner has taken it. Where the connection that was
// kept for it has ended or is spoilt, and so nothing was written, it goes by a new one.
func (b *backend) deliver(ctx context.Context, via *http.Transport, addr string, h core.Attempt) result {
	res, unusable := b.deliverOnce(ctx, via, addr, h)
	if unusable {
		res, _ = b.deliverOnce(ctx, b.unpooled, addr, h)
	}
	return res
}

// deliverOnce sends a hop by one connection. Spoilt tells that a kept one could not be used, so that nothing
// was written.
func (b *backend) deliverOnce(ctx context.Context, via *http.Transport, addr string, h core.Attempt) (res result, unusable bool) {
	a := &exchange{attempt: h, log: b.log, body: sentBody{data: h.Job.Body}}
	defer func() {
		if res.report.Reused = a.reused.Load(); a.body.ended.Load() {
			res.report.Bytes = len(h.Job.Body)
			res.mayHaveLeft = a.blocked.Load() == nil
		}
	}()
	if err := permit.Check(h.Permit.Facts(time.Now(), h.Deadline)); err != nil {
		return a.notStarted(err), false // not worth a connection
	}
	req, err := a.request(ctx, addr, b.fleet.cfg.OnSent)
	if err != nil {
		b.log.WithError(err).WithFields(h.Fields()).Error("hop could not be written down")
		return result{outcome: decision.NotSent}, false
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		why := a.blocked.Load()
		return a.handleError(err), why != nil && errors.Is(*why, permit.ErrConnectionUnusable) && a.reused.Load()
	}
	drainBody(resp)
	return a.handleResponse(resp, loadreport.ParseHeader(resp.Header.Get(headerLoad), b.fleet.cfg.Columns)), false
}

// request writes the hop down.
func (a *exchange) request(ctx context.Context, addr string, sent func(class int)) (*http.Request, error) {
	h := a.attempt
	trace := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: a.onConnected,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			a.broken.Store(info.Err != nil)
			if info.Err == nil {
				sent(h.Job.Class)
			}
		},
	})
	req, err := request(trace, h.Job.Method, addr, h.Job.Resource)
	if err != nil {
		return nil, err
	}
	// Guards rule 2: without GetBody, and with a body that is not NoBody even
	// where it is empty, the transport never sends a request again by itself, not
	// even one with an Idempotency-Key on a connection that turned out dead.
	req.Body, req.ContentLength = &a.body, int64(len(h.Job.Body))
	req.Header[headerID] = []string{h.Job.ID}
	req.Header[headerExpires] = []string{""} // once there is a connection
	if h.Job.Key != "" {
		req.Header[headerKey] = []string{h.Job.Key}
	}
	if h.Parent != "" {
		req.Header[headerParent] = []string{h.Parent}
		if h.State != "" {
			req.Header[headerState] = []string{h.State}
		}
	}
	a.header = req.Header
	return req, nil
}

// onConnected takes in that the transport has a connection for the attempt. It runs before the
// transport's writer is given the request, so that the header may still be set: the time that is
// told is what is left after the wait for a connection.
func (a *exchange) onConnected(info httptrace.GotConnInfo) {
	a.reused.Store(info.Reused)
	left := time.Until(a.attempt.Deadline)
	a.advertised = max(left-min(expiryMargin, left/8), time.Millisecond)
	a.header[headerExpires][0] = strconv.FormatInt(a.advertised.Milliseconds(), 10)
	c, ok := info.Conn.(*conn)
	if !ok {
		return // can't be: the fleet has dialed it
	}
	a.conn.Store(c)
	a.recentData.Store(c.assign(a.mayStart) < quietTime)
}

// mayStart is asked immediately before the attempt's first byte is written.
func (a *exchange) mayStart() error {
	facts := a.attempt.Permit.Facts(time.Now(), a.attempt.Deadline)
	facts.StatedTime = a.advertised
	facts.ConnectionUnusable = a.conn.Load().unusable()
	err := permit.Check(facts)
	if err != nil {
		a.blocked.Store(&err)
	}
	return err
}

// notStarted is the end of an attempt of which no byte was written.
func (a *exchange) notStarted(err error) result {
	a.log.WithError(err).WithFields(a.attempt.Fields()).Debug("hop was not begun")
	if errors.Is(err, permit.ErrConnectionUnusable) { // the runner's doing
		return result{outcome: decision.ConnectFailed, pooledConnBroke: a.reused.Load()}
	}
	return result{outcome: decision.NotSent}
}

// handleError tells how an attempt ended that got no answer.
func (a *exchange) handleError(err error) result {
	if why := a.blocked.Load(); why != nil {
		return a.notStarted(*why)
	}
	if errors.Is(err, errSocketBudget) || errors.Is(err, errLocalDial) {
		return result{outcome: decision.NotSent} // says nothing of the runner
	}
	a.log.WithError(err).WithFields(a.attempt.Fields()).WithField("kept", a.reused.Load()).Debug("hop's connection broke")
	// The job may have run once its last byte may have left. The trace may
	// come later than the error, so the body's end counts unless the trace
	// has said that the write failed.
	if !a.body.ended.Load() || a.broken.Load() {
		return result{outcome: decision.ConnectFailed, pooledConnBroke: a.reused.Load()}
	}
	// Guards a job whose connection has fallen silent: nothing would come on it
	// before the deadline. The transport has closed it, which gives the hop up. The system's own
	// word that a connection has timed out is a break like others.
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT) {
		return result{outcome: decision.TimedOut, pooledConnBroke: a.reused.Load()}
	}
	return result{outcome: decision.ConnReset, pooledConnBroke: a.reused.Load()}
}

// handleResponse tells how an attempt ended that got an answer.
func (a *exchange) handleResponse(resp *http.Response, load []float32) result {
	if resp.StatusCode == http.StatusAccepted {
		return result{accepted: true}
	}
	if a.attempt.Exclusive && a.recentData.Load() && !resp.Close && !a.conn.Load().staysQuiet(quietTime) {
		// It may be the answer to the request before, and what has come now this one's. The hop
		// is given up, and may have run.
		a.conn.Load().Close()
		return result{ambiguous: true}
	}
	switch {
	case neverRan(resp):
		return result{outcome: decision.Rejected, load: load}
	case resp.StatusCode/100 == 4:
		// Guards the runner's good name: what it can't use is the client's fault, and
		// no other runner would take it.
		return result{outcome: decision.Unusable}
	default:
		return result{outcome: decision.Errored, load: load}
	}
}

func neverRan(resp *http.Response) bool {
	code := resp.StatusCode
	return (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) && resp.Header.Get(headerUnrun) == "1"
}

// drainBody reads an answer to its end, so that its connection can be used again,
// and gives it back; where the end does not come, the connection goes.
func drainBody(resp *http.Response) []byte {
	timeout := time.AfterFunc(bodyTimeout, func() { resp.Body.Close() })
	defer timeout.Stop()
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxBody+1)) // cut off or not, the status counts
	return text
}

// sentBody is a request's body that knows whether all of it was handed over.
type sentBody struct {
	data  []byte
	ended atomic.Bool
}

func (b *sentBody) Read(p []byte) (int, error) {
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.ended.Store(true)
		return n, io.EOF
	}
	return n, nil
}

func (b *sentBody) Close() error { return nil }
