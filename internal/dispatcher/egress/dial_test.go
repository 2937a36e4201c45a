package egress

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/connpair"
)

// TestConnected guards against a dial that fails although the handshake completed in time, because
// the process was late to notice. It checks isConnected, which dialNet calls at the deadline.
func TestConnected(t *testing.T) {
	client, _ := connpair.New(t)
	raw, err := client.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.True(t, isConnected(raw))

	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	unconnected := os.NewFile(uintptr(socket), "socket")
	raw, err = unconnected.SyscallConn()
	require.NoError(t, err)
	require.False(t, isConnected(raw))

	require.NoError(t, unconnected.Close())
	require.False(t, isConnected(raw))
}

// TestDialDeadline checks that a dial without a response from the peer fails at its deadline, with
// a timeout error.
func TestDialDeadline(t *testing.T) {
	const timeout = 50 * time.Millisecond
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { syscall.Close(socket) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(socket, 0)) // a backlog of one connection
	name, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	for {
		start := time.Now()
		conn, err := dialNet("tcp", address.String(), start.Add(timeout))
		if err == nil { // the backlog is not full yet
			t.Cleanup(func() { conn.Close() })
			continue
		}
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.True(t, isTimeout(err))
		require.GreaterOrEqual(t, time.Since(start), timeout)
		return
	}
}
