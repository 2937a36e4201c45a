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
	// maxAcceptBlockMicros limits, in microseconds, how long accept(2) may block if another process
	// makes the shared socket blocking between this process's call to set it non-blocking and its
	// accept. Multipath TCP, which Go's listeners use where the kernel supports it, ignores the
	// limit.
	maxAcceptBlockMicros = 100_000
	// wakeInterval is the time between connections that wake a blocked accept on Close, and
	// maxWakes how many are opened at most.
	wakeInterval = 2 * time.Millisecond
	maxWakes     = 250
)

// errAcceptBlocked is the error of closing a listener whose blocked accept could not be woken.
var errAcceptBlocked = errors.New("an accept on the shared socket blocks and can't be woken")

// Listen returns a listener on the listening socket, given by its file descriptor, that the
// platform holds for all processes of the dispatcher. Closing the listener closes only this
// process's copy and does not call shutdown(2), which would close the socket for all processes.
func Listen(fd int) (net.Listener, error) {
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("$BALANCER_FD: %w", err)
	}
	syscall.CloseOnExec(fd)
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Usec: maxAcceptBlockMicros}); err != nil {
		return nil, fmt.Errorf("$BALANCER_FD: %w", err)
	}
	f := os.NewFile(uintptr(fd), "$BALANCER_FD")
	probe, err := net.FileListener(f) // checks that the socket listens, and gets its address
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("$BALANCER_FD: %w", err)
	}
	defer probe.Close()
	raw, err := f.SyscallConn()
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("$BALANCER_FD: %w", err)
	}
	return &sharedListener{file: f, raw: raw, addr: probe.Addr(), closed: make(chan struct{})}, nil
}

// sharedListener accepts connections from the shared socket. Another process may make the socket
// blocking, for example by starting a process with it. The net package's listener, and its Close,
// would then block in accept(2) if another process accepts the connection first.
type sharedListener struct {
	file *os.File
	raw  syscall.RawConn
	addr net.Addr

	closeOnce sync.Once
	closed    chan struct{} // closed once the file is closed and no accept is in progress
	err       error
}

// Accept implements net.Listener. It skips connections that the client has closed before. After
// Close it fails with net.ErrClosed.
func (l *sharedListener) Accept() (net.Conn, error) {
	for {
		var fd int
		var err error
		readErr := l.raw.Read(func(socket uintptr) bool {
			if err = syscall.SetNonblock(int(socket), true); err != nil {
				return true
			}
			fd, _, err = syscall.Accept4(int(socket), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			return !errors.Is(err, syscall.EAGAIN)
		})
		switch {
		case readErr != nil:
			return nil, fmt.Errorf("accepting: %w", net.ErrClosed)
		case errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR):
			continue // the client has closed the connection, or a signal arrived
		case err != nil:
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: os.NewSyscallError("accept4", err)}
		}
		f := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			continue // the connection has failed already
		}
		return c, nil
	}
}

// Close closes this process's copy of the socket. The file's Close waits for an accept that blocks,
// which would keep the process from ending. Close therefore wakes the accept with connections of
// its own; whichever process accepts them drops them, as they send nothing. It fails with
// errAcceptBlocked after maxWakes connections.
func (l *sharedListener) Close() error {
	l.closeOnce.Do(func() {
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
		return errAcceptBlocked
	}
}

// Addr implements net.Listener. It returns the shared socket's address.
func (l *sharedListener) Addr() net.Addr { return l.addr }
