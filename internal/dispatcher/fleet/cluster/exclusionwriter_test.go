package cluster

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/fleet/recovery/mark"
)

// isClosed reports whether a channel, on which nothing is sent, is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestExclusionWriter checks that the channels of stored are closed once the newest exclusions are
// on disk, which is when orders are acknowledged.
func TestExclusionWriter(t *testing.T) {
	dir := t.TempDir()
	w := newExclusionWriter("", dir, logrus.NewEntry(logrus.New()))
	require.True(t, isClosed(w.stored()), "stored must be closed while nothing is pending")
	w.put(mark.Watermark{Log: "l", Index: 1, Out: []string{"a"}})
	first := w.stored()
	w.put(mark.Watermark{Log: "l", Index: 2, Out: []string{"a", "b"}})
	second := w.stored()
	require.False(t, isClosed(first))
	require.False(t, isClosed(second))
	w.writeNext()
	require.True(t, isClosed(first))
	require.True(t, isClosed(second))
	require.True(t, isClosed(w.stored()))
	stored, err := mark.Read(dir)
	require.NoError(t, err)
	require.Equal(t, &mark.Watermark{Log: "l", Index: 2, Out: []string{"a", "b"}}, stored, "only the newest state must be written")
}

// TestExclusionWriterRetries checks that a failed write does not block the callers that wait for
// it, and that it is retried.
func TestExclusionWriterRetries(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "folder")
	require.NoError(t, os.WriteFile(dir, nil, 0o600)) // a file in place of the folder makes the write fail
	w := newExclusionWriter("", dir, logrus.NewEntry(logrus.New()))
	state := mark.Watermark{Log: "l", Index: 1, Out: []string{"a"}}
	w.put(state)
	done := w.stored()
	w.writeNext()
	require.True(t, isClosed(done))
	require.NotNil(t, w.failed)
	require.NoError(t, os.Remove(dir))
	w.retryFailed()
	require.Nil(t, w.failed)
	stored, err := mark.Read(dir)
	require.NoError(t, err)
	require.Equal(t, &state, stored)
}
