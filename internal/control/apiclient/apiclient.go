// Package apiclient is a client of the operator's API of a core machine, which package
// internal/control/server serves. The command line (package cli) and the exporter (package metrics)
// use it. Its functions are safe for concurrent use.
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

// callTimeout bounds the duration of a call, including the time for connecting.
const callTimeout = 5 * time.Second

// Call is a request to the operator's API.
type Call struct {
	Method  string // HTTP method
	Address string // of the core machine's API, host:port
	Path    string
	IfMatch string // version that a change is based on; if empty, the header is not sent
	Body    []byte
}

// RefusedError is returned for a response with a status other than 200.
type RefusedError struct {
	Status int    // HTTP status code
	Reason string // body of the response without surrounding white space
}

// Error returns the status and the reason on one line.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused with %d: %s", e.Status, e.Reason) }

// Do sends a request and returns the body of the response. The error is a *RefusedError if the
// status of the response is not 200.
func Do(ctx context.Context, c Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
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
		return nil, errors.Wrapf(err, "read response of %s", c.Address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &RefusedError{Status: response.StatusCode, Reason: strings.TrimSpace(string(body))}
	}
	return body, nil
}

// Get reads the JSON document at a path of a core machine's API and decodes it into target. It also
// returns the document as it was received.
func Get(ctx context.Context, address, path string, target any) ([]byte, error) {
	body, err := Do(ctx, Call{Method: http.MethodGet, Address: address, Path: path})
	if err != nil {
		return nil, err
	}
	return body, errors.Wrap(json.Unmarshal(body, target), "decode response")
}
