package egress

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// neverRead is what assign returns for a connection that has received nothing. It is longer than
// any connection is kept.
const neverRead = 24 * time.Hour

// conn is a connection to a worker. It asks the attempt to which it is assigned for authorization
// immediately before writing the attempt's first byte, and it tracks whether received data was
// requested. Closing it releases its place within the fleet's connection limit.
type conn struct {
	net.Conn
	release func()

	mu              sync.Mutex
	authorize       func() error // called once before the next write; nil if none is needed
	requestStarted  bool         // the request of the last assignment has begun
	responseStarted bool         // data was received since then
	unsolicited     bool         // data was received that no request asked for
	lastRead        time.Time    // when data was last received; zero for never
	closed          bool
	activity        chan struct{} // closed on received data, assignment and Close; nil if unused
}

// assign assigns the connection to an attempt, whose authorize is called before the next write. It
// returns the time since data was last received on the connection, or neverRead.
func (c *conn) assign(authorize func() error) (quiet time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.authorize, c.requestStarted, c.responseStarted = authorize, false, false
	c.signalActivity()
	if c.lastRead.IsZero() {
		return neverRead
	}
	return time.Since(c.lastRead)
}

// Write implements net.Conn. If the attempt does not authorize the write, it writes nothing and
// returns the attempt's error.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.authorizeWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// authorizeWrite marks the request as started. On the first write after assign it returns the
// result of the attempt's authorize function, otherwise nil.
func (c *conn) authorizeWrite() error {
	c.mu.Lock()
	authorize := c.authorize
	c.authorize, c.requestStarted = nil, true
	c.mu.Unlock()
	if authorize == nil {
		return nil
	}
	return authorize()
}

// Read implements net.Conn. It records when data was received and whether a request had started by
// then.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.lastRead = time.Now()
		c.responseStarted = c.responseStarted || c.requestStarted
		c.unsolicited = c.unsolicited || !c.requestStarted
		c.signalActivity()
		c.mu.Unlock()
	}
	return n, err
}

// signalActivity ends the wait of staysQuiet. The caller holds c.mu.
func (c *conn) signalActivity() {
	if c.activity != nil {
		close(c.activity)
		c.activity = nil
	}
}

// staysQuiet reports whether the connection receives nothing, is not assigned and is not closed
// during a period. It blocks for up to the period. Only one goroutine may wait at a time.
func (c *conn) staysQuiet(period time.Duration) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	activity := make(chan struct{})
	c.activity = activity
	c.mu.Unlock()
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-activity:
		return false
	case <-timer.C:
		return true
	}
}

// unusable reports whether no further request must be written: the worker has closed the
// connection, or the connection has received unsolicited data that would be taken for the response.
func (c *conn) unusable() bool {
	c.mu.Lock()
	unsolicited := c.unsolicited
	c.mu.Unlock()
	return unsolicited || hasUnreadData(c.Conn)
}

// receivedWithin reports whether data was received for the current request within the last period,
// or the connection has unread data.
func (c *conn) receivedWithin(period time.Duration) bool {
	c.mu.Lock()
	received := c.responseStarted && time.Since(c.lastRead) < period
	c.mu.Unlock()
	return received || hasUnreadData(c.Conn)
}

// hasUnreadData reports whether a read from the connection would return data, EOF or an error. It
// does not block. It returns false for connections without a file descriptor.
func hasUnreadData(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // the connection is closed
	}
	pending := true // the result if the socket is closed by now
	err = raw.Control(func(fd uintptr) { pending = hasPendingData(int(fd)) })
	return err != nil || pending
}

// hasPendingData reports whether a socket has data, EOF or a connection error to read. For any
// other error it returns false.
func hasPendingData(fd int) bool {
	var buf [1]byte
	_, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOTCONN:
		return true
	}
	return false
}

// Close implements net.Conn. Its first call releases the connection's place within the fleet's
// limit.
func (c *conn) Close() error {
	defer c.release()
	c.mu.Lock()
	c.closed = true
	c.signalActivity()
	c.mu.Unlock()
	return c.Conn.Close()
}
