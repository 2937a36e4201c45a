// Package apiclient asks the operator's API of a core machine.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// callTimeout bounds a call to a running system.
const callTimeout = 5 * time.Second

// ErrRefused marks answers that say no.
var ErrRefused = errors.New("refused")

// Response is an answer of a running system.
type Response struct {
	Status int // of HTTP
	Body   []byte
}

// Do makes a call to a core machine. Match is the version that a change is based on, empty where the call is none.
func Do(ctx context.Context, method, address, path, ifMatch string, body []byte) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "the call can't be made")
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s does not answer", address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "the answer of %s is cut short", address)
	}
	return &Response{Status: response.StatusCode, Body: data}, nil
}

// Get reads a part of the state into a value, and returns what was read.
func Get(ctx context.Context, address, path string, target any) ([]byte, error) {
	r, err := Do(ctx, http.MethodGet, address, path, "", nil)
	if err != nil {
		return nil, err
	}
	if r.Status != http.StatusOK {
		return nil, r.Err()
	}
	return r.Body, errors.Wrap(json.Unmarshal(r.Body, target), "the answer can't be read")
}

// Err returns an answer other than success as an error.
func (r *Response) Err() error {
	return errors.Mark(errors.Newf("refused with %d: %s", r.Status, strings.TrimSpace(string(r.Body))), ErrRefused)
}
