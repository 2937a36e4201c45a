package ingress

import (
	"errors"
	"net"
	"os"
	"syscall"

	"frosttide/internal/dispatcher/neterr"
)

// maxPending bounds the connections that are accepted as a listener closes: clients may
// connect as fast as they are accepted.
const maxPending = 1024

// acceptPending accepts the connections on a listener that nobody has accepted yet.
// The kernel resets those that are left when the listener closes. A socket that the
// platform holds keeps them for the next process, and is left alone.
func acceptPending(listener net.Listener) []net.Conn {
	if retrying, ok := listener.(neterr.Listener); ok {
		listener = retrying.Listener
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
	_ = raw.Control(func(fd uintptr) { // fails only for a closed listener
		for len(pending) < maxPending {
			c, err := acceptNow(int(fd))
			if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
				continue // that client has left
			}
			if err != nil {
				return
			}
			pending = append(pending, c)
		}
	})
	return pending
}

// acceptNow accepts a connection, and fails with EAGAIN where none waits.
func acceptNow(listener int) (net.Conn, error) {
	fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close() // the connection has a copy
	return net.FileConn(f)
}
