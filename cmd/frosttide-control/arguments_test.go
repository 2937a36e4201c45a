package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestArguments checks the exit status and the message of commands without a running system.
func TestArguments(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"help", []string{"help"}, 0, "frosttide-control demo"},
		{"unknown command", []string{"nonsense"}, 2, "there is no command"},
		{"jobs without more", []string{"jobs"}, 2, "usage"},
		{"no address", []string{"jobs", "list"}, 2, "no address"},
		{"nobody at the address", []string{"jobs", "list", "--at", "127.0.0.1:1"}, 1, "does not answer"},
		{"unknown flag", []string{"status", "--bad"}, 2, "usage"},
		{"serve without settings", []string{"serve"}, 1, "FROSTTIDE_NODE_FILE is not set"},
		{"check without files", []string{"check"}, 2, "wanted"},
		{"check of a missing file", []string{"check", "--settings", "/nonexistent"}, 1, "can't be read"},
		{"missing snapshot", []string{"snapshot", "verify", "/nonexistent"}, 1, "can't be read"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out, errOut, status := run(t, []string{"FROSTTIDE_CONTROL=", "FROSTTIDE_NODE_FILE="}, test.args...)
			require.Equal(t, test.status, status, "%s%s", out, errOut)
			require.Contains(t, out+errOut, test.want)
		})
	}
}

// TestBadSettings checks that an invalid settings file is reported in one line that names the key.
func TestBadSettings(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(file, []byte("Ip = 7\n"), 0o600))
	_, errOut, status := run(t, []string{"FROSTTIDE_NODE_FILE=" + file})
	require.Equal(t, 1, status)
	require.Equal(t, 1, strings.Count(errOut, "\n"), "one line: %q", errOut)
	require.Contains(t, errOut, "Ip")
}
