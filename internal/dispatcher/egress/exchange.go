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

// recall asks the runner to drop a job that it has taken. Whatever the runner answers, it knows
// from then on.
func (b *backend) recall(h core.Attempt) {
	via, addr := b.transport(), b.addr
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(closeGrace))
		defer cancel()
		_, err := b.roundTrip(ctx, via, http.MethodDelete, addr, "/jobs/"+url.PathEscape(h.Job.ID))
		if err != nil {
			b.log.WithError(err).WithFields(h.Fields()).Debug("job could not be recalled")
		}
		b.fleet.reporter.AttemptRecalled(h.Ref, err == nil || errors.Is(err, errStatus))
	}()
}

// probe asks the runner how it is.
func (b *backend) probe(via *http.Transport, addr string, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	path := "/ping"
	if b.fleet.cfg.LoadReports {
		path = "/_load"
	}
	text, err := b.roundTrip(ctx, via, http.MethodGet, addr, path)
	outcome := decision.Served
	switch {
	case errors.Is(err, errStatus):
		outcome = decision.Errored
	case errors.Is(err, context.DeadlineExceeded):
		outcome = decision.TimedOut
	case err != nil:
		outcome = decision.ConnReset
	}
	load := loadreport.Parse(text, b.fleet.cfg.Columns)
	b.post(func(b *backend) {
		b.openProbes--
		b.fleet.reporter.ProbeEnded(b.worker, outcome, load)
	})
}

var errStatus = errors.New("the runner answered with an error")

// roundTrip makes a request without a body and returns what a 2xx answer holds.
func (b *backend) roundTrip(ctx context.Context, via *http.Transport, method, addr, path string) ([]byte, error) {
	req, err := request(ctx, method, addr, path)
	if err != nil {
		return nil, err
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	text := drainBody(resp)
	if resp.StatusCode/100 != 2 {
		return text, fmt.Errorf("%s %s: status %d: %w", method, path, resp.StatusCode, errStatus)
	}
	return text, nil
}

// request makes a request to an address; the resource passes through as it came.
func request(ctx context.Context, method, addr, resource string) (*http.Request, error) {
	u, err := url.ParseRequestURI(resource)
	if err != nil {
		return nil, fmt.Errorf("resource of a request to %s: %w", addr, err)
	}
	u.Scheme, u.Host = "http", addr
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr, nil)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	req.URL = u // as it came, escapes and all
	req.Header["User-Agent"] = nil
	return req, nil
}
