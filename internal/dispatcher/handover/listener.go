package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// maxAcceptBlock bounds, in microseconds, how long accept(2) may block if another
	// holder makes the socket blocking between this process's setting and its call.
	// Multipath TCP, which Go's listeners use where the kernel has it, ignores the
	// bound.
	maxAcceptBlock = 100_000
	// wakeInterval and maxWakes bound how a blocked accept is woken at the end.
	wakeInterval = 2 * time.Millisecond
	maxWakes     = 250
)

// errBlocked is the error of closing a listener whose accept can't be woken.
var errBlocked = errors.New("an accept on the shared socket blocks and can't be woken")

// Listen returns a listener on the listening socket that the platform holds for all
// processes of the dispatcher, given by its descriptor. Closing the listener ends
// this process's copy alone: shutdown(2) would end the socket for all.
func Listen(fd int) (net.Listener, error) {
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("$BALANCER_FD: %w", err)
	}
	syscall.CloseOnExec(fd)
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Usec: maxAcceptBlock}); err != nil {
		return nil, fmt.Errorf("$BALANCER_FD: %w", err)
	}
	f := os.NewFile(uintptr(fd), "$BALANCER_FD")
	first, err := net.FileListener(f) // it must be a listening socket, and knows its address
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("$BALANCER_FD: %w", err)
	}
	defer first.Close()
	raw, err := f.SyscallConn()
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("$BALANCER_FD: %w", err)
	}
	return &listener{file: f, raw: raw, addr: first.Addr(), closed: make(chan struct{})}, nil
}

// listener accepts from the shared socket. Another holder may make the socket
// blocking, as starting a process with it may do. The net package's listener would
// then be stuck in accept(2), and so would its Close, when another process takes the
// connection.
type listener struct {
	file *os.File
	raw  syscall.RawConn
	addr net.Addr

	once   sync.Once
	closed chan struct{} // closed once no accept is under way any more
	err    error
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		var fd int
		var err error
		closed := l.raw.Read(func(socket uintptr) bool {
			if err = syscall.SetNonblock(int(socket), true); err != nil {
				return true
			}
			fd, _, err = syscall.Accept4(int(socket), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			return !errors.Is(err, syscall.EAGAIN)
		})
		switch {
		case closed != nil:
			return nil, fmt.Errorf("accepting: %w", net.ErrClosed)
		case errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR):
			continue // that client has left
		case err != nil:
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: os.NewSyscallError("accept4", err)}
		}
		f := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			continue // broken already
		}
		return c, nil
	}
}

// Close ends this process's copy of the socket. The file's own Close would wait for
// an accept that blocks, and the process would not end; so the accept is woken by
// connections of this process, which whoever accepts them drops as they send
// nothing. It fails with errBlocked after maxWakes of them.
func (l *listener) Close() error {
	l.once.Do(func() {
		go func() {
			l.err = l.file.Close()
			close(l.closed)
		}()
		tick := time.NewTicker(wakeInterval)
		defer tick.Stop()
		for range maxWakes {
			select {
			case <-l.closed:
				return
			case <-tick.C:
			}
			if c, err := (&net.Dialer{Deadline: time.Now().Add(wakeInterval)}).Dial("tcp", l.addr.String()); err == nil {
				c.Close()
			}
		}
	})
	select {
	case <-l.closed:
		return l.err
	default:
		return errBlocked
	}
}

// Addr returns the socket's address.
func (l *listener) Addr() net.Addr { return l.addr }
