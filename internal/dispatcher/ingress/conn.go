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

// backgroundReadSize is the size of the background read by which net/http detects that the
// client disconnects while a request is being handled. All its other reads are larger.
const backgroundReadSize = 1

// pastDeadline is a deadline in the past, set to interrupt a blocked read.
var pastDeadline = time.Unix(1, 0)

// errNotSocket is returned by peek for a connection that is not backed by a socket.
var errNotSocket = errors.New("the connection is not a socket")

// conn is a connection of the ingress. It tracks the state of the requests on it for
// eviction, draining and handover, and updates the listener's counters when it is closed.
type conn struct {
	net.Conn
	listener        *connListener
	framing         framing
	transferred     *core.MovedRequest // first request's state if handed over; else nil
	acceptedAtClose bool               // accepted at close; workers can't report any more
	lookahead       lookahead

	// Guarded by the listener's mutex.
	element            *list.Element // in listener.evictable; nil while a request is being handled
	class              int           // index of its list in listener.evictable
	enqueuedAt         time.Time     // when it was added to that list
	fromWorker         bool          // the last request on it was a worker's report
	retired            bool          // it is closed unless a request has already begun to arrive
	closeAfterResponse bool          // a request began to arrive after the connection was retired
	awaitingResponse   bool          // a complete request has been read and has no response yet
	pipelined          bool          // data has arrived after the last request
	nextRequestStarted bool          // the next request has begun; its read deadline is not set yet
	inTransit          bool          // first request is at a worker but not adopted by the core
	closed             bool
}

// Read implements net.Conn and tracks the requests that are read. Data that has been read
// must be answered, so a retired connection returns io.EOF here, before anything is read:
// only Read knows whether any data was.
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

// isRetired reports whether the connection was retired and no request has begun to arrive on
// it since.
func (c *conn) isRetired() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.retired
}

// retire makes an idle connection end before the next request on it is read. It closes a
// connection with a partial request immediately. The caller holds the listener's mutex.
func (c *conn) retire() {
	idle := c.element != nil && c.class != partialRequests
	c.dequeue()
	if !idle {
		c.closeLocked()
		return
	}
	c.retired = true
	c.listener.retiring++
	_ = c.Conn.SetReadDeadline(pastDeadline) // unblocks a pending Read
}

// SetReadDeadline implements net.Conn. net/http calls it with the idle deadline between two
// requests. If the first byte of the next request has already been read, the rest of the
// request gets requestTimeout instead.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.nextRequestStarted {
		c.nextRequestStarted = false
		deadline = time.Now().Add(requestTimeout)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side if the underlying connection supports it. net/http uses
// it to finish a response before it stops reading.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The first call removes the connection from the listener's
// counters.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closeLocked()
}

// closeLocked is Close for callers that hold the listener's mutex.
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

// unretire reverts retire. The caller holds the listener's mutex.
func (c *conn) unretire() {
	if c.retired {
		c.retired = false
		c.listener.retiring--
	}
}

// jobAdopted records that the core has adopted the job on the connection.
func (c *conn) jobAdopted() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.endTransit()
}

// endTransit records that no job on the connection is waiting for adoption by the core any
// more. The caller holds the listener's mutex.
func (c *conn) endTransit() {
	if c.inTransit {
		c.inTransit = false
		c.listener.inTransit--
	}
}

// alreadyDispatched reports whether another process has already sent the request on the
// connection to a worker.
func (c *conn) alreadyDispatched() bool {
	return c.transferred != nil && len(c.transferred.Attempts) > 0
}

// enqueue appends the connection to the list of evictable connections of a class. The caller
// holds the listener's mutex.
func (c *conn) enqueue(class int) {
	c.element, c.class, c.enqueuedAt = c.listener.evictable[class].PushBack(c), class, time.Now()
}

// dequeue removes the connection from its list of evictable connections, if it is in one. The
// caller holds the listener's mutex.
func (c *conn) dequeue() {
	if c.element != nil {
		c.listener.evictable[c.class].Remove(c.element)
		c.element = nil
	}
}

// dataArrived records that a part of a request has been read. If pipelined is set, the data
// follows a request that still awaits its response, and the lookahead continues to read.
// Otherwise, on a kept-alive connection, dataArrived sets the read deadline of the new
// request: net/http sets its own only after the fourth byte, so a client could stall after
// the first.
func (c *conn) dataArrived(pipelined bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.closed:
		return
	case pipelined:
		c.pipelined = true
		c.readAhead()
		return
	}
	wasIdle := c.retired || c.element != nil && c.class != partialRequests
	if c.retired {
		c.unretire()
		c.closeAfterResponse = true
	}
	c.dequeue()
	c.enqueue(partialRequests)
	if wasIdle {
		_ = c.Conn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
}

// requestArrived records that a complete request has been read. The connection can't be
// evicted until the response is written.
func (c *conn) requestArrived(fromWorker bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.dequeue()
	c.fromWorker, c.awaitingResponse = fromWorker, true
	c.readAhead()
}

// readAhead starts the lookahead if a request is being handled and pipelined data has
// arrived, because net/http's background read has then returned and does not notice a
// disconnect any more. The caller holds the listener's mutex.
func (c *conn) readAhead() {
	if c.awaitingResponse && c.pipelined {
		c.lookahead.start(c.Conn)
	}
}

// responseWritten records that the response to the current request has been written, or that
// there will be none, and stops the lookahead.
func (c *conn) responseWritten() {
	c.listener.mu.Lock()
	c.awaitingResponse = false
	c.listener.mu.Unlock()
	c.lookahead.stop(c.Conn)
}

// closesAfterResponse reports whether the connection must be closed after the response to the
// current request.
func (c *conn) closesAfterResponse() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closeAfterResponse
}

// becameIdle records that the connection is idle between two requests. net/http has stopped
// its background read. A byte that this read returned is the start of the next request: it may
// have arrived after the response, from a client that sends its next request immediately.
func (c *conn) becameIdle() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.nextRequestStarted, c.pipelined = c.pipelined, false
	c.dequeue()
	switch {
	case c.closed:
	case c.nextRequestStarted:
		c.enqueue(partialRequests)
	case c.fromWorker:
		c.enqueue(idleWorkers)
	default:
		c.enqueue(idleClients)
	}
}

// hasUnreadData reports whether a request, or a further part of one, has arrived and has not
// been read or handled yet.
func (c *conn) hasUnreadData() bool {
	if c.framing.hasHead() {
		return true
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// clientLeft reports whether the client has closed or reset the connection. It asks the
// kernel, so it also sees a disconnect that no Read has returned yet.
func (c *conn) clientLeft() bool {
	select {
	case <-c.lookahead.clientDisconnected():
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

// peek returns the number of bytes, at most 1, that can be read without blocking; it leaves
// them unread. 0 without an error means that the client has closed its side. It fails with
// errNotSocket, with net.ErrClosed for a closed connection, or with an error of recvfrom(2).
func (c *conn) peek() (n int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNotSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, net.ErrClosed
	}
	var buf [1]byte
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return 0, net.ErrClosed
	}
	return n, peekErr
}

// connState is the http.Server's ConnState hook. It tells a connection that net/http considers
// it idle.
func connState(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		c.(*conn).becameIdle()
	}
}
