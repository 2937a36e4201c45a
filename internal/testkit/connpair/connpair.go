// Package connpair opens pairs of connected TCP sockets for tests.
package connpair

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// New returns the two ends of a TCP connection on loopback. Both are closed when the test ends.
func New(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}
