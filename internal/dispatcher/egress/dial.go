package egress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"frosttide/internal/dispatcher/neterr"
)

// initialBackoff is the wait after the first retryable error of a dial. It doubles with each
// further one.
const initialBackoff = 5 * time.Millisecond

// tcpEstablished is TCP_ESTABLISHED, the state that TCP_INFO returns after a completed handshake.
const tcpEstablished = 1

var (
	// errSocketBudget is the error of a dial that would exceed the connection limit.
	errSocketBudget = errors.New("the budget of sockets to runners is used up")
	// errLocalDial marks the error of a dial that failed for a local reason, which says nothing
	// about the worker.
	errLocalDial = errors.New("the dial failed for a local reason")
)

// Dial opens a connection and fails if the handshake has not completed by the deadline. Tests
// inject their own to simulate failures.
type Dial func(network, addr string, deadline time.Time) (net.Conn, error)

// dialNet implements Dial with the net package. A connection whose handshake completed by the
// deadline succeeds even if this process is late to notice. A dial that misses the deadline fails
// with os.ErrDeadlineExceeded.
func dialNet(network, addr string, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var rawConn atomic.Value // holds a syscall.RawConn
	var expired atomic.Bool
	timer := time.AfterFunc(time.Until(deadline), func() {
		if raw, ok := rawConn.Load().(syscall.RawConn); ok && isConnected(raw) {
			return
		}
		expired.Store(true)
		cancel()
	})
	defer timer.Stop()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		rawConn.Store(raw)
		return nil
	}}
	c, err := dialer.DialContext(ctx, network, addr)
	if err != nil && expired.Load() {
		err = &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	return c, err
}

// isConnected reports whether the TCP handshake of a socket has completed. It returns false for a
// closed socket.
func isConnected(raw syscall.RawConn) bool {
	var state uint8
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	}); err != nil {
		return false
	}
	return state == tcpEstablished
}

// dial opens a connection within the connection limit. It is bounded by the connect timeout and
// ignores the context of the request that caused it: another request may use the connection, and a
// canceled request must not leave a half-open connection at the worker. It fails with
// errSocketBudget, errLocalDial or the error of the last try.
func (f *Fleet) dial(_ context.Context, network, addr string) (net.Conn, error) {
	if f.openConns.Add(1) > f.maxOpenConns.Load() {
		f.openConns.Add(-1)
		return nil, errSocketBudget
	}
	c, err := f.dialWithRetry(network, addr, time.Now().Add(f.cfg.ConnectTimeout))
	if err != nil {
		f.openConns.Add(-1)
		return nil, fmt.Errorf("dialing %s: %w", addr, err)
	}
	return &conn{Conn: c, release: sync.OnceFunc(func() { f.openConns.Add(-1) })}, nil
}

// dialWithRetry dials and retries retryable errors, with exponential backoff, until the deadline.
// It joins errLocalDial to an error that neterr.Local reports.
func (f *Fleet) dialWithRetry(network, addr string, deadline time.Time) (net.Conn, error) {
	for backoff := initialBackoff; ; backoff *= 2 {
		c, err := f.cfg.Dial(network, addr, deadline)
		if err == nil {
			return c, nil
		}
		if !neterr.Retryable(err) || time.Until(deadline) <= backoff {
			if neterr.Local(err) {
				err = errors.Join(errLocalDial, err)
			}
			return nil, err
		}
		time.Sleep(backoff)
	}
}
