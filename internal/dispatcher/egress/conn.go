package egress

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is a connection to a runner. It asks the attempt that it was chosen for immediately before
// the attempt's first byte is written, and it knows whether what is read was asked for. It gives
// its place in the budget back when it is closed.
type conn struct {
	net.Conn
	release func()

	mu        sync.Mutex
	authorize func() error // asked once before the next byte is written; nil for nobody
	awaiting  bool         // a request has begun on it since it was last chosen
	stray     bool         // something came on it that no request asked for
	lastRead  time.Time    // when something last came
	closed    bool
	watch     chan struct{} // closed when something comes, the connection ends or is chosen again; nil for nobody
}

// assign has the next write asked about. It returns how long ago something last came on the
// connection; without end where nothing has.
func (c *conn) assign(begin func() error) (quiet time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.authorize, c.awaiting = begin, false
	c.notifyWatcher()
	if c.lastRead.IsZero() {
		return neverRead
	}
	return time.Since(c.lastRead)
}

// neverRead is longer than any connection is kept.
const neverRead = 24 * time.Hour

// Write writes, unless the attempt that is about to begin may not.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.authorizeWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *conn) authorizeWrite() error {
	c.mu.Lock()
	begin := c.authorize
	c.authorize, c.awaiting = nil, true
	c.mu.Unlock()
	if begin == nil {
		return nil
	}
	return begin()
}

// Read notes when something comes, and whether it was asked for.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.lastRead = time.Now()
		c.stray = c.stray || !c.awaiting
		c.notifyWatcher()
		c.mu.Unlock()
	}
	return n, err
}

// notifyWatcher tells who watches the connection. The caller has the lock.
func (c *conn) notifyWatcher() {
	if c.watch != nil {
		close(c.watch)
		c.watch = nil
	}
}

// staysQuiet tells whether nothing comes on the connection for a while, and nobody uses it or ends it.
func (c *conn) staysQuiet(period time.Duration) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	watch := make(chan struct{})
	c.watch = watch
	c.mu.Unlock()
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-watch:
		return false
	case <-timer.C:
		return true
	}
}

// unusable tells whether a request must not be written any more: the runner has ended the connection,
// or something has come on it that nobody asked for and that would pass as the request's answer.
func (c *conn) unusable() bool {
	c.mu.Lock()
	stray := c.stray
	c.mu.Unlock()
	return stray || readable(c.Conn)
}

// readable tells whether a connection has something to read, its end included. It does not block.
func readable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // it has been closed
	}
	pending := true // unless it is still there
	err = raw.Control(func(fd uintptr) { pending = hasPendingData(int(fd)) })
	return err != nil || pending
}

// hasPendingData tells whether a socket has bytes or its end to read. Where the system does not say so,
// it has not.
func hasPendingData(fd int) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOTCONN:
		return true
	}
	return false
}

func (c *conn) Close() error {
	defer c.release()
	c.mu.Lock()
	c.closed = true
	c.notifyWatcher()
	c.mu.Unlock()
	return c.Conn.Close()
}
