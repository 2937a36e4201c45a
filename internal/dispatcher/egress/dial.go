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
	errNoSocket = errors.New("the budget of sockets to runners is used up")
	// errLocal tells that a dial failed by this machine's own doing.
	errLocal = errors.New("this machine could not dial")
)

// dialPause is how long a dial waits after an error that may pass before it tries again; it doubles
// with each.
const dialPause = 5 * time.Millisecond

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
	if f.open.Add(1) > f.most.Load() {
		f.open.Add(-1)
		return nil, errNoSocket
	}
	c, err := f.connect(network, addr, time.Now().Add(f.cfg.ConnectTimeout))
	if err != nil {
		f.open.Add(-1)
		return nil, fmt.Errorf("dialing %s: %w", addr, err)
	}
	return &conn{Conn: c, free: sync.OnceFunc(func() { f.open.Add(-1) })}, nil
}

// connect dials until the deadline, again after errors that may pass.
func (f *Fleet) connect(network, addr string, deadline time.Time) (net.Conn, error) {
	for pause := dialPause; ; pause *= 2 {
		c, err := f.cfg.Dial(network, addr, deadline)
		if err == nil {
			return c, nil
		}
		if !neterr.TryAgain(err) || time.Until(deadline) <= pause {
			if neterr.Local(err) {
				err = errors.Join(errLocal, err)
			}
			return nil, err
		}
		time.Sleep(pause)
	}
}
