// Package apiclient calls the operator's API of a core machine, which internal/control/server serves. The command line
// (package cli) and the exporter (package metrics) use it. Its functions are safe for concurrent use.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// callTimeout bounds a call, connecting included.
const callTimeout = 5 * time.Second

// Call is a call of the operator's API.
type Call struct {
	Method  string
	Address string // of the core machine's API, host:port
	Path    string
	IfMatch string // version that a change builds on; empty sends none
	Body    []byte
}

// RefusedError is the error of a call that is answered with another status than 200.
type RefusedError struct {
	Status int // of HTTP
	Reason string
}

// Error is part of the error interface.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused with %d: %s", e.Status, e.Reason) }

// Do makes a call and returns the body of the answer. Its error is a *RefusedError if the answer's status is not 200.
func Do(ctx context.Context, c Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "the call can't be made")
	}
	if c.IfMatch != "" {
		request.Header.Set("If-Match", c.IfMatch)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s does not answer", c.Address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "the answer of %s is cut short", c.Address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &RefusedError{Status: response.StatusCode, Reason: strings.TrimSpace(string(body))}
	}
	return body, nil
}

// Get reads a part of a core machine's state, which is JSON, into target. It also returns the JSON.
func Get(ctx context.Context, address, path string, target any) ([]byte, error) {
	body, err := Do(ctx, Call{Method: http.MethodGet, Address: address, Path: path})
	if err != nil {
		return nil, err
	}
	return body, errors.Wrap(json.Unmarshal(body, target), "the answer can't be read")
}
