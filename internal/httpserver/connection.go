package httpserver

import (
	"net"
	"net/http"
	"time"
)

// backgroundReadSize is the size of the reads by which net/http looks for the end of the client's side behind a request. All
// its other reads are larger.
const backgroundReadSize = 1

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// connection is a connection that was accepted. While it waits for a request it can be interrupted: its next read fails,
// unless a byte has been read already. Closing it instead would drop a request that net/http reads at that moment.
type connection struct {
	net.Conn
	owner *Listener

	// Guarded by the owner's lock.
	waiting      bool      // for the first byte of a request
	nextBegun    bool      // the first byte of the next request was read before the response to the last one had ended
	interrupted  bool      // reads fail while it waits
	readDeadline time.Time // that net/http has set last
}

// Read notes the beginning of a request.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestBegun(len(p) == backgroundReadSize)
	}
	return n, err
}

// requestBegun notes that a byte of a request was read, behind one that has no response yet or not. The connection goes on,
// even if it was interrupted meanwhile.
func (c *connection) requestBegun(behind bool) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.waiting, c.nextBegun = false, behind
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed
	}
}

// interrupt has a connection that waits for a request close. The owner's lock is held.
func (c *connection) interrupt() {
	if c.waiting {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(pastDeadline) // fails only if the connection is closed
	}
}

// SetReadDeadline has no effect on a connection that is interrupted until a request has begun on it.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.readDeadline = deadline
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite lets net/http end an answer before it stops reading.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close takes the connection off the listener's list.
func (c *connection) Close() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

// trackingListener lists the connections that it accepts with their owner.
type trackingListener struct {
	net.Listener
	owner *Listener
}

// Accept waits for a connection.
func (t trackingListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return t.owner.add(conn), nil
}

// add lists a connection.
func (l *Listener) add(conn net.Conn) *connection {
	c := &connection{Conn: conn, owner: l, waiting: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = struct{}{}
	return c
}

// remove takes a connection off the list.
func (l *Listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, listed := l.connections[c]; listed {
		delete(l.connections, c)
		l.checkDrained()
	}
}

// followState is the server's ConnState hook: an idle connection waits for its next request.
func followState(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		conn.(*connection).requestEnded()
	}
}

// requestEnded notes that the connection waits for the next request, unless that has begun already.
func (c *connection) requestEnded() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.waiting, c.nextBegun = !c.nextBegun, false
	if c.owner.draining {
		c.interrupt()
	}
}
