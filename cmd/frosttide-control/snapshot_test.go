package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/devcluster"
)

// TestAllCoreMachinesLost kills all core machines, deletes their disks and restores the system from
// a snapshot. The completed job has to be known, and runners have to accept orders again.
func TestAllCoreMachinesLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	require.True(t, c.Submit(0, "previews", "00000000000000a1", job))
	c.requireCompleted("00000000000000a1")
	file := takeSnapshot(t, c)
	out, _, status := run(t, nil, "snapshot", "verify", file)
	require.Zero(t, status)
	require.Contains(t, out, "configuration 1")
	requireTruncatedRefused(t, file)
	for _, m := range c.Cores {
		c.Kill(m)
		require.NoError(t, os.RemoveAll(c.DataDir(m)))
	}
	first := c.Cores[0]
	restore := []string{"snapshot", "restore", file, c.DataDir(first), "--settings", filepath.Join(filepath.Dir(c.DataDir(first)), first.Name+".toml")}
	out, errOut, status := run(t, nil, restore...)
	require.Zero(t, status, errOut)
	require.Contains(t, out, "Lost is what was acknowledged after the snapshot")
	_, _, status = run(t, nil, restore...)
	require.Equal(t, 1, status, "status of a restore into a folder that has a journal")
	for _, m := range c.Cores {
		require.NoError(t, c.Restart(m, m != first))
	}
	require.True(t, devcluster.WaitFor(maxWait, func() bool { return c.State(0, "previews", "00000000000000a1") == "completed" }), "the restored system does not report the snapshot's job as completed")
	c.requireSubmitted("00000000000000b2")
	c.requireCompleted("00000000000000b2") // requires that runners accept orders of the restored system
}

// takeSnapshot saves a snapshot of the head's state once it contains a completed job, and returns
// the snapshot's path.
func takeSnapshot(t *testing.T, c *cluster) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "snapshot")
	var out string
	require.True(t, devcluster.WaitFor(maxWait, func() bool {
		head := c.Head()
		if head == nil {
			return false
		}
		var status int
		out, _, status = run(t, nil, "snapshot", "save", c.DataDir(head), file)
		return status == 0 && strings.Contains(out, "1 completed")
	}), "%s", out)
	return file
}

// requireTruncatedRefused checks that the verification of a truncated snapshot fails.
func requireTruncatedRefused(t *testing.T, file string) {
	t.Helper()
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	bad := filepath.Join(t.TempDir(), "bad")
	require.NoError(t, os.WriteFile(bad, data[:20], 0o600))
	_, _, status := run(t, nil, "snapshot", "verify", bad)
	require.Equal(t, 1, status)
}
