package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/devcluster"
)

// scrape starts an exporter for a cluster and returns its metrics once they include those of the
// placement role.
func scrape(t *testing.T, c *cluster) string {
	t.Helper()
	address := freeAddress(t)
	exporter := exec.Command(program("frosttide-exporter"), "-listen", address, "-at", c.Cores[0].Control()+","+c.Cores[1].Control()+","+c.Cores[2].Control())
	require.NoError(t, exporter.Start())
	var text string
	require.True(t, devcluster.WaitFor(maxWait, func() bool {
		response, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		text = string(body)
		return err == nil && strings.Contains(text, "frosttide_fencing_token")
	}), "no metrics of the placement role: %s", text)
	require.NoError(t, exporter.Process.Signal(syscall.SIGTERM))
	require.NoError(t, exporter.Wait())
	return text
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// TestExporterArguments checks the exporter's exit status and message for its arguments.
func TestExporterArguments(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"no core machines", nil, 2, "-at has to name the core machines"},
		{"further argument", []string{"-at", "127.0.0.1:1", "more"}, 2, "-at has to name"},
		{"bad address to listen on", []string{"-at", "127.0.0.1:1", "-listen", "nowhere"}, 1, "-listen"},
		{"help", []string{"-help"}, 0, "addresses of the core machines' API"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cmd := exec.Command(program("frosttide-exporter"), test.args...)
			cmd.Env = append(os.Environ(), "FROSTTIDE_CONTROL=")
			out, err := cmd.CombinedOutput()
			require.NotNil(t, cmd.ProcessState, "%v", err)
			require.Equal(t, test.status, cmd.ProcessState.ExitCode(), "%s", out)
			require.Contains(t, string(out), test.want)
		})
	}
}
