package ingress

import (
	"errors"
	"net"
	"os"
	"syscall"

	"frosttide/internal/dispatcher/neterr"
)

// maxPendingConns limits the number of connections that are accepted while a listener closes,
// because clients may connect as fast as connections are accepted.
const maxPendingConns = 1024

// acceptPending accepts the connections in a listener's backlog without blocking, because the
// kernel resets those that are still there when the listener is closed. It does nothing for a
// listener that does not expose its socket: such a socket is held open by the platform, and
// keeps its backlog for the next process.
func acceptPending(listener net.Listener) []net.Conn {
	if wrapped, ok := listener.(neterr.Listener); ok {
		listener = wrapped.Listener
	}
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	var pending []net.Conn
	_ = raw.Control(func(fd uintptr) { // fails only if the listener is closed
		for len(pending) < maxPendingConns {
			c, err := acceptNonblocking(int(fd))
			if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
				continue // aborted by the client, or interrupted
			}
			if err != nil {
				return
			}
			pending = append(pending, c)
		}
	})
	return pending
}

// acceptNonblocking accepts a connection from a listening socket. It returns EAGAIN if none is
// pending.
func acceptNonblocking(listener int) (net.Conn, error) {
	fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close() // net.FileConn duplicates the descriptor
	return net.FileConn(f)
}
