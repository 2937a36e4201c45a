package roster

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"frosttide/internal/dispatcher/rosterpolicy"
)

// Sockets is how many descriptors probes and the state's files take at most.
const Sockets = maxProbes + 4

// maxProbes bounds the probes under way.
const maxProbes = 12

// HTTPProber probes runners over the platform's protocol: GET /ping, to which a healthy runner responds 200, and a
// path that no runner has, which shows a server that responds 200 to everything. Where probes are not allowed it
// connects only. It is safe for concurrent use.
type HTTPProber struct {
	httpAllowed bool
}

// NewHTTPProber makes a prober. HTTPAllowed says whether the settings allow probes.
func NewHTTPProber(httpAllowed bool) *HTTPProber { return &HTTPProber{httpAllowed: httpAllowed} }

// Probe probes a runner on a goroutine of its own, which ends at the deadline, and calls report there.
func (p *HTTPProber) Probe(addr string, deadline time.Time, report func(rosterpolicy.Evidence)) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		report(p.probe(ctx, addr))
	}()
}

func (p *HTTPProber) probe(ctx context.Context, addr string) rosterpolicy.Evidence {
	if !p.httpAllowed {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return errorEvidence(err)
		}
		conn.Close()
		return rosterpolicy.Connected
	}
	// One connection serves both requests, so that a probe costs a runner one.
	client := &http.Transport{MaxConnsPerHost: 1, MaxResponseHeaderBytes: 16 << 10, DisableCompression: true}
	defer client.CloseIdleConnections()
	status, err := get(ctx, client, "http://"+addr+"/ping")
	switch {
	case err != nil:
		return errorEvidence(err)
	case status == http.StatusServiceUnavailable:
		return rosterpolicy.Busy
	case status != http.StatusOK:
		return rosterpolicy.Impostor
	}
	status, err = get(ctx, client, "http://"+addr+"/jobs")
	switch {
	case err != nil:
		return errorEvidence(err)
	case status/100 != 4:
		return rosterpolicy.Impostor
	}
	return rosterpolicy.Answered
}

// get returns the status of a response once its body, or the first 64 KiB of it, has been read.
func get(ctx context.Context, client *http.Transport, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
	return response.StatusCode, err
}

// errorEvidence returns what the error of a probe shows of the runner.
func errorEvidence(err error) rosterpolicy.Evidence {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return rosterpolicy.Refused
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return rosterpolicy.TimedOut
	}
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		return rosterpolicy.TimedOut
	}
	return rosterpolicy.Broken
}
