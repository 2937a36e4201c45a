package httpserver

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPathText guards against a part of a path that can't be sent to another process, which ended the
// link to it.
func TestPathText(t *testing.T) {
	for _, c := range []struct {
		name, path string
		wantStatus int
		want       string
	}{
		{"plain", "/v1/jobs/a1", http.StatusOK, "a1"},
		{"UTF-8", "/v1/jobs/repetici%C3%B3n", http.StatusOK, "repetición"},
		{"ISO 8859-1", "/v1/jobs/repetici%F3n", http.StatusBadRequest, "path: the text is not Unicode: invalid UTF-8, or half of a surrogate pair\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.HandleFunc("GET /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
				if id, ok := PathText(w, r, "id"); ok {
					_, _ = w.Write([]byte(id))
				}
			})
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.path, nil))
			require.Equal(t, c.wantStatus, w.Code)
			require.Equal(t, c.want, w.Body.String())
		})
	}
}
