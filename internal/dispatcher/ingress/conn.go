package ingress

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"frosttide/internal/dispatcher/core"
)

// backgroundReadSize is the size of the reads by which net/http looks for the end
// of the client's side behind a request. All its other reads are larger.
const backgroundReadSize = 1

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// errNoSocket is the error of peeking at a connection that is no socket.
var errNoSocket = errors.New("the connection is no socket")

// conn is a connection of the ingress. It follows the requests on it, and gives its
// place back when it is closed.
type conn struct {
	net.Conn
	listener    *connListener
	framing     framing
	transferred *core.MovedRequest // what another process has done for the first request; nil for nothing
	late        bool               // it was accepted as the listener closed, so that no report on a job of it can come
	lookahead   lookahead

	// Guarded by the listener's lock.
	element          *list.Element // in listener.evictable; nil while a whole request is on the connection
	listIndex        int           // its class there
	listedAt         time.Time     // when it came there
	fromRunner       bool          // the last request on it was a worker's report
	retired          bool          // it ends unless a request has begun on it
	lastRequest      bool          // a request has begun after it was retired: it ends with the response
	awaitingResponse bool          // a whole request is on it that has no response yet
	pipelined        bool          // data has come behind the last request
	nextBegun        bool          // the next request has begun; the time for its rest is not set yet
	inTransit        bool          // its first request was sent to a worker, and this process's core does not have it yet
	closed           bool
}

// Read follows the requests that pass. What has been read counts as taken, so a
// retired connection ends here, before anything is read: nobody else knows whether
// something was.
func (c *conn) Read(p []byte) (int, error) {
	if c.isRetired() {
		return 0, io.EOF
	}
	n, err := c.lookahead.take(p)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
	}
	c.framing.observe(p[:n])
	if n > 0 {
		c.dataArrived(len(p) == backgroundReadSize)
	} else if c.isRetired() {
		err = io.EOF
	}
	return n, err
}

// isRetired reports whether the connection was retired and no request has begun on
// it since.
func (c *conn) isRetired() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.retired
}

// retire has an idle connection end before the next request on it is read. It
// closes a connection within a request at once. The caller holds the listener's
// lock.
func (c *conn) retire() {
	idle := c.element != nil && c.listIndex != partialRequests
	c.dequeue()
	if !idle {
		c.closeLocked()
		return
	}
	c.retired = true
	c.listener.retiring++
	_ = c.Conn.SetReadDeadline(pastDeadline) // wakes the reader
}

// SetReadDeadline is called by net/http with the deadline of an idle connection. Where
// the next request has begun already, the rest of that has its own time.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.nextBegun {
		c.nextBegun = false
		deadline = time.Now().Add(requestTimeout)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http end a response before it stops reading.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Its first call gives the connection's place back.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closeLocked()
}

// closeLocked closes the connection. The caller holds the listener's lock.
func (c *conn) closeLocked() error {
	if !c.closed {
		c.closed = true
		c.listener.open--
		c.unretire()
		c.dequeue()
		c.endTransit()
	}
	return c.Conn.Close()
}

// unretire takes back that the connection ends. The caller holds the listener's
// lock.
func (c *conn) unretire() {
	if c.retired {
		c.retired = false
		c.listener.retiring--
	}
}

// jobPassed records that the core has the job on the connection.
func (c *conn) jobPassed() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.endTransit()
}

// endTransit records that the job on the connection is no longer on its way to the
// core. The caller holds the listener's lock.
func (c *conn) endTransit() {
	if c.inTransit {
		c.inTransit = false
		c.listener.inTransit--
	}
}

// sentBefore reports whether another process has sent the request on the connection to
// a worker.
func (c *conn) sentBefore() bool { return c.transferred != nil && len(c.transferred.Attempts) > 0 }

// enqueue adds the connection to a class of those that may be evicted. The caller
// holds the listener's lock.
func (c *conn) enqueue(class int) {
	c.element, c.listIndex, c.listedAt = c.listener.evictable[class].PushBack(c), class, time.Now()
}

// dequeue takes the connection out of its class, if it is in one. The caller holds
// the listener's lock.
func (c *conn) dequeue() {
	if c.element != nil {
		c.listener.evictable[c.listIndex].Remove(c.element)
		c.element = nil
	}
}

// dataArrived records that a part of a request has come; behind says that it came
// behind one that waits for its response, and then the lookahead reads on. It sets
// the read deadline of a request on a kept connection: net/http's own begins only
// with the fourth byte, so a client could stop after the first.
func (c *conn) dataArrived(behind bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.closed:
		return
	case behind:
		c.pipelined = true
		c.readAhead()
		return
	}
	wasIdle := c.retired || c.element != nil && c.listIndex != partialRequests
	if c.retired {
		c.unretire()
		c.lastRequest = true
	}
	c.dequeue()
	c.enqueue(partialRequests)
	if wasIdle {
		_ = c.Conn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
}

// requestArrived records that a whole request has come: the connection is not
// evicted until it has its response.
func (c *conn) requestArrived(fromRunner bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.dequeue()
	c.fromRunner, c.awaitingResponse = fromRunner, true
	c.readAhead()
}

// readAhead reads on behind the request where net/http has stopped to. The caller
// holds the listener's lock.
func (c *conn) readAhead() {
	if c.awaitingResponse && c.pipelined {
		c.lookahead.start(c.Conn)
	}
}

// responseWritten records that the request on the connection has its response, or
// never will.
func (c *conn) responseWritten() {
	c.listener.mu.Lock()
	c.awaitingResponse = false
	c.listener.mu.Unlock()
	c.lookahead.stop(c.Conn)
}

// endsWithResponse reports whether the connection ends with the response to the
// request on it.
func (c *conn) endsWithResponse() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.lastRequest
}

// becameIdle records that the connection is kept between requests. net/http has
// stopped to read behind the last one. What it found there begins the next: it may
// have come after the response, from a client that sends at once.
func (c *conn) becameIdle() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.nextBegun, c.pipelined = c.pipelined, false
	c.dequeue()
	switch {
	case c.closed:
	case c.nextBegun:
		c.enqueue(partialRequests)
	case c.fromRunner:
		c.enqueue(idleRunners)
	default:
		c.enqueue(idleClients)
	}
}

// hasData reports whether a request, or the next part of one, waits to be read.
func (c *conn) hasData() bool {
	if c.framing.hasHead() {
		return true
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// clientLeft reports whether the client has ended the connection, as far as the
// kernel knows now, also where nobody has read that yet.
func (c *conn) clientLeft() bool {
	select {
	case <-c.lookahead.clientEnded():
		return true
	default:
	}
	n, err := c.peek()
	switch {
	case err == nil:
		return n == 0
	case errors.Is(err, net.ErrClosed):
		return true
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, syscall.EHOSTUNREACH)
}

// peek returns how many bytes, 1 at most, wait to be read, without blocking. No
// byte and no error is the end of the client's side. It fails with errNoSocket,
// with net.ErrClosed for a closed connection, and with errors of recvfrom(2).
func (c *conn) peek() (n int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, net.ErrClosed
	}
	var one [1]byte
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return 0, net.ErrClosed
	}
	return n, peekErr
}

// connState follows net/http's view of a connection.
func connState(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		c.(*conn).becameIdle()
	}
}
