package httpserver

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// freeAddress returns a loopback address that no process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// TestListen checks that a listener serves requests, that its address is in use until Close, and
// that it can be listened on again afterwards.
func TestListen(t *testing.T) {
	address := freeAddress(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	listener, err := Listen(address, &http.Server{Handler: handler})
	require.NoError(t, err)
	response, err := http.Get("http://" + address)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	_, err = Listen(address, &http.Server{})
	require.Error(t, err, "listen on an address in use")
	listener.Close()
	again, err := Listen(address, &http.Server{})
	require.NoError(t, err, "listen on the address of a closed listener")
	again.Close()
}
