package httpserver

import (
	"net"
	"net/http"
	"time"
)

// backgroundReadSize is the buffer size, in bytes, of the background reads with which net/http
// detects that the client has closed its side while a handler runs. All its other reads are larger.
const backgroundReadSize = 1

// pastDeadline is a read deadline in the past, which makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// connection is an accepted connection. While it waits for a request it can be interrupted, which
// makes its next read fail unless a byte of the request has been read already. Closing it instead
// would drop a request that net/http is reading at that moment.
type connection struct {
	net.Conn
	owner *Listener

	// Guarded by the owner's lock.
	awaitingRequest    bool      // no byte of the next request has been read
	nextRequestStarted bool      // a byte of the next request was read during the current one
	interrupted        bool      // reads fail until a byte of a request is read
	readDeadline       time.Time // last deadline that net/http set
}

// Read implements net.Conn. It records the start of a request.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestStarted(len(p) == backgroundReadSize)
	}
	return n, err
}

// requestStarted records that a byte of a request was read; pipelined tells whether that was while
// the previous request had no response yet. If the connection was interrupted meanwhile, it stays
// open.
func (c *connection) requestStarted(pipelined bool) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.awaitingRequest, c.nextRequestStarted = false, pipelined
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed
	}
}

// interrupt makes net/http close the connection if it is waiting for a request. The caller holds
// the owner's lock.
func (c *connection) interrupt() {
	if c.awaitingRequest {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(pastDeadline) // fails only if the connection is closed
	}
}

// SetReadDeadline implements net.Conn. While the connection is interrupted, the deadline is only
// recorded, and takes effect once a byte of a request is read.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.readDeadline = deadline
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the write side, if the connection supports that. net/http uses it to finish a
// response before it stops reading.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and removes it from its owner's set.
func (c *connection) Close() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

// trackingListener adds the connections that it accepts to the set of its owner.
type trackingListener struct {
	net.Listener
	owner *Listener
}

// Accept implements net.Listener.
func (t trackingListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return t.owner.add(conn), nil
}

// add wraps an accepted connection and adds it to the set of open connections.
func (l *Listener) add(conn net.Conn) *connection {
	c := &connection{Conn: conn, owner: l, awaitingRequest: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = struct{}{}
	return c
}

// remove removes a connection from the set, which completes the drain if it was the last one.
func (l *Listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, listed := l.connections[c]; listed {
		delete(l.connections, c)
		l.signalIfDrained()
	}
}

// trackState is the ConnState hook of the server: a connection that becomes idle has completed a
// request.
func trackState(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		conn.(*connection).requestEnded()
	}
}

// requestEnded records that the response to a request is complete, so that the connection waits for
// the next request unless a byte of that has been read already. During a drain it interrupts the
// connection.
func (c *connection) requestEnded() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.awaitingRequest, c.nextRequestStarted = !c.nextRequestStarted, false
	if c.owner.draining {
		c.interrupt()
	}
}
