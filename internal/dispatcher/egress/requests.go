package egress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/loadreport"
)

// errStatus marks the error of a response whose status is not 2xx.
var errStatus = errors.New("the runner answered with an error")

// recall asks the worker to drop a job that it has or may have accepted. Any response, whatever its
// status, means that the worker knows of the cancellation.
func (b *backend) recall(a core.Attempt) {
	transport, addr := b.transport(), b.addr
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(closeGrace))
		defer cancel()
		_, err := b.roundTrip(ctx, transport, http.MethodDelete, addr, "/jobs/"+url.PathEscape(a.Job.ID))
		if err != nil {
			b.log.WithError(err).WithFields(a.Fields()).Debug("job could not be recalled")
		}
		b.fleet.reporter.AttemptRecalled(a.Ref, err == nil || errors.Is(err, errStatus))
	}()
}

// probe requests a load report from the worker, or pings it if workers serve no load reports, and
// reports the outcome to the core.
func (b *backend) probe(transport *http.Transport, addr string, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, cancelAccept := context.WithTimeout(ctx, acceptTimeout)
	defer cancelAccept()
	path := "/ping"
	if b.fleet.cfg.LoadReports {
		path = "/_load"
	}
	body, err := b.roundTrip(ctx, transport, http.MethodGet, addr, path)
	outcome := decision.Served
	switch {
	case errors.Is(err, errStatus):
		outcome = decision.Errored
	case errors.Is(err, context.DeadlineExceeded):
		outcome = decision.TimedOut
	case err != nil:
		outcome = decision.ConnReset
	}
	load := loadreport.Parse(body, b.fleet.cfg.Columns)
	b.post(func(b *backend) {
		b.openProbes--
		b.fleet.reporter.ProbeEnded(b.worker, outcome, load)
	})
}

// roundTrip sends a request without a body and returns the body of the response. For a status other
// than 2xx it also returns an error that wraps errStatus.
func (b *backend) roundTrip(ctx context.Context, transport *http.Transport, method, addr, path string) ([]byte, error) {
	req, err := newRequest(ctx, method, addr, path)
	if err != nil {
		return nil, err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	body := drainBody(resp)
	if resp.StatusCode/100 != 2 {
		return body, fmt.Errorf("%s %s: status %d: %w", method, path, resp.StatusCode, errStatus)
	}
	return body, nil
}

// newRequest returns a request to an address. The resource, which is a path with an optional query,
// is sent with its escapes unchanged.
func newRequest(ctx context.Context, method, addr, resource string) (*http.Request, error) {
	u, err := url.ParseRequestURI(resource)
	if err != nil {
		return nil, fmt.Errorf("parsing the resource of a request to %s: %w", addr, err)
	}
	u.Scheme, u.Host = "http", addr
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr, nil)
	if err != nil {
		return nil, fmt.Errorf("creating a request to %s: %w", addr, err)
	}
	req.URL = u
	req.Header["User-Agent"] = nil
	return req, nil
}
