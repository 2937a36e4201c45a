package apiclient

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// startEchoServer starts an API that responds to every request with the given status and with the
// method, path, If-Match header and body of the request. It returns the API's address.
func startEchoServer(t *testing.T, status int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Join([]string{r.Method, r.URL.Path, r.Header.Get("If-Match"), string(body)}, " ")+"\n")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestDo(t *testing.T) {
	call := Call{Method: http.MethodPut, Address: startEchoServer(t, http.StatusOK), Path: "/v1/config", IfMatch: "7", Body: []byte("{}")}
	body, err := Do(t.Context(), call)
	require.NoError(t, err)
	require.Equal(t, "PUT /v1/config 7 {}\n", string(body))
}

func TestDoRefused(t *testing.T) {
	_, err := Do(t.Context(), Call{Method: http.MethodDelete, Address: startEchoServer(t, http.StatusGone), Path: "/v1/jobs/x"})
	var refused *RefusedError
	require.True(t, errors.As(err, &refused), "%v", err)
	require.Equal(t, http.StatusGone, refused.Status)
	require.EqualError(t, err, "refused with 410: DELETE /v1/jobs/x")
}

func TestDoUnreachable(t *testing.T) {
	_, err := Do(t.Context(), Call{Method: http.MethodGet, Address: "127.0.0.1:1", Path: "/"})
	require.ErrorContains(t, err, "127.0.0.1:1 does not answer")
}

func TestGetMalformedJSON(t *testing.T) {
	var target struct{}
	_, err := Get(t.Context(), startEchoServer(t, http.StatusOK), "/v1/status", &target)
	require.ErrorContains(t, err, "decode response")
}
