package cli

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

// errRefused marks answers that say no.
var errRefused = errors.New("refused")

// answered is an answer of a running system.
type answered struct {
	status int
	body   []byte
}

// ask makes a call to a core machine.
func ask(ctx context.Context, method, at, path, match string, body []byte) (*answered, error) {
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
	return &answered{status: response.StatusCode, body: data}, nil
}

// get reads a part of the state into a value, and returns what was read.
func get(ctx context.Context, at, path string, into any) ([]byte, error) {
	a, err := ask(ctx, http.MethodGet, at, path, "", nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, a.refusal()
	}
	return a.body, errors.Wrap(json.Unmarshal(a.body, into), "the answer can't be read")
}

// refusal returns an answer other than success as an error.
func (a *answered) refusal() error {
	return errors.Mark(errors.Newf("refused with %d: %s", a.status, strings.TrimSpace(string(a.body))), errRefused)
}
