package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDiffConfig(t *testing.T) {
	const inForce = `{"Version":1,"Routes":[{"Name":"a","TimeoutMs":1},{"Name":"b","TimeoutMs":2}]}`
	tests := []struct{ name, proposed, want string }{
		{"same items in another order", `{"Routes":[{"Name":"b", "TimeoutMs":2},{"Name":"a", "TimeoutMs":1}], "Version":1}`, ""},
		{"changed item", `{"Version":1,"Routes":[{"Name":"a","TimeoutMs":3},{"Name":"b","TimeoutMs":2}]}`,
			"- Routes/a {\"Name\":\"a\",\"TimeoutMs\":1}\n+ Routes/a {\"Name\":\"a\",\"TimeoutMs\":3}\n"},
		{"new item and removed item", `{"Version":1,"Routes":[{"Name":"a","TimeoutMs":1},{"Name":"c"}]}`,
			"- Routes/b {\"Name\":\"b\",\"TimeoutMs\":2}\n+ Routes/c {\"Name\":\"c\"}\n"},
		{"another version", strings.Replace(inForce, `"Version":1`, `"Version":2`, 1), "- Version 1\n+ Version 2\n"},
	}
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(inForce)) }))
	t.Cleanup(api.Close)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "config.json")
			require.NoError(t, os.WriteFile(file, []byte(test.proposed), 0o600))
			var out bytes.Buffer
			require.NoError(t, diffConfig(t.Context(), &invocation{out: &out}, strings.TrimPrefix(api.URL, "http://"), file))
			require.Equal(t, test.want, out.String())
		})
	}
}
