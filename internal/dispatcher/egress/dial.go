package egress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"frosttide/internal/dispatcher/neterr"
)

// initialBackoff is how long a dial waits after a retryable error. It doubles with
// each.
const initialBackoff = 5 * time.Millisecond

var (
	// errSocketBudget is the error of a dial past the limit of sockets.
	errSocketBudget = errors.New("the budget of sockets to runners is used up")
	// errLocalDial is the error of a dial that failed because of this machine.
	errLocalDial = errors.New("this machine could not dial")
)

// Dial opens a connection by a deadline. Tests replace the net package's.
type Dial func(network, addr string, deadline time.Time) (net.Conn, error)

// dialNet is the Dial of the net package.
func dialNet(network, addr string, deadline time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: deadline}
	return d.Dial(network, addr)
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
