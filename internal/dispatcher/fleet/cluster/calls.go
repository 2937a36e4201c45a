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

// call posts body to another member as JSON and decodes the response into result, which may be nil.
// A response with a status other than 200 is returned as a *statusError.
func (c *Cluster) call(ctx context.Context, addr, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	content, err := readAll(resp.Body, maxBodySize)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{resp.StatusCode, string(bytes.TrimSpace(content))}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(content, result); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	return nil
}

// statusError is the error for a response with a status other than 200.
type statusError struct {
	status  int
	message string
}

// Error returns the response's body.
func (r *statusError) Error() string { return r.message }

// writeJSON writes a value as a JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // it fails only if the caller has disconnected
}

// readJSON decodes a request's body into value; it responds with 400 and returns false if that
// fails.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	text, err := readAll(r.Body, maxBodySize)
	if err == nil {
		err = json.Unmarshal(text, value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// forward has the leader write an entry. It returns quorum.ErrNoLeader, possibly wrapped, if the
// leader is unknown, could not be reached or is not the leader any more. An error wraps
// ledger.ErrUnclear if the leader may have written the entry.
func (c *Cluster) forward(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	_, addr := c.quorum.Leader()
	if addr == "" || addr == c.port.Advertised() {
		return ledger.Done{}, quorum.ErrNoLeader
	}
	var d ledger.Done
	err := c.call(ctx, addr, "/v1/propose", e, &d)
	var rejected *statusError
	switch {
	case err == nil:
		return d, nil
	case errors.As(err, &rejected) && rejected.status == http.StatusMisdirectedRequest:
		return d, quorum.ErrNoLeader
	case errors.As(err, &rejected) && rejected.status == http.StatusPreconditionFailed:
		return d, err
	case !errors.As(err, &rejected) && ctx.Err() == nil:
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

// handlePropose writes an entry for another member. It responds with 421 if this member is not the
// leader, with 412 if the entry was not written for another reason, and with 503 if it may be
// committed.
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
