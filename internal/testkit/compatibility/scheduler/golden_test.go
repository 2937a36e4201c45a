// Package compatibility_test pins what processes of different releases, operators' scripts and monitoring rely on:
// the bytes of the internal protocol, the answers of the HTTP endpoints, the operator's machine-readable output, the
// names of metrics, the settings with their defaults and mistakes, environment variables and exit statuses. A change
// of a file under testdata is a change of that contract, for which the changelog names a release.
package compatibility_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// update has the tests write the golden files anew instead of comparing with them.
var update = flag.Bool("update", false, "write the files under testdata anew")

// requireGolden compares a text with the golden file of a name.
func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got, "the contract of %s has changed", path)
}
