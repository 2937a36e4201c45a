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

// fakeCore answers each order with an error and keeps the last one.
type fakeCore struct {
	err  error
	last Order
}

func (c *fakeCore) Exclude(order Order, _ time.Time, done func(error)) {
	c.last = order
	done(c.err)
}

// TestOrderAnswers checks what an operator is answered, and that an order that may be in force is named.
func TestOrderAnswers(t *testing.T) {
	for _, c := range []struct {
		name       string
		err        error
		body       string
		wantStatus int
		wantText   string // within the answer
	}{
		{"done", nil, `{"host":"s-1","order":"o-1"}`, http.StatusOK, ""},
		{"unknown", ErrUnknown, `{"host":"s-1","order":"o-1"}`, http.StatusNotFound, ErrUnknown.Error()},
		{"not done", errors.New("no leader"), `{"host":"s-1","order":"o-1"}`, http.StatusServiceUnavailable, "not done: no leader"},
		{"unclear", fmt.Errorf("%w: a slow disk", ErrUnclear), `{"host":"s-1","order":"o-1"}`, http.StatusGatewayTimeout, `"order":"o-1"`},
		{"an order that is too long", nil, `{"host":"s-1","order":"` + strings.Repeat("x", maxOrderID+1) + `"}`, http.StatusBadRequest, "128 bytes"},
		{"no host", nil, `{"order":"o-1"}`, http.StatusBadRequest, `{"host":"ID"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, text := exclude(&fakeCore{err: c.err}, c.body)
			require.Equal(t, c.wantStatus, status)
			require.Contains(t, text, c.wantText)
			require.Equal(t, c.wantStatus == http.StatusGatewayTimeout, strings.Contains(text, "its effect once"))
		})
	}
}

// TestOrderIsNamed checks that an order without a name is given one, by which an unclear answer names it.
func TestOrderIsNamed(t *testing.T) {
	core := &fakeCore{err: ErrUnclear}
	_, text := exclude(core, `{"host":"s-1"}`)
	require.NotEmpty(t, core.last.ID)
	require.Contains(t, text, core.last.ID)
	first := core.last.ID
	exclude(core, `{"host":"s-1"}`)
	require.NotEqual(t, first, core.last.ID)
}

// exclude sends an order to a console and returns its answer.
func exclude(core Core, body string) (status int, text string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(core, Handlers{Figures: http.NotFoundHandler(), Work: http.NotFoundHandler()}, logrus.NewEntry(log))
	answer := httptest.NewRecorder()
	c.server.Handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/api/exclude", strings.NewReader(body)))
	return answer.Code, answer.Body.String()
}
