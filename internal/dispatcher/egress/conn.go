package egress

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// neverRead is what assign returns for a connection on which nothing has come. It
// is longer than any connection is kept.
const neverRead = 24 * time.Hour

// conn is a connection to a worker. Immediately before the first byte of an attempt
// is written it asks that attempt, and it knows whether what is read answers a
// request. It gives its socket back to the fleet when it is closed.
type conn struct {
	net.Conn
	release func()

	mu        sync.Mutex
	authorize func() error // called once before the next byte is written; nil for nobody
	awaiting  bool         // a request has begun on it since it was last assigned
	answered  bool         // something has come since then
	stray     bool         // something came on it that no request asked for
	lastRead  time.Time    // when something last came
	closed    bool
	watch     chan struct{} // closed when something comes, or the connection ends or is assigned; nil for nobody
}

// assign assigns the connection to an attempt, which authorizes the next write. It
// returns how long ago something last came on the connection, neverRead for never.
func (c *conn) assign(authorize func() error) (quiet time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.authorize, c.awaiting, c.answered = authorize, false, false
	c.notifyWatcher()
	if c.lastRead.IsZero() {
		return neverRead
	}
	return time.Since(c.lastRead)
}

// Write implements net.Conn. It fails, without writing, with the error of the
// attempt that does not authorize it.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.authorizeWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// authorizeWrite asks the attempt that the connection was assigned to, once.
func (c *conn) authorizeWrite() error {
	c.mu.Lock()
	authorize := c.authorize
	c.authorize, c.awaiting = nil, true
	c.mu.Unlock()
	if authorize == nil {
		return nil
	}
	return authorize()
}

// Read implements net.Conn. It records when something comes, and whether a request
// asked for it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.lastRead = time.Now()
		c.answered = c.answered || c.awaiting
		c.stray = c.stray || !c.awaiting
		c.notifyWatcher()
		c.mu.Unlock()
	}
	return n, err
}

// notifyWatcher ends the wait of staysQuiet. The caller holds the lock.
func (c *conn) notifyWatcher() {
	if c.watch != nil {
		close(c.watch)
		c.watch = nil
	}
}

// staysQuiet reports whether for a period nothing comes on the connection, and
// nobody is assigned it or closes it. It blocks for up to the period.
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

// unusable reports whether a request must not be written any more: the worker has
// ended the connection, or something has come on it that no request asked for and
// that would pass as the response.
func (c *conn) unusable() bool {
	c.mu.Lock()
	stray := c.stray
	c.mu.Unlock()
	return stray || readable(c.Conn)
}

// heardWithin reports whether something has come on the connection for the request on it
// within a period, or waits to be read.
func (c *conn) heardWithin(period time.Duration) bool {
	c.mu.Lock()
	heard := c.answered && time.Since(c.lastRead) < period
	c.mu.Unlock()
	return heard || readable(c.Conn)
}

// readable reports whether a connection has something to read, its end included. It
// does not block.
func readable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // it has been closed
	}
	pending := true // unless the socket is still there
	err = raw.Control(func(fd uintptr) { pending = hasPendingData(int(fd)) })
	return err != nil || pending
}

// hasPendingData reports whether a socket has bytes or its end to read. Where the
// kernel does not say so, it has not.
func hasPendingData(fd int) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOTCONN:
		return true
	}
	return false
}

// Close implements net.Conn. Its first call gives the socket back.
func (c *conn) Close() error {
	defer c.release()
	c.mu.Lock()
	c.closed = true
	c.notifyWatcher()
	c.mu.Unlock()
	return c.Conn.Close()
}
