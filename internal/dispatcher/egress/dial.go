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

var (
	errSocketBudget = errors.New("the budget of sockets to runners is used up")
	// errLocalDial tells that a dial failed by this machine's own doing.
	errLocalDial = errors.New("this machine could not dial")
)

// initialBackoff is how long a dial waits after an error that may pass before it tries again; it doubles
// with each.
const initialBackoff = 5 * time.Millisecond

// Dial opens a connection by a deadline. It is net.Dialer's but in tests.
type Dial func(network, addr string, deadline time.Time) (net.Conn, error)

// dialNet is the Dial of the program.
func dialNet(network, addr string, deadline time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: deadline}
	return d.Dial(network, addr)
}

// dial opens a connection within the budget. It ends by the connect timeout
// whatever becomes of the request that began it: another may use the connection,
// and a request that gives up must not leave a runner a half-open one.
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

// connect dials until the deadline, again after errors that may pass.
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
