package agent

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.False(t, refusesConnections(t.Context(), listener.Addr().String()))
	require.NoError(t, listener.Close())
	require.True(t, refusesConnections(t.Context(), listener.Addr().String()))
}
