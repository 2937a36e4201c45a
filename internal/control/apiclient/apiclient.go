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

// askTime bounds a call to a running system.
const askTime = 5 * time.Second

// ErrRefused marks answers that say no.
var ErrRefused = errors.New("refused")

// Answer is an answer of a running system.
type Answer struct {
	Status int // of HTTP
	Body   []byte
}

// Ask makes a call to a core machine. Match is the version that a change is based on, empty where the call is none.
func Ask(ctx context.Context, method, at, path, match string, body []byte) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "the call can't be made")
	}
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s does not answer", at)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "the answer of %s is cut short", at)
	}
	return &Answer{Status: response.StatusCode, Body: data}, nil
}

// Get reads a part of the state into a value, and returns what was read.
func Get(ctx context.Context, at, path string, into any) ([]byte, error) {
	a, err := Ask(ctx, http.MethodGet, at, path, "", nil)
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		return nil, a.Refusal()
	}
	return a.Body, errors.Wrap(json.Unmarshal(a.Body, into), "the answer can't be read")
}

// Refusal returns an answer other than success as an error.
func (a *Answer) Refusal() error {
	return errors.Mark(errors.Newf("refused with %d: %s", a.Status, strings.TrimSpace(string(a.Body))), ErrRefused)
}
