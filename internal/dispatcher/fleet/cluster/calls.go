package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/quorum"
)

const (
	// maxExchangeSize bounds the facts that a comparison sends one way, in bytes; the rest follows
	// in the next comparison. maxBodySize bounds a body that is read.
	maxExchangeSize = 256 << 10
	maxBodySize     = maxExchangeSize + 64<<10
)

// serveCalls starts the HTTP server and client for calls between members.
func (c *Cluster) serveCalls() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/propose", c.handlePropose)
	mux.HandleFunc("POST /v1/last", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, c.quorum.Last())
	})
	mux.HandleFunc("POST /v1/known", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, c.knownIndex())
	})
	mux.HandleFunc("POST /v1/compare", c.handleCompare)
	mux.HandleFunc("POST /v1/facts", c.handleFacts)
	mux.HandleFunc("POST /v1/fates", c.handleOutcomes)
	c.calls = &http.Server{Handler: mux, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout, IdleTimeout: 10 * time.Second,
		MaxHeaderBytes: 4 << 10, ErrorLog: stdlog.New(c.log.WriterLevel(logrus.DebugLevel), "", 0)}
	c.http = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, MaxIdleConns: 16, IdleConnTimeout: 5 * time.Second,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return c.port.Dial(ctx, clusterport.Calls, addr)
		}}}
	go func() { _ = c.calls.Serve(c.port.Listener(clusterport.Calls)) }()
}

// call posts a value to another member as JSON and decodes its response. A response other than 200
// is a *statusError.
func (c *Cluster) call(ctx context.Context, addr, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	got, err := readAll(resp.Body, maxBodySize)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{resp.StatusCode, string(bytes.TrimSpace(got))}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(got, into); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	return nil
}

// statusError is a response other than 200.
type statusError struct {
	status int
	why    string
}

// Error returns the response's body.
func (r *statusError) Error() string { return r.why }

// writeJSON writes a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}

// readJSON decodes a request's body; it responds with 400 and returns false if that fails.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := readAll(r.Body, maxBodySize)
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// forward lets the leader write an entry. It returns quorum.ErrNoLeader, possibly wrapped, if the
// leader is unknown, was not reached or does not lead any more; an error wraps ledger.ErrUnclear if the
// leader may have written the entry.
func (c *Cluster) forward(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	_, addr := c.quorum.Leader()
	if addr == "" || addr == c.port.Advertised() {
		return ledger.Done{}, quorum.ErrNoLeader
	}
	var d ledger.Done
	err := c.call(ctx, addr, "/v1/propose", e, &d)
	var no *statusError
	switch {
	case err == nil:
		return d, nil
	case errors.As(err, &no) && no.status == http.StatusMisdirectedRequest:
		return d, quorum.ErrNoLeader
	case errors.As(err, &no) && no.status == http.StatusPreconditionFailed:
		return d, err
	case !errors.As(err, &no) && ctx.Err() == nil:
		return d, fmt.Errorf("%w: %w: the last one is not reached", ledger.ErrUnclear, quorum.ErrNoLeader)
	}
	return d, fmt.Errorf("%w: %w", ledger.ErrUnclear, err)
}

// lastIndexOf asks a member for the last index of its log.
func (c *Cluster) lastIndexOf(ctx context.Context, addr string) (last uint64, err error) {
	err = c.call(ctx, addr, "/v1/last", nil, &last)
	return last, err
}

// knownIndex returns the highest index of a log that this member has, or knew of at its start.
func (c *Cluster) knownIndex() uint64 {
	known := c.quorum.Last()
	if c.startWatermark != nil {
		known = max(known, c.startWatermark.Index)
	}
	return known
}

// knownIndexOf asks a member for the highest index of a log that it has or knows of.
func (c *Cluster) knownIndexOf(ctx context.Context, addr string) (index uint64, err error) {
	err = c.call(ctx, addr, "/v1/known", nil, &index)
	return index, err
}

// handlePropose writes another member's entry. It responds with 421 if this member does not lead,
// with 412 if the entry was not written for another reason, and with 503 if it may be committed.
func (c *Cluster) handlePropose(w http.ResponseWriter, r *http.Request) {
	var e ledger.Entry
	if !readJSON(w, r, &e) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(exchangeTimeout))
	defer cancel()
	d, err := c.quorum.Propose(ctx, e)
	switch {
	case errors.Is(err, quorum.ErrNoLeader):
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	case errors.Is(err, ledger.ErrUnclear):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	default:
		writeJSON(w, d)
	}
}
