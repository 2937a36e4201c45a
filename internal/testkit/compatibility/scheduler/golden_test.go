// Package compatibility_test pins the interfaces of the cluster scheduler on which processes of
// other releases, operators' scripts and monitoring rely: the bytes of the internal protocol, the
// responses of the HTTP endpoints, the machine-readable output of commands, the names of metrics,
// the settings with their defaults and error messages, environment variables and exit statuses. A
// change to a file under testdata changes this contract and needs an entry in the changelog that
// names the release.
package compatibility_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// update makes the tests overwrite the golden files before they compare with them.
var update = flag.Bool("update", false, "write the files under testdata anew")

// requireGolden compares a text with a golden file, given by its name under testdata.
func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got, "output differs from %s, which is a compatibility contract", path)
}
