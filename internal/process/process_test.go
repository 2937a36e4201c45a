package process

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/nodefile"
	"frosttide/internal/protocol"
)

// settingsText returns the text of a settings file for loopback with a port range.
func settingsText(first, last int) string {
	return fmt.Sprintf("Ip = \"127.0.0.1\"\nPortRange = [%d, %d]\n", first, last)
}

// writeSettings writes a settings file and returns its path and its parsed content.
func writeSettings(t *testing.T, text string) (string, *nodefile.File) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	settings, err := nodefile.Read(path)
	require.NoError(t, err)
	return path, settings
}

// freePort returns a loopback port that no process listens on.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// startProcess creates a process on a free port and closes it at the end of the test.
func startProcess(t *testing.T, receive func(from string, e *protocol.Envelope)) *Process {
	t.Helper()
	port := freePort(t)
	path, settings := writeSettings(t, settingsText(port, port))
	p, err := New(path, settings, "test", receive)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// runUntil runs the event loop until afterTurn calls end. It fails the test after 10 s.
func runUntil(t *testing.T, p *Process, afterTurn func(end func())) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := false
	p.Run(ctx, time.Hour, func() {}, func() {
		afterTurn(func() {
			ended = true
			cancel()
		})
	})
	require.True(t, ended, "the event loop did not end within 10 s")
}

// TestNewTakesTheFirstFreePort checks that New skips a port in use, and fails if it is the only one
// of the range.
func TestNewTakesTheFirstFreePort(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	port := taken.Addr().(*net.TCPAddr).Port
	path, settings := writeSettings(t, settingsText(port, port))
	_, err = New(path, settings, "test", nil)
	require.ErrorContains(t, err, "in use")
	path, settings = writeSettings(t, settingsText(port, min(port+50, 65535)))
	p, err := New(path, settings, "test", nil)
	require.NoError(t, err)
	defer p.Close()
	require.NotEqual(t, taken.Addr().String(), p.Address)
}

// TestEventsRunInOrder checks that events run in the order in which they were posted, including a
// message that the process sends to itself.
func TestEventsRunInOrder(t *testing.T) {
	var order []int
	var p *Process
	p = startProcess(t, func(from string, e *protocol.Envelope) {
		require.Equal(t, p.Address, from)
		order = append(order, int(e.GetConfirm().GetRound()))
	})
	p.Post(func() {
		p.Send(p.Address, &protocol.Envelope{Body: &protocol.Envelope_Confirm{Confirm: &protocol.Confirm{Round: 3}}})
		order = append(order, 1)
	})
	p.Post(func() { order = append(order, 2) })
	runUntil(t, p, func(end func()) {
		if len(order) == 3 {
			end()
		}
	})
	require.Equal(t, []int{1, 2, 3}, order)
}

// TestReloadSettings checks that a valid file replaces the settings and that an invalid one does
// not.
func TestReloadSettings(t *testing.T) {
	for _, c := range []struct {
		name, text string
		zone       string
	}{
		{"changed", settingsText(1, 2) + "Zone = \"new\"\n", "new"},
		{"invalid", "Ip = 7\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProcess(t, nil)
			require.NoError(t, os.WriteFile(p.SettingsPath, []byte(c.text), 0o600))
			applied := ""
			p.reloadSettings(func(settings *nodefile.File) { applied = settings.Zone })
			p.Post(func() {})
			runUntil(t, p, func(end func()) { end() })
			require.Equal(t, c.zone, applied)
			require.Equal(t, c.zone, p.Settings.Zone)
		})
	}
}

// TestFileStamp checks that the stamp changes with the file, and is zero if the file does not
// exist.
func TestFileStamp(t *testing.T) {
	path, _ := writeSettings(t, settingsText(1, 2))
	before := statFileStamp(path)
	require.Equal(t, before, statFileStamp(path))
	require.NoError(t, os.WriteFile(path, []byte(settingsText(1, 20)), 0o600))
	require.NotEqual(t, before, statFileStamp(path))
	require.NoError(t, os.Remove(path))
	require.Zero(t, statFileStamp(path))
}
