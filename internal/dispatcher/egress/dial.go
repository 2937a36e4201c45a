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

// initialBackoff is how long a dial waits after a retryable error. It doubles with
// each.
const initialBackoff = 5 * time.Millisecond

// tcpEstablished is the kernel's state of a TCP connection that both ends have agreed to.
const tcpEstablished = 1

var (
	// errSocketBudget is the error of a dial past the limit of sockets.
	errSocketBudget = errors.New("the budget of sockets to runners is used up")
	// errLocalDial is the error of a dial that failed because of this machine.
	errLocalDial = errors.New("this machine could not dial")
)

// Dial opens a connection by a deadline. Tests replace the net package's.
type Dial func(network, addr string, deadline time.Time) (net.Conn, error)

// dialNet is the Dial of the net package. A connection that was made by the deadline counts,
// also where this process is late to notice.
func dialNet(network, addr string, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var socket atomic.Value // a syscall.RawConn
	var expired atomic.Bool
	timer := time.AfterFunc(time.Until(deadline), func() {
		if raw, ok := socket.Load().(syscall.RawConn); ok && connected(raw) {
			return
		}
		expired.Store(true)
		cancel()
	})
	defer timer.Stop()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		socket.Store(raw)
		return nil
	}}
	c, err := dialer.DialContext(ctx, network, addr)
	if err != nil && expired.Load() {
		err = &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	return c, err
}

// connected reports whether a socket that was connecting is connected.
func connected(raw syscall.RawConn) bool {
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

// dial opens a connection within the limit of sockets. It is bounded by the connect
// timeout, not by the request that began it: another request may use the
// connection, and a canceled request must not leave a worker a half-open one. It
// fails with errSocketBudget, errLocalDial or the error of the last try.
func (f *Fleet) dial(_ context.Context, network, addr string) (net.Conn, error) {
	if f.open.Add(1) > f.maxOpen.Load() {
		f.open.Add(-1)
		return nil, errSocketBudget
	}
	c, err := f.connect(network, addr, time.Now().Add(f.cfg.ConnectTimeout))
	if err != nil {
		f.open.Add(-1)
		return nil, fmt.Errorf("dialing %s: %w", addr, err)
	}
	return &conn{Conn: c, release: sync.OnceFunc(func() { f.open.Add(-1) })}, nil
}

// connect dials until the deadline, again after retryable errors.
func (f *Fleet) connect(network, addr string, deadline time.Time) (net.Conn, error) {
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
