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

// Sockets is how many descriptors the asking takes at most, and the state's files.
const Sockets = maxProbes + 4

// maxProbes is how many runners are asked at a time.
const maxProbes = 12

// HTTPProber asks runners over the platform's protocol: GET /ping, which one that is well
// answers 200; and a path that no runner has, which something that answers 200 to
// everything gives itself away by. Where probes are not allowed it only connects.
type HTTPProber struct {
	httpAllowed bool
}

// NewHTTPProber makes an asker; probes tells whether the settings allow them.
func NewHTTPProber(httpAllowed bool) *HTTPProber { return &HTTPProber{httpAllowed: httpAllowed} }

// Probe asks a runner in the background.
func (prober *HTTPProber) Probe(addr string, deadline time.Time, report func(rosterpolicy.Evidence)) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		report(prober.probe(ctx, addr))
	}()
}

func (prober *HTTPProber) probe(ctx context.Context, addr string) rosterpolicy.Evidence {
	if !prober.httpAllowed {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return evidence(err)
		}
		c.Close()
		return rosterpolicy.Connected
	}
	// One connection for both, so that a runner pays for one.
	client := &http.Transport{MaxConnsPerHost: 1, MaxResponseHeaderBytes: 16 << 10, DisableCompression: true}
	defer client.CloseIdleConnections()
	status, err := get(ctx, client, "http://"+addr+"/ping")
	switch {
	case err != nil:
		return evidence(err)
	case status == http.StatusServiceUnavailable:
		return rosterpolicy.Busy
	case status != http.StatusOK:
		return rosterpolicy.Impostor
	}
	status, err = get(ctx, client, "http://"+addr+"/jobs")
	switch {
	case err != nil:
		return evidence(err)
	case status/100 != 4:
		return rosterpolicy.Impostor
	}
	return rosterpolicy.Answered
}

func get(ctx context.Context, client *http.Transport, url string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	return resp.StatusCode, err
}

// evidence tells what a failed call says.
func evidence(err error) rosterpolicy.Evidence {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return rosterpolicy.Refused
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return rosterpolicy.TimedOut
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return rosterpolicy.TimedOut
	}
	return rosterpolicy.Broken
}
