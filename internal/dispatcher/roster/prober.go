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

// Sockets is the maximum number of file descriptors used by probes and state files.
const Sockets = maxProbes + 4

// maxProbes bounds the number of concurrent probes.
const maxProbes = 12

// HTTPProber probes runners by the platform's protocol: it requests GET /ping, to which a healthy
// runner responds 200, and then a path that no runner serves, which exposes a server that responds
// 200 to everything. If probes are not allowed, it only opens a connection. It is safe for
// concurrent use.
type HTTPProber struct {
	httpAllowed bool
}

// NewHTTPProber creates a prober. HTTPAllowed says whether the settings allow HTTP probes.
func NewHTTPProber(httpAllowed bool) *HTTPProber { return &HTTPProber{httpAllowed: httpAllowed} }

// Probe probes a runner on a new goroutine, which ends at the deadline at the latest, and calls
// report on that goroutine.
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
	// Both requests share one connection, so that a probe costs a runner only one.
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

// get returns the status of a response after reading its body, at most the first 64 KiB of it.
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

// errorEvidence returns what the error of a probe shows about the runner.
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
