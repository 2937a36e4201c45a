package neterr

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// wrapErrno returns errno as the net package wraps it.
func wrapErrno(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// TestClasses checks the classification of every error that Linux documents for connect and accept.
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
			err := wrapErrno("connect", tc.errno)
			if got := Local(err); got != tc.local {
				t.Errorf("Local = %t, want the opposite", got)
			}
			if got := Retryable(err); got != tc.retryable {
				t.Errorf("Retryable = %t, want the opposite", got)
			}
			if got := EndsListener(err); got != tc.endsAccept {
				t.Errorf("EndsListener = %t, want the opposite", got)
			}
		})
	}
}

// failingListener is a listener whose Accept returns the given errors and then net.ErrClosed.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// TestListener checks that Accept retries after every error except the listener's own end.
func TestListener(t *testing.T) {
	errs := []error{wrapErrno("accept", syscall.ENOBUFS), wrapErrno("accept", syscall.EPROTO), wrapErrno("accept", syscall.ENETUNREACH)}
	var retried []error
	l := Listener{Listener: &failingListener{errs: errs}, OnError: func(err error) { retried = append(retried, err) }}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept: %v, want net.ErrClosed", err)
	}
	if len(retried) != len(errs) {
		t.Errorf("OnError called %d times, want %d", len(retried), len(errs))
	}
}
