package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

func TestRequestTimeout(t *testing.T) {
	tests := []struct {
		name      string
		routeMs   int64
		deadline  string // X-Deadline-Ms
		wantTotal time.Duration
	}{
		{"neither", 0, "", defaultTimeout},
		{"route", 1000, "", time.Second},
		{"client waits for less", 1000, "400", 400 * time.Millisecond},
		{"client waits for longer", 1000, "5000", time.Second},
		{"client's header is no number", 1000, "soon", time.Second},
		{"client's header is negative", 1000, "-1", time.Second},
		{"hardly any time", 1000, "1", 2 * responseMargin},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			if test.deadline != "" {
				r.Header.Set("X-Deadline-Ms", test.deadline)
			}
			require.Equal(t, test.wantTotal-responseMargin, requestTimeout(r, &routeconfig.Route{TimeoutMs: test.routeMs}))
		})
	}
}

func TestWriteReply(t *testing.T) {
	tests := []struct {
		name       string
		reply      *protocol.ClientReply
		wantStatus int
		wantHeader http.Header
	}{
		{"success", &protocol.ClientReply{Status: 200, Body: []byte("{}")}, 200, http.Header{"Content-Type": {"application/json"}}},
		{"gone", &protocol.ClientReply{Status: 410}, 410, http.Header{}},
		{"to be repeated after part of a second", &protocol.ClientReply{Status: 503, RetryAfterMs: 1200}, 503, http.Header{"Retry-After": {"2"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			writeReply(w, test.reply)
			require.Equal(t, test.wantStatus, w.Code)
			require.Equal(t, test.wantHeader, w.Header())
			require.Equal(t, string(test.reply.GetBody()), w.Body.String())
		})
	}
}

// TestPathThatIsNotUTF8 guards against an ID that the gateway can't send to the control plane, which
// ended its link to it. The frontend has no gateway: it must not get that far.
func TestPathThatIsNotUTF8(t *testing.T) {
	f := newFrontend(nil, time.Second)
	change, err := routeconfig.Empty().Apply([]byte(`{"Version":1,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/q/","TimeoutMs":3000,"Service":"s"}],"Services":[{"Name":"s"}]}`), routeconfig.Document)
	require.NoError(t, err)
	f.table.Store(change.Table)
	for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodPost} {
		w := httptest.NewRecorder()
		f.clientServer.Handler.ServeHTTP(w, httptest.NewRequest(method, "http://h/q/repetici%F3n", nil))
		require.Equal(t, http.StatusBadRequest, w.Code, method)
		require.Contains(t, w.Body.String(), "path: the text is not Unicode", method)
	}
}

func TestUnavailableWithoutConfiguration(t *testing.T) {
	f := newFrontend(nil, time.Second)
	w := httptest.NewRecorder()
	f.clientServer.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/q/", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	w = httptest.NewRecorder()
	f.readinessServer.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/ready", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

// TestJobBodyIsBounded checks that a limit of the configuration can't let a job in that no message takes.
func TestJobBodyIsBounded(t *testing.T) {
	for _, test := range []struct{ configured, want int64 }{{0, defaultMaxBodyBytes}, {1000, 1000}, {1 << 40, maxJobBytes}} {
		change, err := routeconfig.Empty().Apply(fmt.Appendf(nil, `{"Version":1,"Limits":{"MaxBodyBytes":%d}}`, test.configured), routeconfig.Document)
		require.NoError(t, err)
		require.Equal(t, test.want, maxBodyBytes(change.Table))
	}
}
