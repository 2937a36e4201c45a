package console

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// fakeCore is a Core that calls done with err and records the last order.
type fakeCore struct {
	err  error
	last Order
}

func (c *fakeCore) Exclude(order Order, _ time.Time, done func(error)) {
	c.last = order
	done(c.err)
}

// TestOrderResponses checks the responses to orders, and that the response to an order with an
// unknown outcome contains its ID.
func TestOrderResponses(t *testing.T) {
	for _, tc := range []struct {
		name       string
		err        error
		body       string
		wantStatus int
		wantText   string // part of the response
	}{
		{"done", nil, `{"host":"s-1","order":"o-1"}`, http.StatusOK, ""},
		{"unknown", ErrUnknown, `{"host":"s-1","order":"o-1"}`, http.StatusNotFound, ErrUnknown.Error()},
		{"not done", errors.New("no leader"), `{"host":"s-1","order":"o-1"}`, http.StatusServiceUnavailable, "not done: no leader"},
		{"unclear", fmt.Errorf("%w: a slow disk", ErrUnclear), `{"host":"s-1","order":"o-1"}`, http.StatusGatewayTimeout, `"order":"o-1"`},
		{"order ID too long", nil, `{"host":"s-1","order":"` + strings.Repeat("x", maxOrderIDBytes+1) + `"}`, http.StatusBadRequest, "128 bytes"},
		{"no host", nil, `{"order":"o-1"}`, http.StatusBadRequest, `{"host":"ID"}`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, text := exclude(&fakeCore{err: tc.err}, tc.body)
			require.Equal(t, tc.wantStatus, status)
			require.Contains(t, text, tc.wantText)
			require.Equal(t, tc.wantStatus == http.StatusGatewayTimeout, strings.Contains(text, "its effect once"))
		})
	}
}

// TestOrderIDIsGenerated checks that an order without an ID gets a unique one, and that the
// response to an order with an unknown outcome contains it.
func TestOrderIDIsGenerated(t *testing.T) {
	core := &fakeCore{err: ErrUnclear}
	_, text := exclude(core, `{"host":"s-1"}`)
	require.NotEmpty(t, core.last.ID)
	require.Contains(t, text, core.last.ID)
	first := core.last.ID
	exclude(core, `{"host":"s-1"}`)
	require.NotEqual(t, first, core.last.ID)
}

// exclude sends an order to a new console and returns the response.
func exclude(core Core, body string) (status int, text string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(core, Handlers{Figures: http.NotFoundHandler(), Work: http.NotFoundHandler()}, logrus.NewEntry(log))
	recorder := httptest.NewRecorder()
	c.server.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/api/exclude", strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}
