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

// settingsText returns a settings file for loopback with a range of ports.
func settingsText(first, last int) string {
	return fmt.Sprintf("Ip = \"127.0.0.1\"\nPortRange = [%d, %d]\n", first, last)
}

// writeSettings writes a settings file and returns its path and content.
func writeSettings(t *testing.T, text string) (string, *nodefile.File) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	settings, err := nodefile.Read(path)
	require.NoError(t, err)
	return path, settings
}

// freePort returns a port of loopback that nobody listens on.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// start makes a process at a free port.
func start(t *testing.T, receive func(from string, e *protocol.Envelope)) *Process {
	t.Helper()
	port := freePort(t)
	path, settings := writeSettings(t, settingsText(port, port))
	p, err := New(path, settings, "test", receive)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// runUntil runs the event loop until its events end it.
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
	require.True(t, ended, "the events do not run")
}

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

func TestEventsRunInOrder(t *testing.T) {
	var order []int
	var p *Process
	p = start(t, func(from string, e *protocol.Envelope) {
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

func TestReloadSettings(t *testing.T) {
	for _, c := range []struct {
		name, text string
		zone       string
	}{
		{"changed", settingsText(1, 2) + "Zone = \"new\"\n", "new"},
		{"cannot be used", "Ip = 7\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, nil)
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

func TestStampOf(t *testing.T) {
	path, _ := writeSettings(t, settingsText(1, 2))
	before := stampOf(path)
	require.Equal(t, before, stampOf(path))
	require.NoError(t, os.WriteFile(path, []byte(settingsText(1, 20)), 0o600))
	require.NotEqual(t, before, stampOf(path))
	require.NoError(t, os.Remove(path))
	require.Zero(t, stampOf(path))
}
