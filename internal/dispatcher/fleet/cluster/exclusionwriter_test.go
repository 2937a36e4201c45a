package cluster

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/fleet/recovery/mark"
)

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestExclusionWriter checks when an answer may say that the exclusions are on disk.
func TestExclusionWriter(t *testing.T) {
	dir := t.TempDir()
	w := newExclusionWriter("", dir, logrus.NewEntry(logrus.New()))
	require.True(t, isClosed(w.stored()), "there is nothing to store")
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
	kept, err := mark.Read(dir)
	require.NoError(t, err)
	require.Equal(t, &mark.Watermark{Log: "l", Index: 2, Out: []string{"a", "b"}}, kept, "only the newest is written")
}

// TestExclusionWriterRetries checks that a write that fails holds no answer up, and is made up for.
func TestExclusionWriterRetries(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "folder")
	require.NoError(t, os.WriteFile(dir, nil, 0o600)) // a file where the folder is to be
	w := newExclusionWriter("", dir, logrus.NewEntry(logrus.New()))
	state := mark.Watermark{Log: "l", Index: 1, Out: []string{"a"}}
	w.put(state)
	waits := w.stored()
	w.writeNext()
	require.True(t, isClosed(waits))
	require.NotNil(t, w.failed)
	require.NoError(t, os.Remove(dir))
	w.retryFailed()
	require.Nil(t, w.failed)
	kept, err := mark.Read(dir)
	require.NoError(t, err)
	require.Equal(t, &state, kept)
}
