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

// conn is a connection of the ingress. Its place is given back when it is closed.
type conn struct {
	net.Conn
	listener    *connListener
	framing     framing
	transferred *core.MovedRequest // what has become of the request read by another process; nil if it goes on here

	// Under the door's lock.
	element          *list.Element // in the door's list; nil while a whole request is on it
	listIndex        int           // that list
	listedAt         time.Time     // when it came there
	fromRunner       bool          // the last request on it was a call-back
	retired          bool          // it is to end unless a request has come on it
	lastRequest      bool          // a request has: it ends with the answer
	awaitingResponse bool          // a whole request is on it that has no answer yet
	pipelined        bool          // something has come behind that request
	closed           bool

	lookahead lookahead
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Read takes note of the requests that pass. What has been read counts as taken, so a connection
// that is to end does so here, before anything is read: nobody else knows whether something was.
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

// backgroundReadSize is the size of the reads by which net/http looks for a client's end behind a request;
// all others are larger.
const backgroundReadSize = 1

// isRetired tells whether the connection was told to end and nothing has come on it since.
func (c *conn) isRetired() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.retired
}

// retire has the connection end before the next request on it is read. One in the middle of a
// request is closed at once. The caller has the door's lock.
func (c *conn) retire() {
	resting := c.element != nil && c.listIndex != partialRequests
	c.dequeue()
	if !resting {
		c.closeLocked()
		return
	}
	c.retired = true
	c.listener.retiring++
	_ = c.Conn.SetReadDeadline(pastDeadline) // wakes the reader
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http end an answer before it stops reading.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closeLocked()
}

// closeLocked closes the connection and gives its place back. The caller has the door's lock.
func (c *conn) closeLocked() error {
	if !c.closed {
		c.closed = true
		c.listener.open--
		c.unretire()
		c.dequeue()
	}
	return c.Conn.Close()
}

// unretire takes back that the connection is to end.
func (c *conn) unretire() {
	if c.retired {
		c.retired = false
		c.listener.retiring--
	}
}

// enqueue and stir put a connection into a list and take it out.
func (c *conn) enqueue(index int) {
	c.element, c.listIndex, c.listedAt = c.listener.evictable[index].PushBack(c), index, time.Now()
}

func (c *conn) dequeue() {
	if c.element != nil {
		c.listener.evictable[c.listIndex].Remove(c.element)
		c.element = nil
	}
}

// dataArrived tells that a part of a request has come. Guards against a client that stops after its
// first byte: on a kept connection the server's own time for a request runs from the fourth.
// What comes behind a request that waits for its answer is read on from there.
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
	resting := c.retired || c.element != nil && c.listIndex != partialRequests
	if c.retired {
		c.unretire()
		c.lastRequest = true
	}
	c.dequeue()
	c.enqueue(partialRequests)
	if resting {
		_ = c.Conn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
}

// requestArrived tells that a whole request has come: nobody takes its place until it is
// answered.
func (c *conn) requestArrived(runner bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.dequeue()
	c.fromRunner, c.awaitingResponse = runner, true
	c.readAhead()
}

// readAhead reads on behind the request where net/http has stopped to. The caller has the door's
// lock.
func (c *conn) readAhead() {
	if c.awaitingResponse && c.pipelined {
		c.lookahead.start(c.Conn)
	}
}

// responseWritten tells that the request on it has its answer, or never will.
func (c *conn) responseWritten() {
	c.listener.mu.Lock()
	c.awaitingResponse, c.pipelined = false, false
	c.listener.mu.Unlock()
	c.lookahead.stop(c.Conn)
}

// endsWithResponse tells whether the connection ends with the answer to the request that is on it.
func (c *conn) endsWithResponse() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.lastRequest
}

// becameIdle tells that the connection is kept between requests.
func (c *conn) becameIdle() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.dequeue()
	switch {
	case c.closed:
	case c.fromRunner:
		c.enqueue(idleRunners)
	default:
		c.enqueue(idleClients)
	}
}

// hasData tells whether a request, or the next part of one, waits to be read: it
// came before the place was needed.
func (c *conn) hasData() bool {
	if c.framing.hasHead() {
		return true
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// clientLeft tells whether the client has ended the connection, as far as the system knows now: also
// where nobody has come to read it yet.
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

// errNoSocket tells that a connection has no socket to look at.
var errNoSocket = errors.New("the connection is no socket")

// peek looks at what waits to be read, without blocking: 0 bytes and no error is the end.
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
	var peeked error
	if err := raw.Control(func(fd uintptr) {
		n, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return 0, net.ErrClosed
	}
	return n, peeked
}

// connState follows net/http's view of a connection.
func connState(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		c.(*conn).becameIdle()
	}
}
