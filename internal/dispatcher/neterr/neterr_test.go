package neterr

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// wrapped is an error as the net package returns it.
func wrapped(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// TestClasses has each error that Linux documents for connect and accept classified.
func TestClasses(t *testing.T) {
	for _, tc := range []struct {
		errno                        syscall.Errno
		local, retryable, endsAccept bool
	}{
		{syscall.EMFILE, true, true, false},
		{syscall.ENFILE, true, true, false},
		{syscall.ENOBUFS, true, true, false},
		{syscall.ENOMEM, true, true, false},
		{syscall.EADDRNOTAVAIL, true, true, false},
		{syscall.EAGAIN, true, true, false},
		{syscall.EINTR, true, true, false},
		{syscall.ECONNABORTED, false, true, false},
		{syscall.ENETUNREACH, false, true, false},
		{syscall.ENETDOWN, false, true, false},
		{syscall.EPROTO, false, true, false},
		{syscall.ECONNREFUSED, false, false, false},
		{syscall.ECONNRESET, false, false, false},
		{syscall.ETIMEDOUT, false, false, false},
		{syscall.EHOSTUNREACH, false, false, false},
		{syscall.EHOSTDOWN, false, false, false},
		{syscall.ENONET, false, false, false},
		{syscall.ENOPROTOOPT, false, false, false},
		{syscall.EOPNOTSUPP, false, false, false},
		{syscall.EPERM, false, false, false},
		{syscall.EBADF, false, false, true},
		{syscall.EINVAL, false, false, true},
		{syscall.ENOTSOCK, false, false, true},
		{syscall.EFAULT, false, false, true},
	} {
		t.Run(tc.errno.Error(), func(t *testing.T) {
			err := wrapped("connect", tc.errno)
			if got := Local(err); got != tc.local {
				t.Errorf("local %t", got)
			}
			if got := Retryable(err); got != tc.retryable {
				t.Errorf("retryable %t", got)
			}
			if got := EndsListener(err); got != tc.endsAccept {
				t.Errorf("ends a listener %t", got)
			}
		})
	}
}

// failing is a listener whose Accept returns a list of errors, and then that it is closed.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// TestListener has a listener retry after each error but its own end.
func TestListener(t *testing.T) {
	errs := []error{wrapped("accept", syscall.ENOBUFS), wrapped("accept", syscall.EPROTO), wrapped("accept", syscall.ENETUNREACH)}
	var retried []error
	l := Listener{Listener: &failing{errs: errs}, OnError: func(err error) { retried = append(retried, err) }}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended by %v", err)
	}
	if len(retried) != len(errs) {
		t.Errorf("%d errors were tried again, want %d", len(retried), len(errs))
	}
}
