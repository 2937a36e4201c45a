package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCompatibilityDataArguments pins the arguments and exit statuses of frosttide-data, and its
// messages for settings with which a role can't start.
func TestCompatibilityDataArguments(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	settings := filepath.Join(dir, "node.toml")
	require.NoError(t, os.WriteFile(settings, []byte("Ip = \"127.0.0.1\"\nPortRange = [1, 2]\n"), 0o600))
	bad := filepath.Join(dir, "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("Ip = 7\n"), 0o600))
	for _, c := range []struct {
		name     string
		args     []string
		settings string
		status   int
		want     string
	}{
		{"no role", nil, settings, 2, "usage: frosttide-data [flags] carrier|companion"},
		{"no such role", []string{"control"}, settings, 2, "usage: frosttide-data [flags] carrier|companion"},
		{"two roles", []string{"carrier", "companion"}, settings, 2, "usage: frosttide-data [flags] carrier|companion"},
		{"no such flag", []string{"-nonsense", "carrier"}, settings, 2, "flag provided but not defined: -nonsense"},
		{"help", []string{"-help"}, settings, 0, "usage: frosttide-data [flags] carrier|companion"},
		{"no settings file", []string{"carrier"}, "", 1, "frosttide-data: settings: FROSTTIDE_NODE_FILE is not set: it names the settings file\n"},
		{"carrier with bad settings", []string{"carrier"}, bad, 1, "frosttide-data: settings: " + bad + ": line 1: "},
		{"carrier without a front", []string{"carrier"}, settings, 1, "frosttide-data: settings: " + settings + ": ListenAddrs.Front: it is missing\n"},
		{"companion without an address", []string{"companion"}, settings, 1, "frosttide-data: settings: " + settings + ": ListenAddrs.Control: it is missing\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cmd := exec.CommandContext(t.Context(), program("frosttide-data"), c.args...)
			cmd.Env = append(os.Environ(), "FROSTTIDE_NODE_FILE="+c.settings)
			out, err := cmd.CombinedOutput()
			require.NotNil(t, cmd.ProcessState, "%v", err)
			require.Equal(t, c.status, cmd.ProcessState.ExitCode(), "%s", out)
			require.Contains(t, string(out), c.want)
		})
	}
}
