package httpserver

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

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
	require.Error(t, err, "the address is taken")
	listener.Close()
	again, err := Listen(address, &http.Server{})
	require.NoError(t, err, "the address is free again")
	again.Close()
}
