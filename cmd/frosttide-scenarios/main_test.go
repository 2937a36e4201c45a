package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/lab/scenarios"
)

// TestWrite checks the path of a written variation, and the errors for a missing and an invalid
// site file.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	site := filepath.Join(dir, "site.toml")
	require.NoError(t, os.WriteFile(site, []byte(`name = "s"
zones = [{ name = "a" }]
machines = [{ class = "core", zone = "a", count = 3 }]
[tolerate]
machines = 1
[[day]]
name = "d"
`), 0o600))
	path, err := write(site, filepath.Join(dir, "out"), scenarios.Options{Seed: 4, Days: 1})
	require.NoError(t, err)
	require.Equal(t, filepath.Join(dir, "out", "variant-4.toml"), path)
	require.FileExists(t, path)
	_, err = write(filepath.Join(dir, "none.toml"), dir, scenarios.Options{})
	require.True(t, errors.Is(err, os.ErrNotExist))
	require.NoError(t, os.WriteFile(site, []byte("zones = []"), 0o600))
	_, err = write(site, dir, scenarios.Options{})
	require.True(t, errors.Is(err, scenarios.ErrSite))
}
